package loadbalancer

import (
	"math"
	"slices"
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/limit"
)

// entry holds the VM's state about one upstream. Times are measured from the
// first use of the balancer.
type entry struct {
	balancer *Balancer
	upstream Upstream
	zoneCost float64
	// slots is the number of the upstream's slots, at least 1; inverseSlots is
	// 1/slots.
	slots        float64
	inverseSlots float64
	// rank is the hash that orders the upstreams on this VM.
	rank uint64

	machine *chart.Machine
	phase   phase
	// sendTimes holds the start times of the VM's own sends in flight, oldest
	// first. It leaves out bulk sends, which bulk counts.
	sendTimes []time.Duration
	bulk      int
	// idleSince is when the upstream last had a call that this VM knew of.
	idleSince time.Duration

	// othersLoad is the load caused by other VMs' calls at reportedAt, in
	// calls.
	othersLoad float64
	reportedAt time.Duration
	// reportedSlowness is the slowness that the upstream reported at
	// slownessAt: how long work takes there, as a multiple of the usual time.
	// It is 0 before the first report.
	reportedSlowness float64
	slownessAt       time.Duration

	// penalty is the load, in calls, that failures and shed calls add to the
	// estimate at penaltyAt. failures is the number of failures in a row.
	penalty   float64
	penaltyAt time.Duration
	failures  int

	// latencyRatio is the moving average of recent latencies as multiples of
	// the expected or mean latency. isSlowSuspect means that it made the
	// upstream a suspect.
	latencyRatio  float64
	isSlowSuspect bool

	// coldUntil is when the upstream will have warmed up according to its own
	// report.
	coldUntil time.Duration
	// warmUpStart is the start of the warm-up.
	warmUpStart time.Duration
	// trialAt is when a suspect may get its next trial call; trialDelay is the
	// delay that it was computed from.
	trialAt    time.Duration
	trialDelay time.Duration
	// leavingSince is when the upstream was first seen to be leaving.
	leavingSince time.Duration
	// lastHeard is when the upstream began to leave or was last probed,
	// whichever is later; further drain notices don't change it.
	// isDrainSeenLocally means that this VM itself saw the upstream drain, saysItLeaves that
	// the upstream said so itself.
	lastHeard          time.Duration
	isDrainSeenLocally bool
	saysItLeaves       bool

	// rate limits the sends to the upstream while it names a rate limit, namedRate.
	// rateStatedAt is when the latest known response arrived that said something about
	// it, rateChangedAt when namedRate last changed; isRateFromProbe means that the answer
	// to a probe named it.
	rate            limit.Rate
	namedRate       callheader.Rate
	rateStatedAt    time.Duration
	rateChangedAt   time.Duration
	isRateFromProbe bool
}

// newEntry returns the entry of a new upstream. It starts with a warm-up unless
// isWarm is set.
func newEntry(b *Balancer, at time.Duration, isWarm bool) *entry {
	e := &entry{balancer: b, machine: upstreamChart.NewMachine(), idleSince: at, rateStatedAt: math.MinInt64}
	e.startWarmUp(at)
	if isWarm {
		e.fire(eventWarmedUp, at)
	}
	return e
}

// inFlight returns the number of the VM's own sends in flight.
func (e *entry) inFlight() int {
	return len(e.sendTimes) + e.bulk
}

func (e *entry) addSend(at time.Duration, isBulk bool) {
	if isBulk {
		e.bulk++
		return
	}
	e.sendTimes = append(e.sendTimes, at)
}

// removeSend removes the send that started at the given time, or the closest
// one. It ended at the time at.
func (e *entry) removeSend(at, start time.Duration, isBulk bool) {
	e.idleSince = at
	if isBulk {
		e.bulk = max(e.bulk-1, 0)
		return
	}
	if len(e.sendTimes) == 0 {
		return
	}
	i, _ := slices.BinarySearch(e.sendTimes, start)
	i = min(i, len(e.sendTimes)-1)
	e.sendTimes = slices.Delete(e.sendTimes, i, i+1)
}
