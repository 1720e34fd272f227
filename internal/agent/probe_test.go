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

// standinHealth is the stand-in's health path.
const standinHealth = "/standin/health"

// probeRig is a prober on a network in memory.
type probeRig struct {
	network  *pipenet.Network
	counters *telemetry.Counters
	prober   *prober
	stop     func()

	mu   sync.Mutex
	seen []measure.Observation
}

func newProbeRig(options measure.Options) *probeRig {
	r := &probeRig{network: pipenet.New(), counters: telemetry.NewCounters()}
	planner := measure.NewPlanner(options, time.Now(), rand.New(rand.NewPCG(1, 1)))
	r.prober = newProber(planner, r.network.Dial, r.counters, func(seen measure.Observation) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.seen = append(r.seen, seen)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { r.prober.run(ctx, func() int { return 1 }) })
	r.stop = func() {
		cancel()
		done.Wait()
	}
	return r
}

func (r *probeRig) observations() []measure.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen
}

func (r *probeRig) count(name string) int64 {
	return r.counters.Get(telemetry.GroupProbes, name)
}

// oneVM is a budget that lets a VM ask one upstream twice a second.
var oneVM = measure.Options{PerVM: 10, PerUpstream: 2, ExpectedVMs: 1, UpstreamTimeShare: 1}

func TestProbeSeesHealthDrainAndDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newProbeRig(oneVM)
		upstream := upstreamstandin.New("u", 2, 10, upstreamstandin.Switches{})
		server := r.network.Serve("u:80", upstream.Handler())
		r.prober.setTargets([]measure.Target{{Address: "u:80", Path: standinHealth, Need: measure.Silent}})
		time.Sleep(5 * time.Second)
		seen := r.observations()
		g.Expect(len(seen)).To(BeNumerically("<=", 10))
		g.Expect(len(seen)).To(BeNumerically(">=", 6))
		last := seen[len(seen)-1]
		g.Expect(last.IsHealthy && last.HasReport).To(BeTrue())

		upstream.Set(upstreamstandin.Switches{Draining: true, HealthLies: true})
		time.Sleep(2 * time.Second)
		seen = r.observations()
		g.Expect(seen[len(seen)-1].IsHealthy).To(BeFalse(), "the answer's header says draining, its status lies")

		_ = server.Close()
		time.Sleep(2 * time.Second)
		seen = r.observations()
		g.Expect(seen[len(seen)-1].HasReport).To(BeFalse())
		g.Expect(r.count(countProbesFailed)).To(BeNumerically(">", 0))
		g.Expect(r.count(countProbesSent)).To(Equal(int64(len(seen))))
		g.Expect(r.count(countProbesSkipped)).To(BeNumerically(">", 0))
		g.Expect(r.count(countProbeBytes)).To(BeNumerically(">", 0))
		r.stop()
		time.Sleep(time.Second)
	})
}

// TestProbeOfSilentUpstreamKeepsTheBudget gives an upstream that takes
// connections and never answers, and one that answers with more than it may.
func TestProbeOfSilentUpstreamKeepsTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		options := oneVM
		options.UpstreamTimeShare = 0.1
		options.BytesPerSecond = 2000
		r := newProbeRig(options)
		release := make(chan struct{})
		silent := r.network.Serve("silent:80", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		large := r.network.Serve("large:80", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(callheader.Load, "running=1,queued=0")
			_, _ = w.Write([]byte(strings.Repeat("x", 1<<20)))
		}))
		r.prober.setTargets([]measure.Target{
			{Address: "silent:80", Path: "/", Need: measure.Returning},
			{Address: "large:80", Path: "/", Need: measure.Silent},
		})
		time.Sleep(time.Minute)
		bySilent := 0
		for _, seen := range r.observations() {
			if seen.Address == "silent:80" {
				bySilent++
			}
		}
		g.Expect(bySilent).To(BeNumerically("<=", 30), "200 ms each, a tenth of its time")
		g.Expect(bySilent).To(BeNumerically(">", 15))
		g.Expect(r.count(countProbeBytes)).To(BeNumerically("<=", 60*2000+maxProbeBody+maxProbeHeader))
		close(release)
		r.stop()
		_ = silent.Close()
		_ = large.Close()
		time.Sleep(time.Second)
	})
}
