package entry

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/follow"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/mesh"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/internal/retry"
	"github.com/figfront/figfront/internal/suspectstore"
	"github.com/figfront/figfront/internal/tunnel"
)

// Adapter translates between figfront and a platform. Its functions have to be safe
// for concurrent use.
type Adapter struct {
	// Eras tracks the era of the store that holds the records.
	Eras *platform.EraTracker
	// Configs holds the site's configuration, which operators write, under ConfigKey.
	Configs      platform.Records
	ConfigKey    string
	DecodeConfig func(value []byte) (site.Config, error)
	// Upstreams holds the records that the upstreams write.
	Upstreams      platform.Records
	DecodeUpstream func(name string, value []byte) (site.Upstream, error)
	// VMs holds the records that VMs write with Announce.
	VMs      platform.Records
	Announce func(ctx context.Context, vm platform.VM) error
	DecodeVM func(name string, value []byte) (platform.VM, error)
	// Suspects holds the rows of requests under which upstreams have ended, which VMs write
	// with WriteSuspects. InsertSuspect writes a row that must not exist yet; otherwise it
	// returns platform.ErrConflict.
	Suspects      platform.Records
	WriteSuspects func(ctx context.Context, writes []platform.Row, deletions []string) error
	InsertSuspect func(ctx context.Context, row platform.Row) error
	// SetStoreAddress switches to the store at another address.
	SetStoreAddress func(address string)
	// CallerHandler translates callers' requests and the responses to them.
	CallerHandler func(next http.Handler) http.Handler
	// UpstreamTransport translates requests to upstreams and their responses.
	UpstreamTransport gateway.WrapFunc
	// ReadyHandler serves the platform's readiness check, which asks whether the VM accepts
	// new connections.
	ReadyHandler func(isReady func() bool) http.Handler
}

// Upper limits of the callers' listener. The site's configuration may set a lower
// limit for headers.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = 10 * time.Minute
)

// memoryShare is the share of the VM's memory that is set as the Go runtime's soft
// memory limit.
const memoryShare = 0.6

// gcPercent is the heap growth, in percent, that triggers a garbage collection. It
// is below Go's default of 100 to keep the heap small.
const gcPercent = 40

// Run returns a function that runs the process called name until its context is
// done and then stops it gracefully.
func Run(name string, adapt func(*static.Entry) Adapter) func(context.Context, *static.Entry) error {
	return func(ctx context.Context, settings *static.Entry) error {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryShare))
		parts, err := process.NewParts(name, settings.VM.LogLevel)
		if err != nil {
			return err
		}
		defer parts.Close()
		e, err := newEntry(settings, adapt(settings), parts)
		if err != nil {
			return err
		}
		return e.run(ctx)
	}
}

// entry holds the components of the running process.
type entry struct {
	settings  *static.Entry
	adapter   Adapter
	parts     process.Parts
	gateway   *gateway.Gateway
	mesh      *mesh.Mesh
	dispatch  *dispatch.Server
	router    *dispatch.Router
	readiness readinessGate
	suspects  *suspectstore.Store
	tunnels   *tunnel.Server
	// storeClock is the store's clock, which all followers share.
	storeClock follow.StoreClock
	// storeAddress is the address of the store in use; only reload accesses it after
	// start.
	storeAddress string
}

