package dispatch_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestUrgentCallsGoFirst overloads a service with less urgent calls while
// urgent calls arrive at a third of its capacity. All slots are occupied then,
// so a call can't be moved away from an upstream that becomes slow: such calls
// may be late. Of the other urgent calls, a share of goodputTarget has to be
// answered in time.
func TestUrgentCallsGoFirst(t *testing.T) {
	t.Parallel()
	var urgentShares, otherShares []float64
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(pairServers, fleetSize, seed)
			place, end := asCoordinator(f.dispatcher("vm", seed))
			full := pairServers.capacity(statusLoad(0, 0))
			urgent, others := statusLoad(full/3, seed), statusLoad(1.5*full, seed+100)
			others.priority = 1
			var urgentResults, otherResults []result
			var loads sync.WaitGroup
			loads.Go(func() { urgentResults = f.run(urgent, place) })
			loads.Go(func() { otherResults = f.run(others, place) })
			loads.Wait()
			end()
			urgentShares = append(urgentShares, share(urgentResults, withinObjective(urgent)))
			otherShares = append(otherShares, share(otherResults, withinObjective(others)))
			checkRefusals(NewWithT(t), f, others, otherResults)
			time.Sleep(time.Minute)
		})
	}
	slices.Sort(urgentShares)
	slices.Sort(otherShares)
	t.Logf("timely share: urgent %.3f, others %.3f", urgentShares[2], otherShares[2])
	target := goodputTarget * (1 - pairServers.slowTransitionShare(statusLoad(0, 0)))
	NewWithT(t).Expect(urgentShares[2]).To(BeNumerically(">=", target), "median of five seeds")
}
