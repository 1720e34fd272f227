package gateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

// Parameters of the overload of one VM with two upstreams.
const (
	overloadSlots       = 2
	overloadServiceTime = 10 * time.Millisecond
	overloadFactor      = 1.3
	overloadWarmUp      = 2 * time.Second
	overloadLength      = 6 * time.Second
	overloadDeadline    = 800 * time.Millisecond
	// overloadCapacity is the capacity of the upstreams in calls per second.
	overloadCapacity = 400.0
)

// overloadCounts counts the results that callers saw after the warm-up.
type overloadCounts struct {
	mu          sync.Mutex
	answered    int
	refused     int
	lateRefusal int
	late        int
}

func (c *overloadCounts) add(status int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == http.StatusOK && took <= overloadDeadline:
		c.answered++
	case status == http.StatusServiceUnavailable:
		c.refused++
		if took > time.Millisecond {
			c.lateRefusal++
		}
	default:
		c.late++
	}
}

// TestGatewayAtOverload sends 1.3 times the capacity through a gateway in virtual
// time and checks the goodput, and that refusals come at once.
func TestGatewayAtOverload(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runOverload(t, seed) })
		})
	}
}

func runOverload(t *testing.T, seed uint64) {
	network := pipenet.New()
	g := gateway.New(gateway.Options{
		VM: "vm", Zone: "z", Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(), Dial: network.Dial, Seed: seed,
	})
	settings := "[/teams/t/services/s/traffic/lookup]\ndeadline = 800ms\n"
	servers := []*http.Server{network.Serve(gatewayAddress, g)}
	for i := range 2 {
		address := fmt.Sprintf("10.0.1.%d:80", i)
		settings += fmt.Sprintf("[/teams/t/services/s/upstreams/u-%d]\naddress = %s\nzone = z\n", i, address)
		upstream := upstreamstandin.New(fmt.Sprint(i), overloadSlots, 200, upstreamstandin.Switches{ServiceTime: overloadServiceTime})
		servers = append(servers, network.Serve(address, upstream.Handler()))
	}
	g.Apply(merge.Config{Team: "t", Revision: 1, Settings: settings})
	counts := generateOverload(network, rand.New(rand.NewPCG(seed, 1)))
	goodput := float64(counts.answered) / overloadLength.Seconds() / overloadCapacity
	t.Logf("goodput %.3f of capacity, refused %d, refused late %d, late %d", goodput, counts.refused, counts.lateRefusal, counts.late)
	if goodput < 0.95 || counts.lateRefusal > 0 || counts.late > 0 {
		t.Error("want a goodput of 0.95, no late refusal and no late call")
	}
	g.Close()
	for _, s := range servers {
		_ = s.Close()
	}
	time.Sleep(time.Second)
}

// generateOverload makes calls at random times and returns their results.
func generateOverload(network *pipenet.Network, random *rand.Rand) *overloadCounts {
	client := &http.Client{Transport: &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 1000}}
	counts := &overloadCounts{}
	start := time.Now()
	var done sync.WaitGroup
	for time.Since(start) < overloadWarmUp+overloadLength {
		time.Sleep(time.Duration(random.ExpFloat64() / (overloadFactor * overloadCapacity) * float64(time.Second)))
		isCounted := time.Since(start) >= overloadWarmUp
		done.Go(func() {
			sent := time.Now()
			response, err := client.Get("http://" + gatewayAddress + "/t/s/x")
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if isCounted {
				counts.add(response.StatusCode, time.Since(sent))
			}
		})
	}
	done.Wait()
	client.CloseIdleConnections()
	return counts
}
