package dispatch_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/dispatch"
)

// placementPolicy returns the function that places the calls of a fleet, and
// the one that stops it.
type placementPolicy func(f *fleet, seed uint64) (placeFunc, func())

// baselines are simple placement policies.
var baselines = map[string]placementPolicy{
	"random":          lowestScorePolicy(func(*vmView, string) float64 { return 0 }),
	"least own sends": lowestScorePolicy(func(v *vmView, name string) float64 { return float64(v.own[name]) }),
	"last report":     lowestScorePolicy(func(v *vmView, name string) float64 { return v.reported[name] + float64(v.own[name]) }),
}

// vmView is the state of one VM in a baseline.
type vmView struct {
	// own is the number of the VM's sends in flight by upstream.
	own map[string]int
	// reported is the load in the last response of each upstream.
	reported map[string]float64
}

// lowestScorePolicy places each call on the VM that receives it, at the
// upstream with the lowest score. Ties are broken at random.
func lowestScorePolicy(score func(v *vmView, name string) float64) placementPolicy {
	return func(f *fleet, seed uint64) (placeFunc, func()) {
		random := rand.New(rand.NewPCG(seed, 5))
		views := make([]*vmView, vmCount)
		for i := range views {
			views[i] = &vmView{own: make(map[string]int), reported: make(map[string]float64)}
		}
		var mu sync.Mutex
		place := func(context.Context, dispatch.Request) (dispatch.Grant, error) {
			mu.Lock()
			defer mu.Unlock()
			v := views[random.IntN(vmCount)]
			name := lowestScored(f, random, func(name string) float64 { return score(v, name) })
			v.own[name]++
			return dispatch.NewGrant(name, func(dispatch.End) {
				mu.Lock()
				defer mu.Unlock()
				v.own[name]--
				report := f.upstreams[name].report()
				v.reported[name] = float64(report.Running+report.Queued) * report.Slowness
			}), nil
		}
		return place, func() {}
	}
}

// lowestScored returns the upstream with the lowest score. Ties are broken at
// random.
func lowestScored(f *fleet, random *rand.Rand, score func(name string) float64) string {
	best, bestScore := "", 0.0
	for _, i := range random.Perm(len(f.list)) {
		name := f.list[i].Name
		if s := score(name); best == "" || s < bestScore {
			best, bestScore = name, s
		}
	}
	return best
}

// errNoTimelyUpstream refuses a call that can't be answered in time.
var errNoTimelyUpstream = errors.New("no upstream can answer in time")

// oracle is a reference policy with complete knowledge: it sees the slots of
// all upstreams and their present and future slowness. It sends a call to the
// free upstream that would respond first, lets the call wait while a later send
// can still be in time, and then refuses it.
func oracle(f *fleet, _ uint64) (placeFunc, func()) {
	var mu sync.Mutex
	place := func(_ context.Context, r dispatch.Request) (dispatch.Grant, error) {
		for ; time.Until(r.Objective) > meanWork+2*oneWayLatency; time.Sleep(workStep) {
			mu.Lock()
			name, took := f.fastestFree()
			if name != "" && took+2*oneWayLatency <= time.Until(r.Objective) {
				f.upstreams[name].oracleSends++
				mu.Unlock()
				return dispatch.NewGrant(name, func(dispatch.End) {
					mu.Lock()
					defer mu.Unlock()
					f.upstreams[name].oracleSends--
				}), nil
			}
			mu.Unlock()
		}
		return dispatch.Grant{}, errNoTimelyUpstream
	}
	return place, func() {}
}

// meanWork is the mean service time of a call.
const meanWork = 60 * time.Millisecond

// fastestFree returns the upstream with a free slot that would respond first,
// and the time that it needs. The name is empty when there is none.
func (f *fleet) fastestFree() (string, time.Duration) {
	best, bestTook := "", time.Duration(0)
	for _, u := range f.list {
		s := f.upstreams[u.Name]
		if s.oracleSends >= f.model.slots {
			continue
		}
		if took := s.predictDuration(meanWork); best == "" || took < bestTook {
			best, bestTook = u.Name, took
		}
	}
	return best, bestTook
}

// predictDuration returns how long work would take at an upstream in addition
// to its present calls.
func (s *simUpstream) predictDuration(work time.Duration) time.Duration {
	begin := time.Now().Add(oneWayLatency)
	at := begin
	for {
		slowdown := s.slowness(at)
		slowdown *= s.model.stretch(s.oracleSends + 1)
		phaseLeft := s.model.phaseLength - at.Sub(s.began)%s.model.phaseLength
		workTime := time.Duration(float64(work) * slowdown)
		if workTime <= phaseLeft {
			return at.Add(workTime).Sub(begin)
		}
		work -= time.Duration(float64(phaseLeft) / slowdown)
		at = at.Add(phaseLeft)
	}
}

// baselineDuration is the simulated time of each run.
const baselineDuration = 6 * time.Second

// medianShare returns the share of a load that is answered in time, as the
// median over the seeds.
func medianShare(t *testing.T, perSecond float64, seeds uint64, place placementPolicy) float64 {
	t.Helper()
	var shares []float64
	for seed := range seeds {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(pairServers, fleetSize, seed)
			placeCall, end := place(f, seed)
			l := statusLoad(perSecond, seed)
			l.duration = baselineDuration
			shares = append(shares, share(f.run(l, placeCall), withinObjective(l)))
			end()
			time.Sleep(time.Minute)
		})
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

// coordinatorPolicy places the calls with a Dispatcher that is the coordinator.
func coordinatorPolicy(f *fleet, seed uint64) (placeFunc, func()) {
	return asCoordinator(f.dispatcher("vm", seed))
}

// TestPlacementOutperformsBaselines compares the coordinator with simple
// policies at the load of the Split deployment's scale days: the usual one and
// one above the capacity. The result of the oracle is only logged.
func TestPlacementOutperformsBaselines(t *testing.T) {
	t.Parallel()
	const seeds = 3
	for _, perSecond := range []float64{130, 300} {
		coordinated := medianShare(t, perSecond, seeds, coordinatorPolicy)
		t.Logf("%.0f calls a second: timely share %.3f, oracle %.3f", perSecond, coordinated, medianShare(t, perSecond, seeds, oracle))
		for name, baseline := range baselines {
			got := medianShare(t, perSecond, seeds, baseline)
			t.Logf("%.0f calls a second: %s, timely share %.3f", perSecond, name, got)
			NewWithT(t).Expect(coordinated).To(BeNumerically(">", got), name)
		}
	}
}
