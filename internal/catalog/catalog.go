package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/platform"
)

// Snapshot holds the upstreams' entries at one moment.
type Snapshot struct {
	// Position is the store's position at the time of the snapshot.
	Position platform.Position
	// StoreTime is the reading of the store's monotonic clock; 0 means unknown.
	StoreTime time.Duration
	// IsAfterFailure means that this VM has failed to read the store since the last
	// snapshot.
	IsAfterFailure bool
	Upstreams      []site.Upstream
	// Retained holds what another VM retains, if this VM may have started too late to know
	// it.
	Retained Retained
}

// Catalog holds the upstreams of all services. It is not safe for concurrent use.
type Catalog struct {
	// outageAfter is the time without a snapshot after which a failed read means that the
	// store was unavailable.
	outageAfter time.Duration
	// lapseAfter is the time without a snapshot in which the entry of a live upstream can
	// expire.
	lapseAfter time.Duration
	// expireAfter is the time after which an entry that is not written expires.
	expireAfter time.Duration
	position    platform.Position
	updatedAt   time.Time
	// storeTime is the reading of the store's clock in the last snapshot; 0 means unknown.
	storeTime time.Duration
	// upstreams holds the upstreams of the last snapshot and the retained ones, by
	// name.
	upstreams map[string]site.Upstream
	// retained holds the names of upstreams that stay in use although their entries
	// were missing after an outage of the store.
	retained map[string]struct{}
	grace    grace
	// renewals holds the last known writes of the entries in the last snapshot and of the
	// retained ones, by name.
	renewals map[string]renewal
	// restored holds what the store contained when it came back from an older copy.
	restored restoredEntries
	// gone holds the last known state of upstreams that are no longer in use, by name.
	gone map[string]goneUpstream
}

// expiryHeartbeats is the number of heartbeat intervals without a write after which an entry
// expires.
const expiryHeartbeats = 3

// New returns an empty catalog. heartbeat is the time between two writes of an entry, late
// the time after which a snapshot is late.
func New(heartbeat, late time.Duration) *Catalog {
	return &Catalog{
		outageAfter: max(heartbeat, late),
		lapseAfter:  max((expiryHeartbeats-1)*heartbeat, 2*late),
		expireAfter: expiryHeartbeats * heartbeat,
		upstreams:   make(map[string]site.Upstream),
		retained:    make(map[string]struct{}),
		gone:        make(map[string]goneUpstream),
	}
}

// Update replaces the upstreams by those of a snapshot. It returns false and changes
// nothing if the snapshot is older than the last one.
func (c *Catalog) Update(now time.Time, snapshot Snapshot) bool {
	if snapshot.Position.IsBefore(c.position) {
		return false
	}
	hasSnapshot := !c.updatedAt.IsZero()
	isAfterOutage := hasSnapshot && c.isAfterOutage(now, snapshot)
	isNewEra := hasSnapshot && snapshot.Position.Era != c.position.Era
	isFirst := isAfterOutage || isNewEra
	if isFirst {
		c.grace = grace{startedAt: now, storeTime: snapshot.StoreTime}
	}
	c.position = snapshot.Position
	c.updatedAt = now
	previousStoreTime := c.storeTime
	c.storeTime = snapshot.StoreTime
	present := make(map[string]site.Upstream, len(snapshot.Upstreams))
	for _, u := range snapshot.Upstreams {
		present[u.Name] = u
	}
	if isNewEra {
		c.restored = c.compareWithCopy(present)
	} else {
		c.restored.removeRenewed(present)
	}
	c.replaceOutdated(present)
	retained := make(map[string]struct{})
	if !c.grace.isOver(now, snapshot.StoreTime) {
		retained = c.retainMissing(present, snapshot.StoreTime, isFirst)
	}
	c.retained = retained
	c.adoptRetained(now, snapshot, present)
	c.dropReusedAddresses(present)
	c.recordGone(now, present)
	c.recordRenewals(present, previousStoreTime)
	c.upstreams = present
	return true
}

// isAfterOutage reports whether live upstreams may have been unable to renew their entries
// before a snapshot. Without a failed read, snapshots that are a little late were missing
// because the zone's reader did not deliver them.
func (c *Catalog) isAfterOutage(now time.Time, snapshot Snapshot) bool {
	gap, ok := storeElapsed(c.storeTime, snapshot.StoreTime)
	if !ok || snapshot.Position.Era != c.position.Era {
		gap = now.Sub(c.updatedAt)
	}
	return gap >= c.lapseAfter || snapshot.IsAfterFailure && gap > c.outageAfter
}

// retainMissing adds the upstreams that are missing from the first snapshot after an
// outage or of a new era to the present ones, and keeps them there. So it does with upstreams
// that disappear later without having renewed their entries in that era, or since long before
// the outage. Any other upstream whose entry disappears in a later snapshot is dropped. It
// returns the names of the added ones.
func (c *Catalog) retainMissing(
	present map[string]site.Upstream, storeTime time.Duration, isFirst bool,
) map[string]struct{} {
	retained := make(map[string]struct{})
	for name, u := range c.upstreams {
		_, isPresent := present[name]
		_, wasRetained := c.retained[name]
		mayReturn := isFirst || wasRetained || c.restored.wasUnrenewed(name) || c.mayHaveExpired(name, storeTime)
		if isPresent || !mayReturn {
			continue
		}
		retained[name] = struct{}{}
		present[name] = u
	}
	return retained
}

// adoptRetained adds the upstreams that another VM retains and this one has never known.
func (c *Catalog) adoptRetained(now time.Time, snapshot Snapshot, present map[string]site.Upstream) {
	other := snapshot.Retained
	elapsed, ok := storeElapsed(other.Since, snapshot.StoreTime)
	if !ok || other.Era != snapshot.Position.Era || elapsed >= ReregistrationGrace {
		return
	}
	for _, u := range other.Upstreams {
		_, isPresent := present[u.Name]
		_, isKnown := c.upstreams[u.Name]
		_, isGone := c.gone[u.Name]
		if isPresent || isKnown || isGone {
			continue
		}
		if c.grace.isOver(now, snapshot.StoreTime) {
			c.grace = grace{startedAt: now.Add(-elapsed), storeTime: other.Since}
		}
		present[u.Name] = u
		c.retained[u.Name] = struct{}{}
	}
}

// Upstreams returns the upstreams that accept new calls, in no particular order.
func (c *Catalog) Upstreams() []site.Upstream {
	upstreams := make([]site.Upstream, 0, len(c.upstreams))
	for _, u := range c.upstreams {
		if !u.Leaving {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// Retained returns the sorted names of the upstreams that are retained without an entry.
func (c *Catalog) Retained() []string {
	return slices.Sorted(maps.Keys(c.retained))
}

// RetainUntil returns when a snapshot has to be read that decides which of the retained
// upstreams are gone; zero if none are retained.
func (c *Catalog) RetainUntil() time.Time {
	if len(c.retained) == 0 {
		return time.Time{}
	}
	return c.grace.end()
}

// RetainedSince returns the reading of the store's clock from which the grace counts; 0 means
// unknown.
func (c *Catalog) RetainedSince() time.Duration {
	return c.grace.storeTime
}
