package retry

import (
	"time"
)

// Resolution of a sendWindow. It covers one bucket more than Window, so that it
// contains a window that starts inside a bucket.
const (
	bucketSpan  = 100 * time.Millisecond
	bucketCount = int64(Window/bucketSpan) + 1
)

// sendCount counts first and extra sends.
type sendCount struct {
	first int
	extra int
}

// sendWindow counts the sends in the last Window with a ring of buckets. The
// oldest bucket lies only partly in the window. Its extra sends count and its
// first sends don't, so that rounding never allows too many extra sends.
type sendWindow struct {
	buckets [bucketCount]sendCount
	// newest is the number of the newest bucket, counted from the Unix epoch in
	// units of bucketSpan.
	newest int64
	total  sendCount
}

// bucketAt drops the buckets that have left the window and returns the bucket
// for now. If the clock goes back it returns the newest bucket.
func (w *sendWindow) bucketAt(now time.Time) *sendCount {
	number := now.UnixNano() / int64(bucketSpan)
	if number-w.newest >= bucketCount {
		*w = sendWindow{newest: number}
	}
	for w.newest < number {
		w.newest++
		expired := &w.buckets[w.newest%bucketCount]
		w.total.first -= expired.first
		w.total.extra -= expired.extra
		*expired = sendCount{}
	}
	return &w.buckets[w.newest%bucketCount]
}

// firstInWindow returns the number of first sends without those in the oldest
// bucket.
func (w *sendWindow) firstInWindow() int {
	oldest := w.buckets[(w.newest+1)%bucketCount]
	return w.total.first - oldest.first
}
