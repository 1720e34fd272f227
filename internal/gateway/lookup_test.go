package gateway_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

// hedgeSettings has two upstreams in one zone.
const hedgeSettings = `
[/teams/t/services/s]
retry_share = 0.05
[/teams/t/services/s/traffic/lookup]
hedge = true
[/teams/t/services/s/traffic/booking]
[/teams/t/services/s/upstreams/u-1]
address = 10.0.1.1:80
zone = z
[/teams/t/services/s/upstreams/u-2]
address = 10.0.1.2:80
zone = z
`

const (
	normalServiceTime = 8 * time.Millisecond
	slowServiceTime   = 400 * time.Millisecond
	// warmUpCalls is enough for the gateway to know the hedge delay and to
	// accumulate a retry budget.
	warmUpCalls = 200
)

// hedgeTestEnv is a gateway with two upstreams on an in-memory network.
type hedgeTestEnv struct {
	network   *pipenet.Network
	counters  *telemetry.Counters
	upstreams map[string]*upstreamstandin.Server
	client    *http.Client
	close     func()
}

func newHedgeTestEnv(g *WithT) *hedgeTestEnv {
	network := pipenet.New()
	env := &hedgeTestEnv{
		network: network, counters: telemetry.NewCounters(),
		upstreams: make(map[string]*upstreamstandin.Server),
		client:    &http.Client{Transport: &http.Transport{DialContext: network.Dial}},
	}
	front := gateway.New(gateway.Options{
		VM: "vm", Zone: "z", Log: hclog.NewNullLogger(), Counters: env.counters, Dial: network.Dial, Seed: 1,
	})
	g.Expect(front.Apply(merge.Config{Team: "t", Revision: 1, Settings: hedgeSettings})).To(BeTrue())
	servers := []*http.Server{network.Serve(gatewayAddress, front)}
	for name, address := range map[string]string{"u-1": "10.0.1.1:80", "u-2": "10.0.1.2:80"} {
		env.upstreams[name] = upstreamstandin.New(name, 2, 10, upstreamstandin.Switches{ServiceTime: normalServiceTime})
		servers = append(servers, network.Serve(address, env.upstreams[name].Handler()))
	}
	env.close = func() {
		env.client.CloseIdleConnections()
		front.Close()
		for _, s := range servers {
			_ = s.Close()
		}
		time.Sleep(time.Second)
	}
	for range warmUpCalls {
		env.call(g, http.MethodGet)
	}
	return env
}

// hedgeResult is the result of a call.
type hedgeResult struct {
	upstream string
	duration time.Duration
}

// call makes a call and checks that its response is complete.
func (env *hedgeTestEnv) call(g *WithT, method string) hedgeResult {
	began := time.Now()
	request, err := http.NewRequest(method, "http://"+gatewayAddress+"/t/s/x", strings.NewReader(""))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := env.client.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK), string(body))
	var decoded struct {
		Upstream string `json:"upstream"`
	}
	g.Expect(json.Unmarshal(body, &decoded)).To(Succeed())
	return hedgeResult{upstream: decoded.Upstream, duration: time.Since(began)}
}

func (env *hedgeTestEnv) hedges(name string) int64 {
	return env.counters.Get(telemetry.GroupHedges, name)
}

// TestHedge: a lookup whose upstream is slow gets the complete response of
// another one, and the request to the slow upstream is cancelled.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newHedgeTestEnv(g)
		defer env.close()
		env.upstreams["u-1"].Set(upstreamstandin.Switches{ServiceTime: slowServiceTime})
		ran := env.upstreams["u-1"].Counts().Ran
		for env.hedges("sent") == 0 {
			a := env.call(g, http.MethodGet)
			g.Expect(a.duration).To(BeNumerically("<", slowServiceTime/4))
			g.Expect(a.upstream).To(Equal("u-2"))
		}
		g.Expect(env.hedges("won")).To(Equal(int64(1)))
		time.Sleep(2 * slowServiceTime)
		g.Expect(env.upstreams["u-1"].Counts().Ran).To(Equal(ran), "the slow upstream was not cancelled")
		g.Expect(env.counters.Get("answers", "connection_silent")).To(BeZero(), "a cancelled send is not a silent connection")
	})
}

// TestHedgeTakesWholeAnswers: a truncated response does not win against a
// complete one that arrives later.
func TestHedgeTakesWholeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newHedgeTestEnv(g)
		defer env.close()
		env.upstreams["u-1"].Set(upstreamstandin.Switches{ServiceTime: slowServiceTime})
		for env.hedges("sent") == 0 {
			env.upstreams["u-2"].Set(upstreamstandin.Switches{ServiceTime: normalServiceTime, CutBodyAfter: 5})
			before := env.upstreams["u-1"].Counts().Received
			a := env.call(g, http.MethodGet)
			if env.upstreams["u-1"].Counts().Received > before {
				g.Expect(a.upstream).To(Equal("u-1"))
			}
		}
		g.Expect(env.hedges("failed")).To(Equal(int64(1)))
	})
}

// TestBookingIsNotHedged: a booking waits for the response of its one upstream.
func TestBookingIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newHedgeTestEnv(g)
		defer env.close()
		for _, u := range env.upstreams {
			u.Set(upstreamstandin.Switches{ServiceTime: slowServiceTime})
		}
		received := env.received()
		for range 4 {
			a := env.call(g, http.MethodPost)
			g.Expect(a.duration).To(BeNumerically(">=", slowServiceTime))
		}
		g.Expect(env.received()).To(Equal(received + 4))
		g.Expect(env.hedges("sent")).To(BeZero())
	})
}

func (env *hedgeTestEnv) received() int64 {
	var all int64
	for _, u := range env.upstreams {
		all += u.Counts().Received
	}
	return all
}
