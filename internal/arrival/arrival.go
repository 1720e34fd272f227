// Package arrival measures how fast the bytes of a request arrive, to tell callers that have stopped or
// send a few bytes now and then from those that send as fast as their link allows.
package arrival

import "time"

// Parameters of a Pace.
const (
	// window is the span of time over which a pace is taken, and minBytes the number of bytes in it below
	// which the pace is slow.
	window   = time.Second
	minBytes = 64 << 10
)

// Pace is the pace of a request. It is not safe for concurrent use.
type Pace struct {
	// windowStart is the start of the current window, and windowBytes the number of bytes in it;
	// lastBytes is the number in the window before, hasLast whether there was one.
	windowStart time.Time
	windowBytes int64
	lastBytes   int64
	hasLast     bool
}

// Begin returns the pace of a request that begins to arrive.
func Begin(now time.Time) Pace {
	return Pace{windowStart: now}
}

// Receive records that bytes have arrived.
func (p *Pace) Receive(now time.Time, bytes int64) {
	if now.Sub(p.windowStart) >= window {
		p.lastBytes = p.windowBytes
		p.hasLast = true
		p.windowStart, p.windowBytes = now, 0
	}
	p.windowBytes += bytes
}

// IsSlow reports whether the request has stopped or arrives slowly. It takes up to two windows until one
// that has stopped counts as slow; one that began less than a window ago does not.
func (p *Pace) IsSlow(now time.Time) bool {
	switch age := now.Sub(p.windowStart); {
	case age >= 2*window:
		return true
	case age >= window:
		return p.windowBytes < minBytes
	default:
		return p.hasLast && p.lastBytes < minBytes
	}
}
