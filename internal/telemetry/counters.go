package telemetry

import (
	"expvar"
	"net/http"
	"sync"

	"github.com/figfront/figfront/internal/outcome"
)

// Counters holds the counters, gauges and histograms of one process, in named
// groups. Each Counters is independent of the others, so that every test can use its
// own. It is safe for concurrent use.
type Counters struct {
	vars *expvar.Map

	mu sync.Mutex
	// groups holds the groups by name; vars holds the same ones.
	groups map[string]*expvar.Map
}

// NewCounters returns an empty, unpublished set of counters.
func NewCounters() *Counters {
	return &Counters{vars: new(expvar.Map).Init(), groups: make(map[string]*expvar.Map)}
}

// Names of the groups of counters.
const (
	GroupRefusals = "refusals"
	GroupRetries  = "retries"
	GroupCalls    = "calls"
	GroupAttempts = "attempts"
	GroupHedges   = "hedges"
	GroupProbes   = "probes"
	GroupClaims   = "claims"
	GroupUploads  = "uploads"
	GroupConfig   = "config"
	GroupRevision = "revisions"
	GroupPeers    = "peers"
	GroupStore    = "store"
	GroupDispatch = "dispatch"
	GroupLinks    = "links"
	GroupTunnels  = "tunnels"
	GroupConns    = "conns"
	GroupLog      = "log"
	// GroupHoldOff counts what upstreams asked for: rest, or nothing as they leave.
	GroupHoldOff = "holdoff"
	// GroupQuarantine counts what happened to requests under which upstreams have ended.
	GroupQuarantine = "quarantine"
	// GroupPanics counts confined panics by where they happened.
	GroupPanics = "panics"
	// GroupLatencies holds histograms.
	GroupLatencies = "latencies"
)

// group returns the group called name and creates it if it does not exist.
func (c *Counters) group(name string) *expvar.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	group, ok := c.groups[name]
	if !ok {
		group = new(expvar.Map).Init()
		c.groups[name] = group
		c.vars.Set(name, group)
	}
	return group
}

// Add adds delta to the counter name of group.
func (c *Counters) Add(group, name string, delta int64) {
	c.group(group).Add(name, delta)
}

// Set sets the gauge name of group.
func (c *Counters) Set(group, name string, value int64) {
	gauge := new(expvar.Int)
	gauge.Set(value)
	c.group(group).Set(name, gauge)
}

// Get returns the value of a counter or gauge, or 0 if it has never been set.
func (c *Counters) Get(group, name string) int64 {
	value, ok := c.group(group).Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

// CountRefusal counts a refused call by reason.
func (c *Counters) CountRefusal(reason outcome.Reason) {
	c.Add(GroupRefusals, string(reason), 1)
}

// CountRetry counts a retry by reason.
func (c *Counters) CountRetry(reason outcome.Reason) {
	c.Add(GroupRetries, string(reason), 1)
}

// String returns the counters as JSON.
func (c *Counters) String() string {
	return c.vars.String()
}

// Publish publishes the counters as the expvar variable name. It panics if the name
// is already in use.
func (c *Counters) Publish(name string) {
	expvar.Publish(name, c.vars)
}

// Handler returns a handler that serves the process's expvar variables as JSON.
func Handler() http.Handler {
	return expvar.Handler()
}
