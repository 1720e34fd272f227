package retry

import (
	"time"
)

// Resolution of a ledger. It spans one bucket more than Window, so that a
// window that starts inside a bucket lies within it.
const (
	bucketSpan  = 100 * time.Millisecond
	bucketCount = int64(Window/bucketSpan) + 1
)

// sendCount counts sends.
type sendCount struct {
	first int
	extra int
}

// ledger counts the sends of the last Window. It counts the oldest bucket,
// which lies in the window only in part, for extra sends and not for first
// sends, so that its error is always on the strict side.
type ledger struct {
	buckets [bucketCount]sendCount
	// newest is the number of the newest bucket since the Unix epoch.
	newest int64
	total  sendCount
}

// at drops the buckets that left the window and returns the bucket of now. A
// clock that goes back counts in the newest bucket.
func (l *ledger) at(now time.Time) *sendCount {
	number := now.UnixNano() / int64(bucketSpan)
	if number-l.newest >= bucketCount {
		*l = ledger{newest: number}
	}
	for l.newest < number {
		l.newest++
		expired := &l.buckets[l.newest%bucketCount]
		l.total.first -= expired.first
		l.total.extra -= expired.extra
		*expired = sendCount{}
	}
	return &l.buckets[l.newest%bucketCount]
}

// firstInWindow returns the first sends that surely lie in the window.
func (l *ledger) firstInWindow() int {
	oldest := l.buckets[(l.newest+1)%bucketCount]
	return l.total.first - oldest.first
}
