package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/measure"
)

// The fleet of the probe tests.
const (
	probeVMs       = 18
	probeUpstreams = 15
	probeTick      = 50 * time.Millisecond
	probeLength    = 10 * time.Minute
	baseRate       = 100.0
	// cycle is the time in which the upstreams go through their states.
	cycle = 200 * time.Second
)

// stateOf returns the result that an upstream gives to a call, and false while
// nobody sends calls to it. Each upstream is healthy for half of the cycle, and
// then draining, failing or unused.
func stateOf(upstream int, at time.Duration) (loadbalancer.Result, bool) {
	phase := (at + time.Duration(upstream)*cycle/probeUpstreams) % cycle
	isOdd := phase >= cycle/2
	switch {
	case isOdd && upstream%3 == 0:
		return loadbalancer.Result{Draining: true}, true
	case isOdd && upstream%3 == 1:
		return loadbalancer.Result{Failed: true}, true
	case isOdd:
		return loadbalancer.Result{}, false
	}
	return loadbalancer.Result{}, true
}

// probesAt returns the probes a second of all VMs at a call rate.
func probesAt(rate float64, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_700_000_000, 0)
	settings := dynamic.Service{HealthPath: "/health"}
	for i := range probeUpstreams {
		settings.Upstreams = append(settings.Upstreams, dynamic.Upstream{
			Name: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.%d:80", i),
		})
	}
	watches := make([]*upstreamTracker, probeVMs)
	planners := make([]*measure.Planner, probeVMs)
	for i := range watches {
		watches[i] = newUpstreamTracker()
		watches[i].configure(start, settings)
		planners[i] = measure.NewPlanner(measure.Options{PerVM: 10}, start, random)
	}
	probes := 0
	calls := 0.0
	for at := time.Duration(0); at < probeLength; at += probeTick {
		now := start.Add(at)
		for calls += rate * probeTick.Seconds(); calls >= 1; calls-- {
			upstream := random.IntN(probeUpstreams)
			if result, isUsed := stateOf(upstream, at); isUsed {
				watches[random.IntN(probeVMs)].ended(now, settings.Upstreams[upstream].Name, result)
			}
		}
		for i, w := range watches {
			if at%reportInterval == 0 {
				planners[i].SetTargets(now, w.targets(now))
			}
			if target, verdict := planners[i].Next(now); verdict == measure.Probe {
				probes++
				planners[i].Done(now, target, measure.Cost{Bytes: 300, UpstreamTime: 100 * time.Microsecond})
			}
		}
	}
	return float64(probes) / probeLength.Seconds()
}

// TestProbesDoNotFollowTheCallRate compares the probes a second at one and at ten
// times the call rate.
func TestProbesDoNotFollowTheCallRate(t *testing.T) {
	g := NewWithT(t)
	for seed := uint64(1); seed <= 5; seed++ {
		once, tenfold := probesAt(baseRate, seed), probesAt(10*baseRate, seed)
		t.Logf("seed %d: %.2f probes/s at %.0f calls/s, %.2f at %.0f", seed, once, baseRate, tenfold, 10*baseRate)
		g.Expect(tenfold).To(BeNumerically("~", once, 0.1*once))
		g.Expect(tenfold).To(BeNumerically("<=", probeUpstreams), "one a second and upstream")
	}
}

func TestNeedsAreWhatAnswersCannotTell(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	w := newUpstreamTracker()
	w.configure(start, dynamic.Service{HealthPath: "/health", Upstreams: []dynamic.Upstream{
		{Name: "a", Address: "a"}, {Name: "b", Address: "b"}, {Name: "c", Address: "c"},
	}})
	g.Expect(w.targets(start)).To(BeEmpty())
	w.ended(start.Add(4*time.Second), "a", loadbalancer.Result{})
	w.ended(start.Add(4*time.Second), "b", loadbalancer.Result{Draining: true})
	later := start.Add(6 * time.Second)
	g.Expect(w.targets(later)).To(ConsistOf(
		measure.Target{Address: "b", Path: "/health", Need: measure.Draining},
		measure.Target{Address: "c", Path: "/health", Need: measure.Silent},
	))
	w.ended(later, "c", loadbalancer.Result{Failed: true})
	g.Expect(w.targets(later)).To(ContainElement(measure.Target{Address: "c", Path: "/health", Need: measure.Returning}))
	g.Expect(w.observeProbe(later, measure.Observation{Address: "c", IsHealthy: true})).To(Equal([]string{"c"}))
	g.Expect(w.observeProbe(later, measure.Observation{Address: "b"})).To(Equal([]string{"b"}), "still leaving")
	g.Expect(w.targets(later)).To(ConsistOf(measure.Target{Address: "b", Path: "/health", Need: measure.Draining}))
}
