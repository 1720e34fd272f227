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

// Parameters of the simulated fleet.
const (
	probeVMs       = 18
	probeUpstreams = 15
	probeTick      = 50 * time.Millisecond
	probeLength    = 10 * time.Minute
	// baseCallRate is in calls per second.
	baseCallRate = 100.0
	// stateCycle is the period in which each upstream passes through its states.
	stateCycle = 200 * time.Second
)

// resultAt returns the result of a call to an upstream at a time, and false while
// the upstream receives no calls. Each upstream is healthy for half of the cycle
// and draining, failing or unused for the other half.
func resultAt(upstream int, at time.Duration) (loadbalancer.Result, bool) {
	phase := (at + time.Duration(upstream)*stateCycle/probeUpstreams) % stateCycle
	isSecondHalf := phase >= stateCycle/2
	switch {
	case isSecondHalf && upstream%3 == 0:
		return loadbalancer.Result{Draining: true}, true
	case isSecondHalf && upstream%3 == 1:
		return loadbalancer.Result{Failed: true}, true
	case isSecondHalf:
		return loadbalancer.Result{}, false
	}
	return loadbalancer.Result{}, true
}

// probesPerSecond returns the rate of probes by all VMs at a call rate.
func probesPerSecond(rate float64, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_700_000_000, 0)
	settings := dynamic.Service{HealthPath: "/health"}
	for i := range probeUpstreams {
		settings.Upstreams = append(settings.Upstreams, dynamic.Upstream{
			Name: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.%d:80", i),
		})
	}
	trackers := make([]*upstreamTracker, probeVMs)
	planners := make([]*measure.Planner, probeVMs)
	for i := range trackers {
		trackers[i] = newUpstreamTracker()
		trackers[i].configure(start, settings)
		planners[i] = measure.NewPlanner(measure.Options{PerVM: 10}, start, random)
	}
	probes := 0
	calls := 0.0
	for at := time.Duration(0); at < probeLength; at += probeTick {
		now := start.Add(at)
		for calls += rate * probeTick.Seconds(); calls >= 1; calls-- {
			upstream := random.IntN(probeUpstreams)
			if result, hasCall := resultAt(upstream, at); hasCall {
				trackers[random.IntN(probeVMs)].ended(now, settings.Upstreams[upstream].Name, result)
			}
		}
		for i, tracker := range trackers {
			if at%reportInterval == 0 {
				planners[i].SetTargets(now, tracker.targets(now))
			}
			if target, verdict := planners[i].Next(now); verdict == measure.Probe {
				probes++
				planners[i].Done(now, target, measure.Cost{Bytes: 300, UpstreamTime: 100 * time.Microsecond})
			}
		}
	}
	return float64(probes) / probeLength.Seconds()
}

// TestProbesDoNotFollowTheCallRate: the rate of probes is the same at ten times
// the call rate.
func TestProbesDoNotFollowTheCallRate(t *testing.T) {
	g := NewWithT(t)
	for seed := uint64(1); seed <= 5; seed++ {
		once, tenfold := probesPerSecond(baseCallRate, seed), probesPerSecond(10*baseCallRate, seed)
		t.Logf("seed %d: %.2f probes/s at %.0f calls/s, %.2f at %.0f", seed, once, baseCallRate, tenfold, 10*baseCallRate)
		g.Expect(tenfold).To(BeNumerically("~", once, 0.1*once))
		g.Expect(tenfold).To(BeNumerically("<=", probeUpstreams), "one per second and upstream")
	}
}

// TestProbeTargets: silent, failed and draining upstreams are probed until a
// probe finds them healthy.
func TestProbeTargets(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	tracker := newUpstreamTracker()
	tracker.configure(start, dynamic.Service{HealthPath: "/health", Upstreams: []dynamic.Upstream{
		{Name: "a", Address: "a"}, {Name: "b", Address: "b"}, {Name: "c", Address: "c"},
	}})
	g.Expect(tracker.targets(start)).To(BeEmpty())
	tracker.ended(start.Add(4*time.Second), "a", loadbalancer.Result{})
	tracker.ended(start.Add(4*time.Second), "b", loadbalancer.Result{Draining: true})
	later := start.Add(6 * time.Second)
	g.Expect(tracker.targets(later)).To(ConsistOf(
		measure.Target{Address: "b", Path: "/health", Need: measure.Draining},
		measure.Target{Address: "c", Path: "/health", Need: measure.Silent},
	))
	tracker.ended(later, "c", loadbalancer.Result{Failed: true})
	g.Expect(tracker.targets(later)).To(ContainElement(measure.Target{Address: "c", Path: "/health", Need: measure.Returning}))
	g.Expect(tracker.observeProbe(later, measure.ProbeResult{Address: "c", IsHealthy: true})).To(Equal([]string{"c"}))
	g.Expect(tracker.observeProbe(later, measure.ProbeResult{Address: "b"})).To(Equal([]string{"b"}), "still leaving")
	g.Expect(tracker.targets(later)).To(ConsistOf(measure.Target{Address: "b", Path: "/health", Need: measure.Draining}))
}
