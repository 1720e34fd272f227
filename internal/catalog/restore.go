package catalog

import (
	"time"

	"github.com/figfront/figfront/internal/config/site"
)

// goneMemory is how long the catalog remembers an upstream that is no longer in use. It
// exceeds the age of the copies from which a store comes back.
const goneMemory = time.Minute

// stamp identifies a write of an upstream's entry.
type stamp struct {
	started time.Time
	writes  uint64
}

func stampOf(u site.Upstream) stamp {
	return stamp{started: u.Started, writes: u.Writes}
}

// isAfter reports whether s is a later write than other. Writes are counted from each
// start of the upstream; without the time of a start only the counts are compared.
func (s stamp) isAfter(other stamp) bool {
	isSameStart := s.started.Equal(other.started) || s.started.IsZero() || other.started.IsZero()
	if isSameStart {
		return s.writes > other.writes
	}
	return s.started.After(other.started)
}

// goneUpstream is the last known state of an upstream that is no longer in use.
type goneUpstream struct {
	last      stamp
	droppedAt time.Time
}

// restoredEntries holds the entries of the first snapshot of an era that have not been
// written again since: they may be older than what this VM knew before.
type restoredEntries struct {
	unrenewed map[string]stamp
	// outdated holds the names of those that are older.
	outdated map[string]struct{}
	// expired holds the names of those that are missing from the last snapshot.
	expired map[string]struct{}
}

// wasUnrenewed reports whether an entry has not been written again before it
// disappeared.
func (r restoredEntries) wasUnrenewed(name string) bool {
	_, ok := r.expired[name]
	return ok
}

// removeRenewed removes the entries that have been written again and marks those that
// have disappeared.
func (r restoredEntries) removeRenewed(present map[string]site.Upstream) {
	clear(r.expired)
	for name, first := range r.unrenewed {
		u, isPresent := present[name]
		if isPresent && stampOf(u) == first {
			continue
		}
		if !isPresent {
			r.expired[name] = struct{}{}
		}
		delete(r.unrenewed, name)
		delete(r.outdated, name)
	}
}

// compareWithCopy returns the entries of the first snapshot of an era. An entry is
// outdated if this VM knew a later write of it, or has dropped its upstream since.
func (c *Catalog) compareWithCopy(present map[string]site.Upstream) restoredEntries {
	restored := restoredEntries{
		unrenewed: make(map[string]stamp, len(present)),
		outdated:  make(map[string]struct{}),
		expired:   make(map[string]struct{}),
	}
	for name, u := range present {
		found := stampOf(u)
		restored.unrenewed[name] = found
		known, isInUse := c.upstreams[name]
		gone, isGone := c.gone[name]
		if isInUse && stampOf(known).isAfter(found) || isGone && !found.isAfter(gone.last) {
			restored.outdated[name] = struct{}{}
		}
	}
	return restored
}

// replaceOutdated replaces outdated entries by what this VM knows, and removes those of
// upstreams that are gone.
func (c *Catalog) replaceOutdated(present map[string]site.Upstream) {
	for name := range c.restored.outdated {
		known, isInUse := c.upstreams[name]
		if isInUse {
			present[name] = known
		} else {
			delete(present, name)
		}
	}
}

// dropReusedAddresses removes upstreams that have not renewed their entries since the
// store came back and whose address another upstream, which started later, has.
func (c *Catalog) dropReusedAddresses(present map[string]site.Upstream) {
	latest := make(map[string]site.Upstream, len(present))
	for _, u := range present {
		if other, ok := latest[u.Address]; !ok || u.Started.After(other.Started) {
			latest[u.Address] = u
		}
	}
	for name, u := range present {
		_, isUnrenewed := c.restored.unrenewed[name]
		_, isRetained := c.retained[name]
		if (isUnrenewed || isRetained) && latest[u.Address].Started.After(u.Started) {
			delete(present, name)
			delete(c.retained, name)
		}
	}
}

// recordGone remembers the upstreams that are not in use any more and forgets those that
// were dropped more than goneMemory ago.
func (c *Catalog) recordGone(now time.Time, present map[string]site.Upstream) {
	for name, u := range c.upstreams {
		if _, isPresent := present[name]; !isPresent {
			c.gone[name] = goneUpstream{last: stampOf(u), droppedAt: now}
		}
	}
	for name, gone := range c.gone {
		_, isPresent := present[name]
		if isPresent || now.Sub(gone.droppedAt) > goneMemory {
			delete(c.gone, name)
		}
	}
}
