package follow

import (
	"sync"
	"time"
)

// StoreClock estimates the store's steady clock from its readings. Each reading
// arrives somewhat after the store has stamped it, so the clock is at least as far
// as any reading says. It is safe for concurrent use.
type StoreClock struct {
	mu sync.Mutex
	// zero is the local time at which the store's clock was 0.
	zero    time.Time
	isKnown bool
}

// observe takes a reading that was stamped with the store's time and arrived at now.
func (c *StoreClock) observe(stamped time.Duration, now time.Time) {
	if stamped <= 0 {
		return
	}
	zero := now.Add(-stamped)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isKnown || zero.Before(c.zero) {
		c.zero = zero
		c.isKnown = true
	}
}

// since returns how long before now the store stamped a reading; false when that is
// not known.
func (c *StoreClock) since(stamped time.Duration, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isKnown || stamped <= 0 {
		return 0, false
	}
	return now.Sub(c.zero) - stamped, true
}
