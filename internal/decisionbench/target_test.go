package decisionbench

import (
	"sync"
	"testing"
)

// lookups returns the configuration of start-board with hedged lookups only.
func lookups(load float64) Config {
	config := StartBoard(load)
	config.Hedge = true
	return config
}

// bookings returns the configuration of start-board with bookings only.
func bookings(load float64) Config {
	config := StartBoard(load)
	config.BookingShare = 1
	return config
}

// Results that several tests share.
var (
	lookups70     = sync.OnceValue(func() []*Result { return runSeeds(lookups(0.70)) })
	lookups85     = sync.OnceValue(func() []*Result { return runSeeds(lookups(0.85)) })
	bookings70    = sync.OnceValue(func() []*Result { return runSeeds(bookings(0.70)) })
	bookings85    = sync.OnceValue(func() []*Result { return runSeeds(bookings(0.85)) })
	fullOracle70  = sync.OnceValue(func() []*Result { return runOracle(FullOracle, 0.70) })
	fullOracle85  = sync.OnceValue(func() []*Result { return runOracle(FullOracle, 0.85) })
	queueOracle70 = sync.OnceValue(func() []*Result { return runOracle(QueueOracle, 0.70) })
	queueOracle85 = sync.OnceValue(func() []*Result { return runOracle(QueueOracle, 0.85) })
)

// runOracle runs lookups without hedges under an oracle policy.
func runOracle(policy func(*Simulation, int) Policy, load float64) []*Result {
	config := StartBoard(load)
	config.NewPolicy = policy
	return runSeeds(config)
}

func bookingQuantile(q float64) func(r *Result) float64 {
	return func(r *Result) float64 { return r.Bookings.QuantileMs(q) }
}

func TestLookupP99(t *testing.T) {
	ratio := medianOf(lookups70(), lookupQuantile(0.99)) / medianOf(fullOracle70(), lookupQuantile(0.99))
	atMost(t, "p99 of lookups over p99 of the full oracle", ratio, 1.25)
}

func TestLookupP999(t *testing.T) {
	ratio := medianOf(lookups70(), lookupQuantile(0.999)) / medianOf(fullOracle70(), lookupQuantile(0.999))
	atMost(t, "p99.9 of lookups over p99.9 of the full oracle", ratio, 1.5)
}

func TestLookupCost(t *testing.T) {
	atMost(t, "sends per lookup", medianOf(lookups70(), (*Result).SendsPerCall), 1.05)
	atMost(t, "probes per lookup", medianOf(lookups70(), (*Result).ProbesPerCall), 0.05)
}

func TestLookupP99AtHighLoad(t *testing.T) {
	ratio := medianOf(lookups85(), lookupQuantile(0.99)) / medianOf(fullOracle85(), lookupQuantile(0.99))
	atMost(t, "p99 of lookups over p99 of the full oracle", ratio, 1.3)
}

func TestBookingP99(t *testing.T) {
	ratio := medianOf(bookings70(), bookingQuantile(0.99)) / medianOf(queueOracle70(), lookupQuantile(0.99))
	atMost(t, "p99 of bookings over p99 of the queue oracle", ratio, 1.15)
}

func TestBookingP99AtHighLoad(t *testing.T) {
	ratio := medianOf(bookings85(), bookingQuantile(0.99)) / medianOf(queueOracle85(), lookupQuantile(0.99))
	atMost(t, "p99 of bookings over p99 of the queue oracle", ratio, 1.25)
}
