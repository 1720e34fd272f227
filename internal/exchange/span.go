package exchange

import (
	"math"
	"time"
)

// MaxSpan limits the spans of time in messages.
const MaxSpan = 24 * time.Hour

// Span returns a span of a message, in microseconds, within MaxSpan in either direction.
func Span(us int64) time.Duration {
	limit := MaxSpan.Microseconds()
	return time.Duration(min(max(us, -limit), limit)) * time.Microsecond
}

// Elapsed returns a span of a message that can't be negative, within MaxSpan.
func Elapsed(us int64) time.Duration {
	return max(Span(us), 0)
}

// ClockReading returns the reading of a monotonic clock in a message, in microseconds; 0 means
// unknown.
func ClockReading(us int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(min(max(us, 0), limit)) * time.Microsecond
}
