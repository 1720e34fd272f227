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

// placing makes the function that places the calls of a fleet, and the one that
// ends it.
type placing func(f *fleet, seed uint64) (placeFunc, func())

// baselines are simple ways to place a call, and one that knows all.
var baselines = map[string]placing{
	"random":          byScore(func(*view, string) float64 { return 0 }),
	"least own sends": byScore(func(v *view, name string) float64 { return float64(v.own[name]) }),
	"last report":     byScore(func(v *view, name string) float64 { return v.reported[name] + float64(v.own[name]) }),
}

// view is what one VM knows in a baseline.
type view struct {
	// own counts the VM's sends under way.
	own map[string]int
	// reported is the load in the last answer.
	reported map[string]float64
}

// byScore places each call at the VM that it arrives at, on the upstream of the
// least score; equals are drawn.
func byScore(score func(v *view, name string) float64) placing {
	return func(f *fleet, seed uint64) (placeFunc, func()) {
		random := rand.New(rand.NewPCG(seed, 5))
		views := make([]*view, vms)
		for i := range views {
			views[i] = &view{own: make(map[string]int), reported: make(map[string]float64)}
		}
		var mu sync.Mutex
		place := func(context.Context, dispatch.Request) (dispatch.Grant, error) {
			mu.Lock()
			defer mu.Unlock()
			v := views[random.IntN(vms)]
			name := leastOf(f, random, func(name string) float64 { return score(v, name) })
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

// leastOf returns the upstream of the least score, drawn among equals.
func leastOf(f *fleet, random *rand.Rand, score func(name string) float64) string {
	best, bestScore := "", 0.0
	for _, i := range random.Perm(len(f.list)) {
		name := f.list[i].Name
		if s := score(name); best == "" || s < bestScore {
			best, bestScore = name, s
		}
	}
	return best
}

// errHopeless refuses a call that can't be answered in time.
var errHopeless = errors.New("no upstream answers in time")

// allKnowing sees the slots of all upstreams and their speed, now and to come. It
// sends a call to the free upstream that answers first, lets it wait while a later
// send can still be in time, and refuses it then.
func allKnowing(f *fleet, _ uint64) (placeFunc, func()) {
	var mu sync.Mutex
	place := func(_ context.Context, r dispatch.Request) (dispatch.Grant, error) {
		for ; time.Until(r.Objective) > meanWork+2*oneWay; time.Sleep(step) {
			mu.Lock()
			name, took := f.soonest()
			if name != "" && took+2*oneWay <= time.Until(r.Objective) {
				f.upstreams[name].coming++
				mu.Unlock()
				return dispatch.NewGrant(name, func(dispatch.End) {
					mu.Lock()
					defer mu.Unlock()
					f.upstreams[name].coming--
				}), nil
			}
			mu.Unlock()
		}
		return dispatch.Grant{}, errHopeless
	}
	return place, func() {}
}

// meanWork is the mean work of a call.
const meanWork = 60 * time.Millisecond

// soonest returns the upstream with a free slot that would answer first; empty when
// there is none.
func (f *fleet) soonest() (string, time.Duration) {
	best, bestTook := "", time.Duration(0)
	for _, u := range f.list {
		s := f.upstreams[u.Name]
		if s.coming >= fleetSlots {
			continue
		}
		if took := s.foresee(meanWork); best == "" || took < bestTook {
			best, bestTook = u.Name, took
		}
	}
	return best, bestTook
}

// foresee returns how long work will take at a server beside the calls that it has.
func (s *server) foresee(work time.Duration) time.Duration {
	begin := time.Now().Add(oneWay)
	at := begin
	for {
		pace := s.slowness(at)
		if s.coming > 0 {
			pace *= pairFactor
		}
		inPhase := phaseTime - at.Sub(s.began)%phaseTime
		whole := time.Duration(float64(work) * pace)
		if whole <= inPhase {
			return at.Add(whole).Sub(begin)
		}
		work -= time.Duration(float64(inPhase) / pace)
		at = at.Add(inPhase)
	}
}

// baselineTime is how long a baseline is played.
const baselineTime = 6 * time.Second

// medianShare returns the share of a load that is answered in time, as the median
// over seeds.
func medianShare(t *testing.T, perSecond float64, seeds uint64, place placing) float64 {
	t.Helper()
	var shares []float64
	for seed := range seeds {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(fleetSize, seed)
			placed, end := place(f, seed)
			l := statusLoad(perSecond, seed)
			l.lasts = baselineTime
			shares = append(shares, share(f.play(l, placed), timely(l)))
			end()
			time.Sleep(time.Minute)
		})
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

// byOneVM is figfront's own placing.
func byOneVM(f *fleet, seed uint64) (placeFunc, func()) {
	return inCharge(f.dispatcher("vm", seed))
}

// TestPlacingBeatsTheBaselines plays the load of the Split deployment's scale days:
// the usual one and one above the capacity.
func TestPlacingBeatsTheBaselines(t *testing.T) {
	t.Parallel()
	const seeds = 3
	for _, perSecond := range []float64{130, 300} {
		own := medianShare(t, perSecond, seeds, byOneVM)
		t.Logf("%.0f calls a second: own %.3f, all-knowing %.3f in time", perSecond, own, medianShare(t, perSecond, seeds, allKnowing))
		for name, baseline := range baselines {
			got := medianShare(t, perSecond, seeds, baseline)
			t.Logf("%.0f calls a second: %s %.3f in time", perSecond, name, got)
			NewWithT(t).Expect(own).To(BeNumerically(">", got), name)
		}
	}
}
