package decisionbench

import (
	"math/rand/v2"
	"slices"
	"time"
)

// baseline is a reference policy to compare figfront's policy with. Its function
// choose selects one of the candidate upstreams.
type baseline struct {
	sim      *Simulation
	vm       int
	random   *rand.Rand
	inFlight []int
	next     int
	choose   func(b *baseline, candidates []int) int
}

func newBaseline(choose func(b *baseline, candidates []int) int) func(*Simulation, int) Policy {
	return func(s *Simulation, vm int) Policy {
		return &baseline{
			sim: s, vm: vm, choose: choose,
			random:   rand.New(rand.NewPCG(s.Config.Seed, uint64(4000+vm))),
			inFlight: make([]int, len(s.Upstreams)),
			next:     vm,
		}
	}
}

func (b *baseline) Pick(sends []*Send) (int, bool) {
	candidates := make([]int, 0, len(b.sim.Upstreams))
	for i := range b.sim.Upstreams {
		if !slices.ContainsFunc(sends, func(sent *Send) bool { return sent.Upstream == i }) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return b.choose(b, candidates), true
}

func (b *baseline) Sent(upstream int)                              { b.inFlight[upstream]++ }
func (b *baseline) Done(upstream int, _ time.Duration, _ response) { b.inFlight[upstream]-- }
func (b *baseline) Cancelled(upstream int, _ time.Duration)        { b.inFlight[upstream]-- }
func (b *baseline) Probed(int, time.Time, response)                {}

// cheapest returns the candidate with the lowest cost; ties are broken at random.
func (b *baseline) cheapest(candidates []int, cost func(i int) float64) int {
	best, bestCost, ties := -1, 0.0, 0
	for _, i := range candidates {
		c := cost(i)
		switch {
		case best < 0 || c < bestCost:
			best, bestCost, ties = i, c, 1
		case c == bestCost:
			ties++
			if b.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// networkCost returns the network round-trip time to an upstream in units of
// Config.MeanService.
func (b *baseline) networkCost(i int) float64 {
	oneWay := b.sim.oneWay(b.sim.VMs[b.vm].zone, b.sim.Upstreams[i].Zone)
	return 2 * float64(oneWay) / float64(b.sim.Config.MeanService)
}

// serviceCost returns the expected time that a new send waits and runs at an
// upstream with the given number of outstanding sends, in units of
// Config.MeanService.
func (b *baseline) serviceCost(i, outstanding int) float64 {
	slots := b.sim.Config.Slots
	wait := float64(max(outstanding+1-slots, 0)) / float64(slots)
	return wait + 1
}

// Reference policies. The oracles read the state of the upstreams without delay,
// which no real policy can, so their latencies serve as bounds.
var (
	Random = newBaseline(func(b *baseline, candidates []int) int {
		return candidates[b.random.IntN(len(candidates))]
	})
	RoundRobin = newBaseline(func(b *baseline, candidates []int) int {
		b.next++
		return candidates[b.next%len(candidates)]
	})
	LeastInFlight = newBaseline(func(b *baseline, candidates []int) int {
		return b.cheapest(candidates, func(i int) float64 { return float64(b.inFlight[i]) })
	})
	TwoChoices = newBaseline(func(b *baseline, candidates []int) int {
		first := b.random.IntN(len(candidates))
		second := b.random.IntN(len(candidates))
		pair := []int{candidates[first], candidates[second]}
		return b.cheapest(pair, func(i int) float64 { return float64(b.inFlight[i]) })
	})
	// QueueOracle knows how many sends run, wait or are in transit at each
	// upstream. It does not know about slow phases.
	QueueOracle = newBaseline(func(b *baseline, candidates []int) int {
		return b.cheapest(candidates, func(i int) float64 {
			return b.serviceCost(i, b.sim.Upstreams[i].outstanding()) + b.networkCost(i)
		})
	})
	// FullOracle also knows which upstreams are in a slow phase now, but not when
	// slow phases begin or end.
	FullOracle = newBaseline(func(b *baseline, candidates []int) int {
		return b.cheapest(candidates, func(i int) float64 {
			u := b.sim.Upstreams[i]
			cost := b.serviceCost(i, u.outstanding())
			if slow, _ := u.slowPhase(b.sim.Elapsed()); slow {
				cost *= b.sim.Config.SlowFactor
			}
			return cost + b.networkCost(i)
		})
	})
)
