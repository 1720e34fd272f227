package follow

import (
	"sync"
	"time"
)

// StoreClock estimates the store's monotonic clock from the timestamps of snapshots. A
// snapshot arrives some time after the store has stamped it, so the clock has reached
// at least the timestamp when the snapshot arrives. StoreClock is safe for concurrent
// use.
type StoreClock struct {
	mu sync.Mutex
	// epoch is the estimated local time at which the store's clock was 0, the
	// earliest that any snapshot implies.
	epoch       time.Time
	hasEstimate bool
}

// observe updates the estimate with a snapshot that was stamped with storeTime and
// arrived at now. A storeTime of 0 is unknown and ignored.
func (c *StoreClock) observe(storeTime time.Duration, now time.Time) {
	if storeTime <= 0 {
		return
	}
	epoch := now.Add(-storeTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasEstimate || epoch.Before(c.epoch) {
		c.epoch = epoch
		c.hasEstimate = true
	}
}

// since returns how long before now the store stamped a snapshot. The second result
// is false when storeTime is unknown or there is no estimate yet.
func (c *StoreClock) since(storeTime time.Duration, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasEstimate || storeTime <= 0 {
		return 0, false
	}
	return now.Sub(c.epoch) - storeTime, true
}
