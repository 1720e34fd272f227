package measure

import (
	"time"
)

// pacer lets something happen at a rate without saving up: each use moves the
// next one back by its cost.
type pacer struct {
	next time.Time
}

func (p *pacer) isReady(now time.Time) bool {
	return !now.Before(p.next)
}

// spend pays a cost, in the time in which the budget earns it.
func (p *pacer) spend(now time.Time, cost time.Duration) {
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(cost)
}

// earnTime returns the time in which a budget of perSecond earns an amount.
func earnTime(amount, perSecond float64) time.Duration {
	return time.Duration(amount / perSecond * float64(time.Second))
}
