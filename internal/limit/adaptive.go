package limit

import (
	"math"
	"time"
)

// Bounds and steps of an Adaptive.
const (
	// startLimit is the limit before anything is known.
	startLimit = 4
	// shedCut multiplies the limit when the upstream refuses or fails a call.
	shedCut = 0.7
	// slowCut multiplies the limit when calls take longer than they should.
	slowCut = 0.9
	// tolerance is the ratio of latency to baseline above which calls count
	// as slow.
	tolerance = 1.5
	// raise is added to the limit by an answer in time, and to a limit below
	// one in proportion.
	raise = 0.1
	// minLimit is the lowest limit of an upstream that reports a queue or
	// refuses calls, and minLimitUnreported that of any other.
	minLimit           = 0.1
	minLimitUnreported = 1.0
	// latencyWeight is the weight of one answer in the smoothed latency.
	latencyWeight = 0.1
	// baselineWeight is the weight of one answer by which the baseline rises
	// while the upstream reports no queue.
	baselineWeight = 0.01
	// minCutInterval is the least time between two cuts.
	minCutInterval = 10 * time.Millisecond
)

// NoQueueReport stands for the queue of an upstream that did not report it.
const NoQueueReport = -1

// Adaptive limits the calls of this VM that are in flight at one upstream. The
// limit rises while it is used and answers come in time, and is cut when the
// upstream refuses calls or becomes slow. Below one it is this VM's share of a
// call at a time: one call may be in flight, but the sum over the upstreams
// stays small. It is not safe for concurrent use.
type Adaptive struct {
	highest  float64
	limit    float64
	inFlight int
	smoothed time.Duration
	baseline time.Duration
	cutAt    time.Time
}

// NewAdaptive returns a limit that stays at or below highest.
func NewAdaptive(highest int) *Adaptive {
	a := &Adaptive{limit: startLimit}
	a.SetHighest(highest)
	return a
}

// SetHighest changes the highest limit; it counts as 1 below that.
func (a *Adaptive) SetHighest(highest int) {
	a.highest = float64(max(highest, 1))
	a.limit = min(a.limit, a.highest)
}

// Limit returns the number of calls that may be in flight; a fraction counts in
// the sum over the upstreams.
func (a *Adaptive) Limit() float64 {
	return a.limit
}

// IsFull tells whether the limit is reached; one call may always be in flight.
func (a *Adaptive) IsFull() bool {
	return float64(a.inFlight) >= max(math.Floor(a.limit), 1)
}

// Start records that a call is sent.
func (a *Adaptive) Start() {
	a.inFlight++
}

// Answered records an answer, the time it took and the calls that the upstream
// reported as waiting, or NoQueueReport. An upstream without a queue is slow for
// another reason than this VM's calls, so that fewer of them would not help it.
func (a *Adaptive) Answered(now time.Time, latency time.Duration, queued int) {
	isUsed := a.isUsed()
	a.end()
	a.learn(latency, queued)
	isSlow := float64(a.smoothed) > tolerance*float64(a.baseline)
	if isSlow && queued != 0 {
		a.cut(now, slowCut, lowestFor(queued))
		return
	}
	if isUsed {
		a.rise()
	}
}

// Succeeded records an answer whose time says nothing of the upstream, such as
// that to an upload.
func (a *Adaptive) Succeeded() {
	isUsed := a.isUsed()
	a.end()
	if isUsed {
		a.rise()
	}
}

// isUsed tells whether at least half of the limit is in flight.
func (a *Adaptive) isUsed() bool {
	return 2*float64(a.inFlight) >= a.limit
}

func (a *Adaptive) rise() {
	a.limit = min(a.limit+raise*min(a.limit, 1), a.highest)
}

// Shed records that the upstream refused a call, which proves that it is full.
func (a *Adaptive) Shed(now time.Time) {
	a.end()
	a.cut(now, shedCut, minLimit)
}

// Failed records that the upstream failed a call. The limit stays at one, so
// that the upstream's capacity is there when it recovers.
func (a *Adaptive) Failed(now time.Time) {
	a.end()
	a.cut(now, shedCut, minLimitUnreported)
}

// Cancelled records that a call was given up; it says nothing of the upstream.
func (a *Adaptive) Cancelled() {
	a.end()
}

func (a *Adaptive) end() {
	a.inFlight = max(a.inFlight-1, 0)
}

// learn follows the latency. The baseline falls at once and rises only while the
// upstream reports no queue, so that a lasting overload is never taken for the
// normal state.
func (a *Adaptive) learn(latency time.Duration, queued int) {
	if a.smoothed == 0 {
		a.smoothed = latency
		a.baseline = latency
		return
	}
	a.smoothed += time.Duration(latencyWeight * float64(latency-a.smoothed))
	if a.smoothed < a.baseline {
		a.baseline = a.smoothed
		return
	}
	if queued == 0 {
		a.baseline += time.Duration(baselineWeight * float64(latency-a.baseline))
	}
}

// lowestFor returns the limit below which slow answers don't cut.
func lowestFor(queued int) float64 {
	if queued > 0 {
		return minLimit
	}
	return minLimitUnreported
}

// cut lowers the limit down to lowest, at most once in the time of an answer.
func (a *Adaptive) cut(now time.Time, factor, lowest float64) {
	if now.Sub(a.cutAt) < max(a.smoothed, minCutInterval) {
		return
	}
	a.cutAt = now
	a.limit = min(max(a.limit*factor, lowest), a.limit)
}
