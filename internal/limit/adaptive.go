package limit

import (
	"math"
	"time"
)

// Parameters of an Adaptive. The limit follows additive increase and
// multiplicative decrease.
const (
	// initialLimit is the limit before the first response.
	initialLimit = 4
	// shedDecreaseFactor multiplies the limit when the upstream refuses or fails
	// a call.
	shedDecreaseFactor = 0.7
	// slowDecreaseFactor multiplies the limit when the smoothed latency exceeds
	// latencyTolerance times the baseline.
	slowDecreaseFactor = 0.9
	// latencyTolerance is the ratio of smoothed latency to baseline latency above
	// which the upstream counts as slow.
	latencyTolerance = 1.5
	// increaseStep is added to a utilized limit for each response, unless the
	// upstream is slow and its queue is not reported as empty. A limit below 1
	// grows by this fraction of itself instead.
	increaseStep = 0.1
	// minLimit is the lower bound of the limit for an upstream that reports a
	// queue or refuses calls, minLimitUnreported that for any other upstream.
	minLimit           = 0.1
	minLimitUnreported = 1.0
	// latencyWeight is the weight of one response in the smoothed latency.
	latencyWeight = 0.1
	// baselineWeight is the weight of one response in the baseline latency when
	// it rises, which it does only while the upstream reports an empty queue.
	baselineWeight = 0.01
	// minDecreaseInterval is the minimum time between two decreases.
	minDecreaseInterval = 10 * time.Millisecond
)

// NoQueueReport is the queue length to pass for an upstream that did not report
// one.
const NoQueueReport = -1

// Adaptive limits the calls of this VM that are in flight at one upstream. The
// limit increases while it is utilized and responses are not slow, and decreases
// when the upstream refuses or fails calls or becomes slow. A limit below 1
// still allows one call in flight; the fraction only reduces the sum of the
// limits over all upstreams. It is not safe for concurrent use.
type Adaptive struct {
	maxLimit        float64
	limit           float64
	inFlight        int
	smoothedLatency time.Duration
	baselineLatency time.Duration
	decreasedAt     time.Time
}

// NewAdaptive returns a limit that never exceeds maxLimit.
func NewAdaptive(maxLimit int) *Adaptive {
	a := &Adaptive{limit: initialLimit}
	a.SetMaxLimit(maxLimit)
	return a
}

// SetMaxLimit changes the maximum of the limit; values below 1 count as 1.
func (a *Adaptive) SetMaxLimit(maxLimit int) {
	a.maxLimit = float64(max(maxLimit, 1))
	a.limit = min(a.limit, a.maxLimit)
}

// Limit returns the number of calls that may be in flight. The fractional part
// counts only in the sum of the limits over all upstreams.
func (a *Adaptive) Limit() float64 {
	return a.limit
}

// IsFull reports whether the limit is reached. One call may always be in flight.
func (a *Adaptive) IsFull() bool {
	return float64(a.inFlight) >= max(math.Floor(a.limit), 1)
}

// Start records that a call was sent. Each Start is followed by exactly one of
// Answered, Succeeded, Shed, Failed and Cancelled.
func (a *Adaptive) Start() {
	a.inFlight++
}

// Answered records a response, its latency and the queue length that the
// upstream reported, or NoQueueReport. An upstream that is slow with an
// empty queue is not overloaded by calls, so fewer calls would not help and the
// limit is not decreased.
func (a *Adaptive) Answered(now time.Time, latency time.Duration, queued int) {
	wasUtilized := a.isUtilized()
	a.endCall()
	a.observeLatency(latency, queued)
	isSlow := float64(a.smoothedLatency) > latencyTolerance*float64(a.baselineLatency)
	if isSlow && queued != 0 {
		a.decrease(now, slowDecreaseFactor, minLimitFor(queued))
		return
	}
	if wasUtilized {
		a.increase()
	}
}

// Succeeded records a successful response whose latency is no measure of the
// upstream's load, such as the response to an upload.
func (a *Adaptive) Succeeded() {
	wasUtilized := a.isUtilized()
	a.endCall()
	if wasUtilized {
		a.increase()
	}
}

// isUtilized reports whether at least half of the limit is in flight.
func (a *Adaptive) isUtilized() bool {
	return 2*float64(a.inFlight) >= a.limit
}

func (a *Adaptive) increase() {
	a.limit = min(a.limit+increaseStep*min(a.limit, 1), a.maxLimit)
}

// Shed records that the upstream refused a call because it is overloaded.
func (a *Adaptive) Shed(now time.Time) {
	a.endCall()
	a.decrease(now, shedDecreaseFactor, minLimit)
}

// Failed records that the upstream failed a call. The limit does not fall below
// 1, so that the upstream's capacity is available again once it recovers.
func (a *Adaptive) Failed(now time.Time) {
	a.endCall()
	a.decrease(now, shedDecreaseFactor, minLimitUnreported)
}

// Cancelled records that a call was cancelled. It does not change the limit.
func (a *Adaptive) Cancelled() {
	a.endCall()
}

func (a *Adaptive) endCall() {
	a.inFlight = max(a.inFlight-1, 0)
}

// observeLatency updates the smoothed latency and the baseline. The baseline
// falls immediately and rises only while the upstream reports an empty queue, so
// that a long overload is never mistaken for the normal state.
func (a *Adaptive) observeLatency(latency time.Duration, queued int) {
	if a.smoothedLatency == 0 {
		a.smoothedLatency = latency
		a.baselineLatency = latency
		return
	}
	a.smoothedLatency += time.Duration(latencyWeight * float64(latency-a.smoothedLatency))
	if a.smoothedLatency < a.baselineLatency {
		a.baselineLatency = a.smoothedLatency
		return
	}
	if queued == 0 {
		a.baselineLatency += time.Duration(baselineWeight * float64(latency-a.baselineLatency))
	}
}

// minLimitFor returns the lower bound to which slow responses can decrease the
// limit.
func minLimitFor(queued int) float64 {
	if queued > 0 {
		return minLimit
	}
	return minLimitUnreported
}

// decrease multiplies the limit by factor, down to minimum. It does so at most
// once per smoothed latency, so that a burst of refusals counts only once.
func (a *Adaptive) decrease(now time.Time, factor, minimum float64) {
	if now.Sub(a.decreasedAt) < max(a.smoothedLatency, minDecreaseInterval) {
		return
	}
	a.decreasedAt = now
	a.limit = min(max(a.limit*factor, minimum), a.limit)
}
