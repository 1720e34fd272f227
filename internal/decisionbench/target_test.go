package decisionbench

import (
	"sync"
	"testing"
)

// lookups returns start-board with hedged lookups alone.
func lookups(load float64) Config {
	config := StartBoard(load)
	config.Hedge = true
	return config
}

// bookings returns start-board with bookings alone.
func bookings(load float64) Config {
	config := StartBoard(load)
	config.BookingShare = 1
	return config
}

// Runs that several targets share.
var (
	lookups70  = sync.OnceValue(func() []*Result { return runSeeds(lookups(0.70)) })
	lookups85  = sync.OnceValue(func() []*Result { return runSeeds(lookups(0.85)) })
	bookings70 = sync.OnceValue(func() []*Result { return runSeeds(bookings(0.70)) })
	bookings85 = sync.OnceValue(func() []*Result { return runSeeds(bookings(0.85)) })
	allKnown70 = sync.OnceValue(func() []*Result { return runBound(KnowsAll, 0.70) })
	allKnown85 = sync.OnceValue(func() []*Result { return runBound(KnowsAll, 0.85) })
	queues70   = sync.OnceValue(func() []*Result { return runBound(KnowsQueues, 0.70) })
	queues85   = sync.OnceValue(func() []*Result { return runBound(KnowsQueues, 0.85) })
)

// runBound runs lookups under a bound policy.
func runBound(policy func(*Simulation, int) Policy, load float64) []*Result {
	config := StartBoard(load)
	config.NewPolicy = policy
	return runSeeds(config)
}

func bookingP(q float64) func(r *Result) float64 {
	return func(r *Result) float64 { return r.Bookings.P(q) }
}

func TestLookupP99(t *testing.T) {
	ratio := median(lookups70(), lookupP(0.99)) / median(allKnown70(), lookupP(0.99))
	atMost(t, "p99 of lookups over the all-knowing bound", ratio, 1.25)
}

func TestLookupP999(t *testing.T) {
	ratio := median(lookups70(), lookupP(0.999)) / median(allKnown70(), lookupP(0.999))
	atMost(t, "p99.9 of lookups over the all-knowing bound", ratio, 1.5)
}

func TestLookupCost(t *testing.T) {
	atMost(t, "sends per lookup", median(lookups70(), (*Result).SendsPerCall), 1.05)
	atMost(t, "probes per lookup", median(lookups70(), (*Result).ProbesPerCall), 0.05)
}

func TestLookupP99AtHighLoad(t *testing.T) {
	ratio := median(lookups85(), lookupP(0.99)) / median(allKnown85(), lookupP(0.99))
	atMost(t, "p99 of lookups over the all-knowing bound", ratio, 1.3)
}

func TestBookingP99(t *testing.T) {
	ratio := median(bookings70(), bookingP(0.99)) / median(queues70(), lookupP(0.99))
	atMost(t, "p99 of bookings over the queue-knowing bound", ratio, 1.15)
}

func TestBookingP99AtHighLoad(t *testing.T) {
	ratio := median(bookings85(), bookingP(0.99)) / median(queues85(), lookupP(0.99))
	atMost(t, "p99 of bookings over the queue-knowing bound", ratio, 1.25)
}
