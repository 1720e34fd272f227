package dispatch_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// fewUpstreams is the number of upstreams of a small service.
const fewUpstreams = 6

// TestLongBookingsDoNotCloseAServiceToShortLookups has a service with two kinds of calls at
// half of its capacity: lookups, and bookings that are ten times as much work.
func TestLongBookingsDoNotCloseAServiceToShortLookups(t *testing.T) {
	t.Parallel()
	for _, model := range []serverModel{keptDesk, keptPair} {
		for _, lookupShare := range []float64{0.1, 0.5, 0.9} {
			name := fmt.Sprintf("%d slots, %.1f lookups", model.slots, lookupShare)
			var lookups, bookings []float64
			for seed := range uint64(5) {
				synctest.Test(t, func(*testing.T) {
					f := newFleet(model, fewUpstreams, seed)
					place, end := asCoordinator(f.dispatcher("vm", seed))
					lookup := load{
						work: 60 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 2 * time.Second,
						duration: 30 * time.Second, seed: seed,
					}
					booking := load{
						work: 600 * time.Millisecond, objective: 2 * time.Second, deadline: 6 * time.Second,
						duration: 30 * time.Second, seed: seed + 100, isBooking: true,
					}
					half := 0.5 * fewUpstreams / fleetSize
					lookup.perSecond = lookupShare * half * model.capacity(lookup)
					booking.perSecond = (1 - lookupShare) * half * model.capacity(booking)
					var lookupResults, bookingResults []result
					var loads sync.WaitGroup
					loads.Go(func() { lookupResults = f.run(lookup, place) })
					loads.Go(func() { bookingResults = f.run(booking, place) })
					loads.Wait()
					end()
					time.Sleep(time.Minute)
					lookups = append(lookups, share(lookupResults, withinObjective(lookup)))
					bookings = append(bookings, share(bookingResults, withinObjective(booking)))
				})
			}
			slices.Sort(lookups)
			slices.Sort(bookings)
			t.Logf("%s: in time %.3f of the lookups, %.3f of the bookings", name, lookups[2], bookings[2])
			g := NewWithT(t)
			g.Expect(lookups[2]).To(BeNumerically(">=", goodputTarget), "%s: lookups, median of five seeds", name)
			g.Expect(bookings[2]).To(BeNumerically(">=", goodputTarget), "%s: bookings, median of five seeds", name)
		}
	}
}
