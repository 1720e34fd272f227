package limit

import (
	"math"
	"time"
)

// Constants of a Backlog.
const (
	// sendRateLife is the time over which the rate of sends is averaged.
	sendRateLife = 1500 * time.Millisecond
	// minBacklog is the number of calls that may wait at any rate of sends.
	minBacklog = 1
)

// Backlog limits the calls of one service that wait at a VM for a free upstream.
// It serves a rush: by the rate at which calls have lately been sent, it takes
// no more calls than are sent while the last of them can still be answered in
// time, and so refuses the others at once rather than after a vain wait. It is
// not safe for concurrent use.
type Backlog struct {
	waiting int
	// sends is the decayed number of sends as of sentAt.
	sends  float64
	sentAt time.Time
}

// Sent records that a call was sent to an upstream.
func (b *Backlog) Sent(now time.Time) {
	b.sends = b.decayed(now) + 1
	b.sentAt = now
}

// decayed returns what is left of the recorded sends.
func (b *Backlog) decayed(now time.Time) float64 {
	if b.sentAt.IsZero() {
		return 0
	}
	return b.sends * math.Exp(-float64(now.Sub(b.sentAt))/float64(sendRateLife))
}

// SendsPerSecond returns the rate at which calls have lately been sent.
func (b *Backlog) SendsPerSecond(now time.Time) float64 {
	return b.decayed(now) / sendRateLife.Seconds()
}

// Enter lets a call wait that can be answered in time if it is sent within
// patience. It returns false when the calls that wait already take longer. Each
// successful Enter has one Leave.
func (b *Backlog) Enter(now time.Time, patience time.Duration) bool {
	if float64(b.waiting) >= max(b.SendsPerSecond(now)*patience.Seconds(), minBacklog) {
		return false
	}
	b.waiting++
	return true
}

// Leave records that a call no longer waits.
func (b *Backlog) Leave() {
	b.waiting--
}
