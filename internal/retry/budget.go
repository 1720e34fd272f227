package retry

import (
	"time"
)

// Bounds of a Budget.
const (
	// Window is the time over which extra sends are compared with calls.
	Window = 10 * time.Second
	// MaxShare is the largest share of extra sends among the calls of any
	// Window, whatever share is set and saved up.
	MaxShare = 0.10
	// burstSends is the number of extra sends that a budget may save up.
	burstSends = 10
	// floorSends is the number of extra sends of a Window that MaxShare does
	// not rule out, so that a service with few calls may send again at all.
	floorSends = 1
)

// Outage detection.
const (
	// outageShare is the share of failed answers above which sending again is
	// of no use, because the whole service fails.
	outageShare = 0.75
	// answerWeight is the weight of one answer in the share of failed answers.
	answerWeight = 1.0 / 50
)

// Budget limits the extra sends of one service on one VM: hedges and retries
// together. It earns a share of each first send, pays for each extra send and
// keeps the extra sends of each Window that ends in one at or below MaxShare of
// its first sends, or at floorSends, also right after the start and after an idle
// time. While nearly every answer is a failure it pays for nothing. It is not
// safe for concurrent use.
type Budget struct {
	share  float64
	tokens float64
	sends  ledger
	// failed is the moving average of failed answers, from 0 to 1.
	failed float64
}

// NewBudget returns a budget that allows share extra sends for each first
// send.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, tokens: floorSends}
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) {
	b.share = share
}

// FirstSend records the first send of a call.
func (b *Budget) FirstSend(now time.Time) {
	b.sends.at(now).first++
	b.sends.total.first++
	b.tokens = min(b.tokens+min(b.share, MaxShare), burstSends)
}

// Take pays for one extra send. It returns false when the budget is spent or
// the whole service fails.
func (b *Budget) Take(now time.Time) bool {
	if b.tokens < 1 || b.failed > outageShare {
		return false
	}
	bucket := b.sends.at(now)
	allowed := max(MaxShare*float64(b.sends.firstInWindow()), floorSends)
	if float64(b.sends.total.extra+1) > allowed {
		return false
	}
	bucket.extra++
	b.sends.total.extra++
	b.tokens--
	return true
}

// Answered records how a send ended: ok means that an upstream answered it.
func (b *Budget) Answered(ok bool) {
	sample := 1.0
	if ok {
		sample = 0
	}
	b.failed += answerWeight * (sample - b.failed)
}
