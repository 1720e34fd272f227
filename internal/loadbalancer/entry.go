package loadbalancer

import (
	"slices"
	"time"

	"github.com/figfront/figfront/internal/chart"
)

// entry is what the VM knows of one upstream. Times count from the balancer's
// first use.
type entry struct {
	balancer *Balancer
	upstream Upstream
	zoneCost float64
	// slots is the number of the upstream's slots, perSlot one by that number.
	slots   float64
	perSlot float64
	// rank is the upstream's place in the VM's order.
	rank uint64

	machine *chart.Machine
	phase   phase
	// starts holds the times of the own sends in flight, oldest first, without
	// the bulk ones, which bulk counts.
	starts []time.Duration
	bulk   int

	// others is the load by other VMs' calls as of reportedAt, in calls.
	others     float64
	reportedAt time.Duration
	// reportedSlowness is how long work takes at the upstream as of slownessAt,
	// as a multiple of the usual; 0 before the first report.
	reportedSlowness float64
	slownessAt       time.Duration

	// errors is the load that failures stand for as of errorsAt, in calls;
	// failures counts those in a row.
	errors   float64
	errorsAt time.Duration
	failures int

	// pace is the mean latency of the last answers as a multiple of the typical
	// one; isSlow tells that the pace made the upstream a suspect.
	pace   float64
	isSlow bool

	// coldUntil is when the upstream has warmed up by what it says itself.
	coldUntil time.Duration
	// warmFrom is the begin of the warm-up.
	warmFrom time.Duration
	// trialAt is when a suspect gets its next trial call, trialAfter the wait
	// that led to it.
	trialAt    time.Duration
	trialAfter time.Duration
	// leftAt is when the upstream was first seen leaving; isSignOwn tells that
	// this VM itself saw it.
	leftAt time.Duration
	// heardAt is when the last sign or probe of a leaving upstream came.
	heardAt   time.Duration
	isSignOwn bool
}

// newEntry returns the entry of an upstream that starts slowly unless it is
// warm.
func newEntry(b *Balancer, at time.Duration, isWarm bool) *entry {
	e := &entry{balancer: b, machine: upstreamChart.NewMachine()}
	e.startWarmUp(at)
	if isWarm {
		e.fire(eventWarmedUp, at)
	}
	return e
}

// inFlight returns the number of the VM's own sends in flight.
func (e *entry) inFlight() int {
	return len(e.starts) + e.bulk
}

func (e *entry) sent(at time.Duration, isBulk bool) {
	if isBulk {
		e.bulk++
		return
	}
	e.starts = append(e.starts, at)
}

// ended takes a send out of those in flight.
func (e *entry) ended(start time.Duration, isBulk bool) {
	if isBulk {
		e.bulk = max(e.bulk-1, 0)
		return
	}
	if len(e.starts) == 0 {
		return
	}
	i, _ := slices.BinarySearch(e.starts, start)
	i = min(i, len(e.starts)-1)
	e.starts = slices.Delete(e.starts, i, i+1)
}