func newEntry(settings *static.Entry, adapter Adapter, parts process.Parts) (*entry, error) {
	e := &entry{settings: settings, adapter: adapter, parts: parts, storeAddress: settings.Store}
	coordinator := func(service string, isAvoided func(string) bool) (dispatch.VM, bool) {
		return e.mesh.Coordinator(service, isAvoided)
	}
	e.router = dispatch.NewRouter(coordinator, nil, parts.Log, parts.Counters)
	e.dispatch = dispatch.NewServer(func(service string) (*dispatch.Dispatcher, bool) {
		return e.gateway.Dispatcher(service)
	}, parts.Log, parts.Counters)
	e.suspects = e.newSuspectStore()
	e.gateway = gateway.New(gateway.Options{
		OnSuspectChange: e.suspects.Wake, StopWindow: parts.Lifecycle.StopWindow,
		OnHoldOff: func(service, address string, h tunnel.HoldOff) {
			e.tunnels.TellHoldOff(service, address, h)
		},
		VM: settings.VM.Name, Zone: settings.VM.Zone, Log: parts.Log, Counters: parts.Counters,
		Dial: upstreamDialer(settings.Source), Cores: settings.Cores, BodyMemory: int64(settings.BodyMemoryMB) << 20,
		Seed: uint64(time.Now().UnixNano()), WrapTransport: adapter.UpstreamTransport, RequireRequestID: true,
		ProbesPerUpstream: settings.ProbesPerUpstream, Router: e.router,
		Tunnels: tunnel.NewClient(settings.VM.Name, func(service string) []tunnel.VM {
			return e.mesh.TunnelCandidates(service)
		}, nil, parts.Counters),
		RetryLimits: retry.Limits{
			Share:    coordinatorRetryShare * settings.RetryRatio,
			Constant: coordinatorSlackShare * settings.RetrySlack,
		},
	})
	e.tunnels = tunnel.NewServer(e.gateway, parts.Log, parts.Counters)
	e.readiness.onReady = parts.Lifecycle.Configured
	adapter.Eras.Notify(newEraObserver(parts.Log, parts.Counters))
	var err error
	e.mesh, err = mesh.New(mesh.Options{
		VM: settings.VM.Name, Zone: settings.VM.Zone, Address: settings.Advertised,
		Capacity: capacity(settings), Seeds: otherSeeds(settings), Eras: adapter.Eras, Dispatch: e.dispatch,
		Tunnels: e.tunnels, OnLiveVMs: e.gateway.SetLiveVMs,
		Log: parts.Log, Counters: parts.Counters,
	})
	return e, err
}

func (e *entry) run(ctx context.Context) error {
	e.parts.Log.Info("start", "vm", e.settings.VM.Name, "zone", e.settings.VM.Zone, "version", process.Version)
	listener, err := process.Listen(e.settings.Listen, e.settings.MaxConnections)
	if err != nil {
		return err
	}
	settingsReloader, err := newReloader(e.settings.Path, e.parts.Log, e.reload)
	if err != nil {
		return err
	}
	peerListener, err := process.Listen(e.settings.Exchange, maxPeerConnections)
	if err != nil {
		return err
	}
	server := process.NewServer(e.adapter.CallerHandler(e.gateway), static.Limits{
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		MaxConnections: e.settings.MaxConnections, Cores: e.settings.Cores,
	})
	server.CountIn(e.parts.Counters)
	// The followers and the operators' server keep running after ctx is done, until
	// every call has finished.
	workCtx, cancelWork := context.WithCancel(context.Background())
	group, workCtx := errgroup.WithContext(workCtx)
	followers := []follower{e.newConfigFollower(), e.newUpstreamFollower(), e.newVMFollower(), e.newSuspectFollower()}
	for _, f := range followers {
		group.Go(func() error { return f.Run(workCtx) })
	}
	group.Go(func() error { return e.mesh.Run(workCtx, peerListener) })
	group.Go(func() error { return e.router.KeepConnected(workCtx, e.gateway.SiteServices) })
	group.Go(func() error { return e.suspects.Run(workCtx) })
	group.Go(func() error {
		return process.ServeOperators(workCtx, e.settings.Operators, e.parts.Lifecycle, e.suspectRoutes)
	})
	group.Go(func() error { return e.serveReady(workCtx) })
	group.Go(func() error { return settingsReloader.run(workCtx) })
	group.Go(func() error { return process.Serve(server, listener) })
	group.Go(func() error {
		defer cancelWork()
		return e.stopOnDone(ctx, workCtx, server)
	})
	err = group.Wait()
	e.parts.Log.Info("stop")
	return err
}

