package loadbalancer

import (
	"math"
	"time"
)

// Constants of a concurrencyModel.
const (
	// modeledConcurrency is the largest number of running calls whose throughput
	// is learned.
	modeledConcurrency = 16
	// concurrencyTimeConstant is the time after which the weight of an
	// observation has fallen to 1/e. An upstream that is limited is tried with
	// more calls again once too little is known about them.
	concurrencyTimeConstant = 30 * time.Second
	// minCompletions is the number of completed calls from which on the
	// throughput at a concurrency is known.
	minCompletions = 30
	// minThroughputGain is the ratio by which the throughput has to be higher
	// with one call less before an upstream is limited to that.
	minThroughputGain = 1.1
)

// concurrencyModel learns the throughput of the upstreams of a service by the
// number of calls that one of them runs. The throughput of a server that
// slows down when it is nearly full may be highest while a slot is free. Times
// are divided by the reported slowness, so that slow phases cancel out.
type concurrencyModel struct {
	// byCalls is indexed by the number of running calls.
	byCalls [modeledConcurrency + 1]throughputSample
	// decayedAt is when the samples last decayed.
	decayedAt time.Duration
}

// throughputSample holds how many calls completed during a time.
type throughputSample struct {
	// seconds is the time that was observed, at the usual speed.
	seconds   float64
	completed float64
}

// perSecond returns the throughput in calls a second. It returns false when too
// few calls were completed.
func (s throughputSample) perSecond() (float64, bool) {
	if s.completed < minCompletions || s.seconds == 0 {
		return 0, false
	}
	return s.completed / s.seconds, true
}

// observe records that an upstream ran a number of calls for a duration at a
// slowness, and whether one of them completed at its end.
func (m *concurrencyModel) observe(at time.Duration, calls int, duration time.Duration, slowness float64, isCompleted bool) {
	if calls < 1 || calls > modeledConcurrency {
		return
	}
	m.decay(at)
	sample := &m.byCalls[calls]
	sample.seconds += duration.Seconds() / slowness
	if isCompleted {
		sample.completed++
	}
}

// decayInterval is the time between two decays of the samples.
const decayInterval = 500 * time.Millisecond

// decay lowers the weight of earlier observations.
func (m *concurrencyModel) decay(at time.Duration) {
	passed := at - m.decayedAt
	if passed < decayInterval {
		return
	}
	m.decayedAt = at
	weight := math.Exp(-float64(passed) / float64(concurrencyTimeConstant))
	for i := range m.byCalls {
		m.byCalls[i].seconds *= weight
		m.byCalls[i].completed *= weight
	}
}

// limit returns the number of calls up to which an upstream with the given
// number of slots gets further calls: all its slots, or fewer if its throughput
// is higher then.
func (m *concurrencyModel) limit(slots int) int {
	for calls := min(slots, modeledConcurrency); calls > 1; calls-- {
		throughput, isKnown := m.byCalls[calls].perSecond()
		lower, isLowerKnown := m.byCalls[calls-1].perSecond()
		if !isKnown || !isLowerKnown || lower < minThroughputGain*throughput {
			if calls >= modeledConcurrency {
				return slots
			}
			return calls
		}
	}
	return 1
}

// maxSpeedAge is the age up to which a reported slowness is recent enough to
// learn a throughput from.
const maxSpeedAge = 150 * time.Millisecond

// observeConcurrency records the throughput of an upstream since the last call
// of observeConcurrency. It is called before each change of the upstream's calls
// in flight or reported slowness.
func (b *Balancer) observeConcurrency(e *entry, at time.Duration, isCompleted bool) {
	duration := at - e.observedUntil
	e.observedUntil = at
	if b.isSpeedKnown(e, at) {
		b.concurrency.observe(at, e.inFlight(), duration, e.reportedSlowness, isCompleted)
	}
}

// isSpeedKnown reports whether the present speed of the upstream and the number
// of its calls are known.
func (b *Balancer) isSpeedKnown(e *entry, at time.Duration) bool {
	if e.phase != phaseReady || at < e.coldUntil {
		return false
	}
	if e.reportedSlowness <= 0 || at-e.slownessAt > maxSpeedAge {
		return false
	}
	return b.callLoad(e, at)-float64(e.inFlight()) <= loadMargin
}
