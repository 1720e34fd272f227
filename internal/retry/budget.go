// Package retry holds the budget on which hedges and retries draw.
//
// A Budget earns a share of each first send and pays for each extra send, so
// that extra sends stay below that share whatever fails.
package retry

import (
	"time"
)

// burstCalls is the number of extra sends that a budget may save up.
const burstCalls = 10

// Budget limits the extra sends of one service on one VM. It is not safe for
// concurrent use.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a budget that allows share extra sends for each first
// send.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, tokens: 1}
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) {
	b.share = share
}

// FirstSend records the first send of a call.
func (b *Budget) FirstSend(_ time.Time) {
	b.tokens = min(b.tokens+b.share, burstCalls)
}

// Take pays for one extra send. It returns false when the budget is spent.
func (b *Budget) Take(_ time.Time) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