// stopOnDone stops the VM gracefully once ctx is done: its own callers and the other VMs whose
// calls lead through it may end theirs until the stop is over.
func (e *entry) stopOnDone(ctx, workCtx context.Context, server *process.Server) error {
	times := drain.TimesWithin(e.settings.StopTimeout, e.settings.StopLag)
	tunnelsDrained := make(chan error, 1)
	context.AfterFunc(ctx, func() {
		e.mesh.Leave()
		e.dispatch.Close()
		drainCtx, cancel := context.WithTimeout(workCtx, times.Lag+times.Drain)
		defer cancel()
		tunnelsDrained <- e.tunnels.Drain(drainCtx)
	})
	err := e.parts.Lifecycle.StopOnDone(ctx, workCtx, server, times)
	if err != nil || ctx.Err() == nil {
		return err
	}
	return <-tunnelsDrained
}

// reload applies changed settings. Only the address of the store takes effect
// without a restart.
func (e *entry) reload(settings *static.Entry) {
	if settings.Store != e.storeAddress {
		e.parts.Log.Info("store address changed", "from", e.storeAddress, "to", settings.Store)
		e.adapter.SetStoreAddress(settings.Store)
		e.storeAddress = settings.Store
	}
}

func (e *entry) newConfigFollower() *follow.ConfigFollower {
	return &follow.ConfigFollower{
		Source: e.mesh.AddRecordSet("config", e.adapter.Configs, e.configRecordOptions()), Key: e.adapter.ConfigKey, Decode: e.adapter.DecodeConfig,
		Apply: func(c site.Config) bool {
			isApplied := e.gateway.ApplySite(c)
			e.suspects.Refresh()
			e.readiness.satisfy(&e.readiness.hasConfig)
			return isApplied
		},
		Log: e.parts.Log, Counters: e.parts.Counters, Clock: &e.storeClock,
	}
}

func (e *entry) newUpstreamFollower() *follow.UpstreamFollower {
	options := UpstreamRecordOptions(e.settings.DrainBound)
	return &follow.UpstreamFollower{
		Source: e.mesh.AddRecordSet("upstreams", e.adapter.Upstreams, options), Decode: e.adapter.DecodeUpstream,
		HeartbeatInterval: e.settings.UpstreamHeartbeatInterval, ReadInterval: options.Interval,
		Apply: func(upstreams []site.Upstream) {
			e.gateway.SetUpstreams(upstreams)
			e.readiness.satisfy(&e.readiness.hasUpstreams)
		},
		Log: e.parts.Log, Counters: e.parts.Counters, Clock: &e.storeClock,
	}
}

func (e *entry) newVMFollower() *follow.VMFollower {
	return &follow.VMFollower{
		Source:   e.mesh.AddRecordSet("vms", e.adapter.VMs, vmRecordOptions),
		Self:     platform.VM{Name: e.settings.VM.Name, Zone: e.settings.VM.Zone, Address: e.settings.Advertised, Capacity: capacity(e.settings)},
		Announce: e.adapter.Announce, Decode: e.adapter.DecodeVM, Apply: e.mesh.MergeVMs,
		Log: e.parts.Log, Counters: e.parts.Counters, Clock: &e.storeClock,
	}
}

// follower follows one record set until its context is done.
type follower interface {
	Run(ctx context.Context) error
}

// coordinatorRetryShare is the share of RetryRatio, the ratio of retries to calls,
// that a service's coordinator may use, and coordinatorSlackShare that of RetrySlack.
// The rest is for VMs that place calls locally and for a second coordinator while the
// VMs do not agree on one.
const (
	coordinatorRetryShare = 0.75
	coordinatorSlackShare = 0.3
)

// maxReadyConnections limits the connections for readiness checks.
const maxReadyConnections = 64

// maxPeerConnections limits the connections from other VMs, tunnels included.
const maxPeerConnections = 512

// serveReady serves the platform's readiness check until ctx is done.
func (e *entry) serveReady(ctx context.Context) error {
	listener, err := process.Listen(e.settings.Ready, maxReadyConnections)
	if err != nil {
		return err
	}
	server := process.NewServer(e.adapter.ReadyHandler(e.parts.Lifecycle.IsReady), static.Limits{
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		MaxConnections: maxReadyConnections,
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return process.Serve(server, listener)
}
