package retry

import (
	"time"
)

// hedgeShare is the part of the allowed extra sends that hedges may use. The rest
// is left to retries of sends that have failed.
const hedgeShare = 0.5

// Limits limits the extra sends in any Window.
type Limits struct {
	// Share is the allowed number of extra sends per first send.
	Share float64
	// Constant is the number of extra sends that are allowed in addition.
	Constant float64
}

// WindowBudget limits the extra sends of a service whose calls one VM places: in
// each Window that ends with an extra send, the extra sends do not exceed its
// Limits. It answers short bursts of failures, which it lets use what is allowed at
// once; an outage of the whole service stops it. It is not safe for concurrent use.
type WindowBudget struct {
	limits Limits
	sends  sendWindow
	outage outageDetector
}

// NewWindowBudget returns a WindowBudget without recorded sends.
func NewWindowBudget(limits Limits) *WindowBudget {
	return &WindowBudget{limits: limits}
}

// FirstSend records the first send of a call.
func (b *WindowBudget) FirstSend(now time.Time) {
	b.sends.bucketAt(now).first++
	b.sends.total.first++
}

// Take takes one retry from the budget. It returns false, and takes none, when the
// budget is exhausted or the whole service is failing.
func (b *WindowBudget) Take(now time.Time) bool {
	return b.take(now, 1)
}

// TakeHedge takes one hedge from the budget like Take.
func (b *WindowBudget) TakeHedge(now time.Time) bool {
	return b.take(now, hedgeShare)
}

// take takes one extra send unless more than a share of those allowed are spent.
func (b *WindowBudget) take(now time.Time, share float64) bool {
	bucket := b.sends.bucketAt(now)
	allowed := max(b.limits.Share*float64(b.sends.firstInWindow())+b.limits.Constant, minExtraSends)
	if b.outage.isOutage() || float64(b.sends.total.extra+1) > max(share*allowed, minExtraSends) {
		return false
	}
	bucket.extra++
	b.sends.total.extra++
	return true
}

// RecordResult records the result of a send for the detection of an outage; ok
// means that the upstream responded and neither failed nor refused the call.
func (b *WindowBudget) RecordResult(ok bool) {
	b.outage.record(ok)
}
