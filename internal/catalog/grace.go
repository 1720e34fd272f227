package catalog

import (
	"time"

	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/platform"
)

// ReregistrationGrace is how long upstreams without an entry are retained, counted from the
// first snapshot after an outage of the store. Live upstreams register again within two
// seconds of the store's return.
const ReregistrationGrace = 2 * time.Second

// grace is the time after an outage of the store in which upstreams without an entry are
// retained. The zero value is over.
type grace struct {
	// startedAt is when the first snapshot after the outage arrived.
	startedAt time.Time
	// storeTime is the reading of the store's clock in that snapshot; 0 means unknown.
	storeTime time.Duration
}

// isOver reports whether a snapshot that arrived at now was read after the grace. The
// store's clock decides, so that all VMs come to the same result with the same snapshots,
// however long these took to arrive.
func (g grace) isOver(now time.Time, storeTime time.Duration) bool {
	elapsed, ok := storeElapsed(g.storeTime, storeTime)
	if !ok {
		elapsed = now.Sub(g.startedAt)
	}
	return elapsed >= ReregistrationGrace
}

// storeElapsed returns the time between two readings of the store's clock. It returns false if
// one of them is unknown, or the clock has started anew in between.
func storeElapsed(from, to time.Duration) (time.Duration, bool) {
	isKnown := from > 0 && to > 0
	return to - from, isKnown && to >= from
}

// end returns when the grace ends for a VM that reads the store itself.
func (g grace) end() time.Time {
	return g.startedAt.Add(ReregistrationGrace)
}

// Retained holds the upstreams that another VM retains without an entry.
type Retained struct {
	// Since is the reading of the store's clock, in Era, from which the grace counts; 0 means
	// that nothing is retained.
	Since     time.Duration
	Era       platform.Era
	Upstreams []site.Upstream
}
