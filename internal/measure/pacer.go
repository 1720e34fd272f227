package measure

import (
	"time"
)

// pacer limits a rate without saving up unused budget: each use delays the next
// one by its cost.
type pacer struct {
	next time.Time
}

func (p *pacer) isReady(now time.Time) bool {
	return !now.Before(p.next)
}

// spend takes a cost from the budget. cost is the time in which the budget
// refills by that amount.
func (p *pacer) spend(now time.Time, cost time.Duration) {
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(cost)
}

// refillTime returns the time in which a budget of perSecond refills by amount.
func refillTime(amount, perSecond float64) time.Duration {
	return time.Duration(amount / perSecond * float64(time.Second))
}
