package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/measure"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

// standinHealthPath is the health path of the upstream stand-in.
const standinHealthPath = "/standin/health"

// probeEnv is a prober on an in-memory network.
type probeEnv struct {
	network  *pipenet.Network
	counters *telemetry.Counters
	prober   *prober
	stop     func()

	mu       sync.Mutex
	observed []measure.ProbeResult
}

func newProbeEnv(options measure.Options) *probeEnv {
	e := &probeEnv{network: pipenet.New(), counters: telemetry.NewCounters()}
	planner := measure.NewPlanner(options, time.Now(), rand.New(rand.NewPCG(1, 1)))
	e.prober = newProber(planner, e.network.Dial, e.counters, func(result measure.ProbeResult) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.observed = append(e.observed, result)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { e.prober.run(ctx, func() int { return 1 }) })
	e.stop = func() {
		cancel()
		done.Wait()
	}
	return e
}

func (e *probeEnv) results() []measure.ProbeResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.observed
}

func (e *probeEnv) count(name string) int64 {
	return e.counters.Get(telemetry.GroupProbes, name)
}

// singleVMBudget lets one VM probe an upstream twice per second.
var singleVMBudget = measure.Options{PerVM: 10, PerUpstream: 2, ExpectedVMs: 1, UpstreamTimeShare: 1}

func TestProbeReportsHealthDrainAndFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newProbeEnv(singleVMBudget)
		upstream := upstreamstandin.New("u", 2, 10, upstreamstandin.Switches{})
		server := env.network.Serve("u:80", upstream.Handler())
		env.prober.setTargets([]measure.Target{{Address: "u:80", Path: standinHealthPath, Need: measure.Silent}})
		time.Sleep(5 * time.Second)
		results := env.results()
		g.Expect(len(results)).To(BeNumerically("<=", 10))
		g.Expect(len(results)).To(BeNumerically(">=", 6))
		last := results[len(results)-1]
		g.Expect(last.IsHealthy && last.HasReport).To(BeTrue())

		upstream.Set(upstreamstandin.Switches{Draining: true, HealthLies: true})
		time.Sleep(2 * time.Second)
		results = env.results()
		g.Expect(results[len(results)-1].IsHealthy).To(BeFalse(), "the response header reports draining although the status is 200")

		_ = server.Close()
		time.Sleep(2 * time.Second)
		results = env.results()
		g.Expect(results[len(results)-1].HasReport).To(BeFalse())
		g.Expect(env.count(countProbesFailed)).To(BeNumerically(">", 0))
		g.Expect(env.count(countProbesSent)).To(Equal(int64(len(results))))
		g.Expect(env.count(countProbesSkipped)).To(BeNumerically(">", 0))
		g.Expect(env.count(countProbeBytes)).To(BeNumerically(">", 0))
		env.stop()
		time.Sleep(time.Second)
	})
}

// TestProbeOfSilentUpstreamKeepsTheBudget covers an upstream that accepts connections
// and never answers, and one whose responses exceed the size limit. Neither may use
// more than the budget for upstream time and bytes.
func TestProbeOfSilentUpstreamKeepsTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		options := singleVMBudget
		options.UpstreamTimeShare = 0.1
		options.BytesPerSecond = 2000
		env := newProbeEnv(options)
		release := make(chan struct{})
		silent := env.network.Serve("silent:80", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		large := env.network.Serve("large:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(callheader.Load, "running=1,queued=0")
			_, _ = w.Write([]byte(strings.Repeat("x", 1<<20)))
		}))
		env.prober.setTargets([]measure.Target{
			{Address: "silent:80", Path: "/", Need: measure.Returning},
			{Address: "large:80", Path: "/", Need: measure.Silent},
		})
		time.Sleep(time.Minute)
		silentProbes := 0
		for _, result := range env.results() {
			if result.Address == "silent:80" {
				silentProbes++
			}
		}
		g.Expect(silentProbes).To(BeNumerically("<=", 30), "200 ms each, at most a tenth of the upstream's time")
		g.Expect(silentProbes).To(BeNumerically(">", 15))
		g.Expect(env.count(countProbeBytes)).To(BeNumerically("<=", 60*2000+maxProbeBody+maxProbeHeader))
		close(release)
		env.stop()
		_ = silent.Close()
		_ = large.Close()
		time.Sleep(time.Second)
	})
}
