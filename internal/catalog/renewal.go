package catalog

import (
	"time"

	"github.com/figfront/figfront/internal/config/site"
)

// renewal is the last known write of an upstream's entry.
type renewal struct {
	stamp stamp
	// after is the reading of the store's clock in the last snapshot before the one that had
	// this write first; 0 means unknown. The write is not older.
	after time.Duration
}

// recordRenewals records which entries have been written since the last snapshot. storeTime is
// the reading of the store's clock in that one.
func (c *Catalog) recordRenewals(present map[string]site.Upstream, storeTime time.Duration) {
	renewals := make(map[string]renewal, len(present))
	for name, u := range present {
		known, isKnown := c.renewals[name]
		if !isKnown || known.stamp != stampOf(u) {
			known = renewal{stamp: stampOf(u), after: storeTime}
		}
		renewals[name] = known
	}
	c.renewals = renewals
}

// mayHaveExpired reports whether the entry of an upstream that is missing from a snapshot may
// have expired after an outage, before the upstream could write it again: it had not been
// written for too long.
func (c *Catalog) mayHaveExpired(name string, storeTime time.Duration) bool {
	silence, ok := storeElapsed(c.renewals[name].after, storeTime)
	return ok && silence >= c.expireAfter
}
