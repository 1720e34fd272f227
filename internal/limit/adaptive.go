package limit

import (
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
	tolerance = 3
	// latencyWeight is the weight of one answer in the smoothed latency.
	latencyWeight = 0.1
	// baselineWeight is the weight of one answer by which the baseline rises
	// while this VM has little in flight.
	baselineWeight = 0.01
	// minCutInterval is the least time between two cuts.
	minCutInterval = 10 * time.Millisecond
)

// Adaptive limits the calls of this VM that are in flight at one upstream. The
// limit rises by about one in the time of that many answers while it is used,
// and is cut when the upstream refuses calls or becomes slow. It never falls
// below one, so that an upstream that recovers is noticed. It is not safe for
// concurrent use.
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

// Limit returns the number of calls that may be in flight.
func (a *Adaptive) Limit() int {
	return int(a.limit)
}

// IsFull tells whether the limit is reached.
func (a *Adaptive) IsFull() bool {
	return a.inFlight >= a.Limit()
}

// Start records that a call is sent.
func (a *Adaptive) Start() {
	a.inFlight++
}

// Answered records an answer and the time it took.
func (a *Adaptive) Answered(now time.Time, latency time.Duration) {
	busy := a.inFlight
	a.end()
	a.learn(busy, latency)
	if a.smoothed > tolerance*a.baseline {
		a.cut(now, slowCut)
		return
	}
	if isUsed := 2*busy >= a.Limit(); isUsed {
		a.limit = min(a.limit+1/a.limit, a.highest)
	}
}

// Refused records that the upstream refused or failed a call.
func (a *Adaptive) Refused(now time.Time) {
	a.end()
	a.cut(now, shedCut)
}

// Cancelled records that a call was given up; it says nothing of the upstream.
func (a *Adaptive) Cancelled() {
	a.end()
}

func (a *Adaptive) end() {
	a.inFlight = max(a.inFlight-1, 0)
}

// learn follows the latency. The baseline falls at once and rises only while
// this VM has one call in flight, so that the VM's own queue is never taken
// for the normal state.
func (a *Adaptive) learn(busy int, latency time.Duration) {
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
	if busy <= 1 {
		a.baseline += time.Duration(baselineWeight * float64(a.smoothed-a.baseline))
	}
}

// cut lowers the limit, at most once in the time of an answer.
func (a *Adaptive) cut(now time.Time, factor float64) {
	if now.Sub(a.cutAt) < max(a.smoothed, minCutInterval) {
		return
	}
	a.cutAt = now
	a.limit = max(a.limit*factor, 1)
}
