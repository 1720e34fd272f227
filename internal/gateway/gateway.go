package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/claim"
	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/retry"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/tunnel"
	"github.com/figfront/figfront/internal/upload"
)

// retryAfter is the default time after which a refused caller may retry.
const retryAfter = time.Second

// defaultMaxCalls limits the concurrent calls of all teams on one VM.
const defaultMaxCalls = 4096

// Options configures a Gateway.
type Options struct {
	VM   string
	Zone string
	// SubsetSize is the number of a service's upstreams that this VM uses; 0
	// means all.
	SubsetSize int
	Log        hclog.Logger
	Counters   *telemetry.Counters
	// Table and Objects store uploads that no upstream accepted; if either is
	// nil, no uploads are stored.
	Table   platform.Table
	Objects platform.Objects
	// Dial opens connections to upstreams; nil means the network.
	Dial DialFunc
	// WrapTransport wraps the transport to each upstream; nil means no wrapper.
	WrapTransport WrapFunc
	// RequireRequestID refuses the calls of a site that have no request ID, because its
	// upstreams don't serve them.
	RequireRequestID bool
	// ProbesPerUpstream limits the probes that one upstream of the site receives
	// from all VMs, per second; 0 means no limit.
	ProbesPerUpstream float64
	// RetryLimits limits the extra sends (hedges and retries) to a service of the
	// site.
	RetryLimits retry.Limits
	// OnSuspectChange is called when what is known about requests under which upstreams of the
	// site have ended has changed. It must not block; nil means that nobody is told.
	OnSuspectChange func()
	// Router requests the placement of a site's calls from the coordinator of
	// their service.
	Router *dispatch.Router
	// Tunnels opens connections to a site's upstreams through other VMs; nil means that
	// there are none.
	Tunnels *tunnel.Client
	// OnHoldOff is called with what an upstream of the site at an address asked this VM for,
	// which binds those that have tunnels through it; nil means that there are none.
	OnHoldOff func(service, address string, h tunnel.HoldOff)
	// Cores is the processor time available to this VM, in cores; 0 means one.
	Cores float64
	// Seed seeds the random number generators.
	Seed uint64
	// MaxCalls limits the concurrent calls of all teams; 0 means
	// defaultMaxCalls.
	MaxCalls int
	// BodyMemory limits the memory for the request bodies of all calls, in bytes; 0 means
	// defaultBodyMemory.
	BodyMemory int64
	// Claims stores the claims of bookings with an idempotency key; if it is
	// nil, such bookings are refused.
	Claims *claim.Store
	// StopWindow returns the window of the planned stop of this process; false if it was not
	// asked to stop. Nil means that it never is.
	StopWindow func() (drain.Window, bool)
	// Now returns the wall clock time; nil means time.Now.
	Now func() time.Time
}

// Gateway serves callers. It implements http.Handler and is safe for concurrent
// use.
type Gateway struct {
	options   Options
	configs   *merge.Store
	rejected  *rejections
	readiness readiness
	shares    *teamShares
	// bodies is the memory for the bodies of calls.
	bodies *sharedBodyMemory
	// pacer paces the long responses.
	pacer *sharedPacer

	// uploads is nil when no uploads are stored.
	uploads   *upload.Store
	spools    *upload.Pool
	deliverer atomic.Pointer[upload.Deliverer]

	// mu guards teams and site.
	mu    sync.Mutex
	teams map[string]*team
	site  siteState
	// routes is read by calls without a lock; it is replaced as a whole.
	routes atomic.Pointer[routeTable]
}

// team holds a team's services.
type team struct {
	services map[string]*service
}

