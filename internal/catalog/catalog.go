package catalog

import (
	"time"

	"github.com/figfront/figfront/internal/config/site"
)

// returnGrace is the time that upstreams have to register again after the store
// has come back.
const returnGrace = 1900 * time.Millisecond

// Reading is the outcome of one reading of the upstreams' entries.
type Reading struct {
	// Version is the store's version as of the reading.
	Version   uint64
	Upstreams []site.Upstream
}

// Catalog knows the upstreams of all services. It is not safe for concurrent
// use.
type Catalog struct {
	// heartbeat is the time between two writes of an upstream's entry.
	heartbeat time.Duration
	version   uint64
	readAt    time.Time
	// known holds the upstreams of the last reading and those that are kept.
	known map[string]site.Upstream
	// kept holds the upstreams whose entries were missing after an outage.
	kept      map[string]struct{}
	keptUntil time.Time
}

// New returns an empty catalog. heartbeat is the time between two writes of an
// upstream's entry.
func New(heartbeat time.Duration) *Catalog {
	return &Catalog{
		heartbeat: heartbeat,
		known:     make(map[string]site.Upstream),
		kept:      make(map[string]struct{}),
	}
}

// Read takes over a reading. It returns false for one that is older than the
// last.
func (c *Catalog) Read(now time.Time, reading Reading) bool {
	if reading.Version < c.version {
		return false
	}
	isAfterOutage := !c.readAt.IsZero() && now.Sub(c.readAt) > c.heartbeat
	if isAfterOutage {
		c.keptUntil = now.Add(returnGrace)
	}
	c.version = reading.Version
	c.readAt = now
	present := make(map[string]site.Upstream, len(reading.Upstreams))
	for _, u := range reading.Upstreams {
		present[u.Name] = u
	}
	c.keepMissing(now, present, isAfterOutage)
	c.known = present
	return true
}

// keepMissing adds the upstreams that are kept to those that are present.
func (c *Catalog) keepMissing(now time.Time, present map[string]site.Upstream, isAfterOutage bool) {
	kept := make(map[string]struct{})
	if now.Before(c.keptUntil) {
		for name, u := range c.known {
			_, isPresent := present[name]
			_, wasKept := c.kept[name]
			if isPresent || !isAfterOutage && !wasKept {
				continue
			}
			kept[name] = struct{}{}
			present[name] = u
		}
	}
	c.kept = kept
}

// Upstreams returns the upstreams that take new calls.
func (c *Catalog) Upstreams() []site.Upstream {
	upstreams := make([]site.Upstream, 0, len(c.known))
	for _, u := range c.known {
		if !u.Leaving {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// Kept returns the number of upstreams that are in use without an entry.
func (c *Catalog) Kept() int {
	return len(c.kept)
}
