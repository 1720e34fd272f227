package telemetry

import (
	"expvar"
	"net/http"
	"sync"

	"github.com/figfront/figfront/internal/outcome"
)

// Counters are the counters of one process. A set that is not published is
// independent of every other, which tests rely on.
type Counters struct {
	vars *expvar.Map

	mu   sync.Mutex
	maps map[string]*expvar.Map
}

// NewCounters returns an empty set of counters.
func NewCounters() *Counters {
	return &Counters{vars: new(expvar.Map).Init(), maps: make(map[string]*expvar.Map)}
}

// Groups of counters.
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
	GroupLog      = "log"
	// GroupLatencies holds histograms.
	GroupLatencies = "latencies"
)

func (c *Counters) group(name string) *expvar.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	group, ok := c.maps[name]
	if !ok {
		group = new(expvar.Map).Init()
		c.maps[name] = group
		c.vars.Set(name, group)
	}
	return group
}

// Add adds delta to a counter.
func (c *Counters) Add(group, name string, delta int64) {
	c.group(group).Add(name, delta)
}

// Set sets a gauge.
func (c *Counters) Set(group, name string, value int64) {
	gauge := new(expvar.Int)
	gauge.Set(value)
	c.group(group).Set(name, gauge)
}

// Get returns a counter's value; a counter never touched is 0.
func (c *Counters) Get(group, name string) int64 {
	value, ok := c.group(group).Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

// Refuse counts a refusal by its reason.
func (c *Counters) Refuse(reason outcome.Reason) {
	c.Add(GroupRefusals, string(reason), 1)
}

// Retry counts a retry by its reason.
func (c *Counters) Retry(reason outcome.Reason) {
	c.Add(GroupRetries, string(reason), 1)
}

// String returns the counters as JSON.
func (c *Counters) String() string {
	return c.vars.String()
}

// Publish makes the counters part of the process's expvar page under name. A
// process calls it once.
func (c *Counters) Publish(name string) {
	expvar.Publish(name, c.vars)
}

// Handler serves the process's expvar page.
func Handler() http.Handler {
	return expvar.Handler()
}