// New returns a Gateway that has no configuration yet.
func New(options Options) *Gateway {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.StopWindow == nil {
		options.StopWindow = func() (drain.Window, bool) { return drain.Window{}, false }
	}
	if options.BodyMemory == 0 {
		options.BodyMemory = defaultBodyMemory
	}
	if options.MaxCalls == 0 {
		options.MaxCalls = defaultMaxCalls
	}
	g := &Gateway{
		options:  options,
		configs:  merge.NewStore(),
		rejected: newRejections(),
		shares:   newTeamShares(options.MaxCalls),
		pacer:    newSharedPacer(options.Cores),
		bodies:   newSharedBodyMemory(options.BodyMemory, options.Counters),
		spools:   upload.NewPool(maxSpools),
		teams:    make(map[string]*team),
	}
	if options.Table != nil && options.Objects != nil {
		g.uploads = upload.NewStore(options.Table)
	}
	if options.Tunnels != nil {
		options.Tunnels.OnHoldOff(g.ObserveHoldOff)
	}
	g.routes.Store(&routeTable{})
	return g
}

// Apply applies a team's configuration if it can be parsed and its revision is
// higher than the active one. It reports whether the configuration was applied.
func (g *Gateway) Apply(c merge.Config) bool {
	settings, err := dynamic.Parse(c.Team, c.Team, []byte(c.Settings))
	if err != nil {
		g.rejected.add(c.Team, c.Revision)
		g.options.Counters.Add(telemetry.GroupConfig, "unreadable", 1)
		g.options.Log.Error("team configuration could not be parsed",
			telemetry.FieldTeam, c.Team, telemetry.FieldRevision, c.Revision, telemetry.FieldError, err)
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.configs.Apply(c) {
		g.options.Counters.Add(telemetry.GroupConfig, "not_newer", 1)
		return false
	}
	g.applyTeam(settings)
	table := newRouteTable(g.teams)
	table.hosts = g.routes.Load().hosts
	g.routes.Store(table)
	g.options.Counters.Add(telemetry.GroupConfig, "applied", 1)
	g.options.Counters.Set(telemetry.GroupRevision, c.Team, int64(c.Revision))
	g.options.Log.Info("team configuration in force",
		telemetry.FieldTeam, c.Team, telemetry.FieldRevision, c.Revision)
	return true
}

// Configs returns the active configurations.
func (g *Gateway) Configs() []merge.Config {
	return g.configs.All()
}

// applyTeam updates a team's services to its settings. A service that remains
// keeps the state of its upstreams. The caller holds g.mu.
func (g *Gateway) applyTeam(settings *dynamic.Team) {
	running, ok := g.teams[settings.Name]
	if !ok {
		running = &team{}
		g.shares.add(settings.Name)
	}
	services := make(map[string]*service, len(settings.Services))
	for _, s := range settings.Services {
		known, ok := running.services[s.Name]
		if !ok {
			known = newService(settings.Name, s.Name, g.options)
		}
		known.configure(s)
		services[s.Name] = known
	}
	for name, old := range running.services {
		if _, stays := services[name]; !stays {
			old.close()
		}
	}
	g.teams[settings.Name] = &team{services: services}
}

// ServeHTTP serves one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(g, w, r)
	defer c.releaseMemory()
	defer c.confinePanic()
	if c.isUploadStatus() {
		c.serveUploadStatus()
		return
	}
	routes := g.routes.Load()
	if routes.isEmpty() {
		c.refuse(outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.NotReady,
			"this VM has no configuration yet").WithRetryAfter(retryAfter))
		return
	}
	route, ok := routes.find(r.Method, r.Host, c.target.Path)
	if !ok {
		c.refuse(outcome.New(http.StatusNotFound, outcome.NotRun, outcome.NoRoute,
			"no service and rule match this call"))
		return
	}
	c.route = route
	if !c.upstreamTarget().IsSendable() {
		c.refuse(outcome.New(http.StatusBadRequest, outcome.NotRun, outcome.HeaderInvalid,
			"the path begins with two slashes and has a character that may not stand in a path"))
		return
	}
	if route.isSite {
		c.serveSite(route)
		return
	}
	c.serve(route)
}

// Close stops the probes of a site and closes the idle connections to all
// upstreams.
func (g *Gateway) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.teams {
		for _, s := range t.services {
			s.close()
		}
	}
	for _, s := range g.site.services {
		s.closeSiteService()
	}
}
