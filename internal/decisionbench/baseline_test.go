package decisionbench

import (
	"math/rand/v2"
	"slices"
	"time"
)

// baseline is a policy for comparison: it sends to the upstream of lowest cost
// and breaks ties at random.
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

func (b *baseline) Sent(upstream int)                            { b.inFlight[upstream]++ }
func (b *baseline) Done(upstream int, _ time.Duration, _ answer) { b.inFlight[upstream]-- }
func (b *baseline) Cancelled(upstream int, _ time.Duration)      { b.inFlight[upstream]-- }
func (b *baseline) Probed(int, time.Time, answer)                {}

// lowest returns the candidate of lowest cost, one of several at random.
func (b *baseline) lowest(candidates []int, cost func(i int) float64) int {
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

// network returns the network time there and back in units of MeanService.
func (b *baseline) network(i int) float64 {
	oneWay := b.sim.oneWay(b.sim.VMs[b.vm].zone, b.sim.Upstreams[i].Zone)
	return 2 * float64(oneWay) / float64(b.sim.Config.MeanService)
}

// expected returns the time until an answer, in units of MeanService, of an
// upstream with the given number of outstanding sends.
func (b *baseline) expected(i, outstanding int) float64 {
	slots := b.sim.Config.Slots
	wait := float64(max(outstanding+1-slots, 0)) / float64(slots)
	return wait + 1
}

// Baselines and bounds.
var (
	Random = newBaseline(func(b *baseline, candidates []int) int {
		return candidates[b.random.IntN(len(candidates))]
	})
	RoundRobin = newBaseline(func(b *baseline, candidates []int) int {
		b.next++
		return candidates[b.next%len(candidates)]
	})
	LeastInFlight = newBaseline(func(b *baseline, candidates []int) int {
		return b.lowest(candidates, func(i int) float64 { return float64(b.inFlight[i]) })
	})
	TwoChoices = newBaseline(func(b *baseline, candidates []int) int {
		first := b.random.IntN(len(candidates))
		second := b.random.IntN(len(candidates))
		pair := []int{candidates[first], candidates[second]}
		return b.lowest(pair, func(i int) float64 { return float64(b.inFlight[i]) })
	})
	// KnowsQueues sees what every upstream holds and what is on its way there,
	// at once; it does not see slow phases.
	KnowsQueues = newBaseline(func(b *baseline, candidates []int) int {
		return b.lowest(candidates, func(i int) float64 {
			return b.expected(i, b.sim.Upstreams[i].outstanding()) + b.network(i)
		})
	})
	// KnowsAll sees the slow phases too, but not when they begin or end.
	KnowsAll = newBaseline(func(b *baseline, candidates []int) int {
		return b.lowest(candidates, func(i int) float64 {
			u := b.sim.Upstreams[i]
			cost := b.expected(i, u.outstanding())
			if slow, _ := u.isSlow(b.sim.Elapsed()); slow {
				cost *= b.sim.Config.SlowFactor
			}
			return cost + b.network(i)
		})
	})
)
