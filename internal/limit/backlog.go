package limit

import (
	"math"
	"time"
)

// Parameters of a Backlog.
const (
	// sendRateTimeConstant is the time constant of the exponentially decayed
	// send rate.
	sendRateTimeConstant = 1500 * time.Millisecond
	// minBacklog is the number of calls that may wait whatever the send rate
	// is.
	minBacklog = 1
)

// Backlog limits the calls of one service that wait on a VM for a free upstream.
// During overload it lets only as many calls wait as can be sent in time at the
// recent send rate, and refuses the others immediately instead of after a
// useless wait. It is not safe for concurrent use.
type Backlog struct {
	waiting int
	// sends is the decayed number of sends at updatedAt.
	sends     float64
	updatedAt time.Time
}

// Sent records that a call was sent to an upstream.
func (b *Backlog) Sent(now time.Time) {
	b.sends = b.decayedSends(now) + 1
	b.updatedAt = now
}

// decayedSends returns the number of recorded sends, decayed to now.
func (b *Backlog) decayedSends(now time.Time) float64 {
	if b.updatedAt.IsZero() {
		return 0
	}
	return b.sends * math.Exp(-float64(now.Sub(b.updatedAt))/float64(sendRateTimeConstant))
}

// SendsPerSecond returns the recent send rate.
func (b *Backlog) SendsPerSecond(now time.Time) float64 {
	return b.decayedSends(now) / sendRateTimeConstant.Seconds()
}

// Admit admits a call to the backlog that has to be sent within maxWait. It
// returns false if sending the calls that are already waiting is expected to
// take longer. Each successful Admit needs exactly one Release.
func (b *Backlog) Admit(now time.Time, maxWait time.Duration) bool {
	if float64(b.waiting) >= max(b.SendsPerSecond(now)*maxWait.Seconds(), minBacklog) {
		return false
	}
	b.waiting++
	return true
}

// IsInTime reports whether one more call, behind those that are waiting, could be sent
// within maxWait if the first send is permitted after a time and perSecond sends a second
// from then on.
func (b *Backlog) IsInTime(maxWait, first time.Duration, perSecond float64) bool {
	return float64(b.waiting) <= perSecond*(maxWait-first).Seconds()
}

// Release removes a call from the backlog.
func (b *Backlog) Release() {
	b.waiting--
}
