package decisionbench

import (
	"testing"
)

// lookups returns start-board with hedged lookups alone.
func lookups(load float64) Config {
	config := StartBoard(load)
	config.Hedge = true
	config.HedgeProbes = 1
	return config
}

// bookings returns start-board with bookings alone, each after asking two
// upstreams for their load.
func bookings(load float64) Config {
	config := StartBoard(load)
	config.BookingShare = 1
	config.BookingProbes = 2
	return config
}

// bound returns the median quantile of the lookups under a bound policy.
func bound(policy func(*Simulation, int) Policy, load, q float64) float64 {
	config := StartBoard(load)
	config.NewPolicy = policy
	return median(runSeeds(config), lookupP(q))
}

func bookingP(q float64) func(r *Result) float64 {
	return func(r *Result) float64 { return r.Bookings.P(q) }
}

func TestLookupP99(t *testing.T) {
	got := median(runSeeds(lookups(0.70)), lookupP(0.99))
	atMost(t, "p99 of lookups over the all-knowing bound", got/bound(KnowsAll, 0.70, 0.99), 1.25)
}

func TestLookupP999(t *testing.T) {
	got := median(runSeeds(lookups(0.70)), lookupP(0.999))
	atMost(t, "p99.9 of lookups over the all-knowing bound", got/bound(KnowsAll, 0.70, 0.999), 1.5)
}

func TestLookupCost(t *testing.T) {
	results := runSeeds(lookups(0.70))
	atMost(t, "sends per lookup", median(results, (*Result).SendsPerCall), 1.05)
	atMost(t, "probes per lookup", median(results, (*Result).ProbesPerCall), 0.05)
}

func TestLookupP99AtHighLoad(t *testing.T) {
	got := median(runSeeds(lookups(0.85)), lookupP(0.99))
	atMost(t, "p99 of lookups over the all-knowing bound", got/bound(KnowsAll, 0.85, 0.99), 1.3)
}

func TestBookingP99(t *testing.T) {
	got := median(runSeeds(bookings(0.70)), bookingP(0.99))
	atMost(t, "p99 of bookings over the queue-knowing bound", got/bound(KnowsQueues, 0.70, 0.99), 1.15)
}

func TestBookingP99AtHighLoad(t *testing.T) {
	got := median(runSeeds(bookings(0.85)), bookingP(0.99))
	atMost(t, "p99 of bookings over the queue-knowing bound", got/bound(KnowsQueues, 0.85, 0.99), 1.25)
}
