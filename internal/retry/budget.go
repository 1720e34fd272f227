package retry

import (
	"time"
)

// Parameters of a Budget.
const (
	// Window is the length of the sliding window over which extra sends are
	// compared with first sends.
	Window = 10 * time.Second
	// MaxShare is the maximum number of extra sends per first send in any
	// Window, independent of the configured share and of saved tokens.
	MaxShare = 0.10
	// maxTokens is the number of tokens, that is extra sends, that a budget can
	// accumulate.
	maxTokens = 10
	// minExtraSends is the number of extra sends in a Window that are allowed
	// whatever MaxShare says, so that a service with few calls can retry at all.
	minExtraSends = 1
)

// Budget limits the extra sends, hedges and retries together, of one service on
// one VM. Each first send adds share tokens and each extra send takes one. In
// each Window that ends with an extra send, the extra sends do not exceed
// MaxShare of the first sends, or minExtraSends if that is more; this holds right
// after the start and after an idle time too. While the failure rate is above
// outageFailureRate it allows no extra send. It is not safe for concurrent use.
type Budget struct {
	share  float64
	tokens float64
	sends  sendWindow
	outage outageDetector
}

// NewBudget returns a Budget that allows share extra sends per first send, at
// most MaxShare. It starts with minExtraSends tokens.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, tokens: minExtraSends}
}

// SetShare changes the number of extra sends per first send.
func (b *Budget) SetShare(share float64) {
	b.share = share
}

// FirstSend records the first send of a call.
func (b *Budget) FirstSend(now time.Time) {
	b.sends.bucketAt(now).first++
	b.sends.total.first++
	b.tokens = min(b.tokens+min(b.share, MaxShare), maxTokens)
}

// Take takes a token for one extra send. It returns false, and takes none, when
// the budget is exhausted or the whole service is failing.
func (b *Budget) Take(now time.Time) bool {
	if b.tokens < 1 || b.outage.isOutage() {
		return false
	}
	bucket := b.sends.bucketAt(now)
	allowed := max(MaxShare*float64(b.sends.firstInWindow()), minExtraSends)
	if float64(b.sends.total.extra+1) > allowed {
		return false
	}
	bucket.extra++
	b.sends.total.extra++
	b.tokens--
	return true
}

// RecordResult records the result of a send for the detection of an outage; ok
// means that the upstream responded and neither failed nor refused the call.
func (b *Budget) RecordResult(ok bool) {
	b.outage.record(ok)
}
