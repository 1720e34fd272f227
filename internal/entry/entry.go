package entry

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/follow"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/mesh"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/process"
)

// Adapter translates between figfront and a platform.
type Adapter struct {
	// Configs holds the operators' configuration under ConfigKey.
	Configs      platform.Records
	ConfigKey    string
	DecodeConfig func(value []byte) (site.Config, error)
	// Servers holds the entries that the servers write.
	Servers        platform.Records
	DecodeUpstream func(name string, value []byte) (site.Upstream, error)
	// VMs holds the entries that VMs write with Announce.
	VMs      platform.Records
	Announce func(ctx context.Context, vm platform.VM) error
	DecodeVM func(value []byte) (platform.VM, error)
	// MoveStore uses the store at another address from now on.
	MoveStore func(address string)
	// Callers translates the requests of callers and their answers.
	Callers func(next http.Handler) http.Handler
	// Upstreams translates the requests to upstreams and their answers.
	Upstreams gateway.WrapFunc
	// Ready serves the platform's question whether the VM takes new connections.
	Ready func(isReady func() bool) http.Handler
}

// Limits of the callers' listener that the configuration does not lower.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = 10 * time.Minute
)

// stopReserve is the part of StopTimeout that is left for ending the process.
const stopReserve = 400 * time.Millisecond

// memoryShare is the share of the memory that the heap may use.
const memoryShare = 0.6

// gcPercent keeps the heap small.
const gcPercent = 40

// Run returns the function that runs the process called name until its context
// ends.
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

// entry is the running process.
type entry struct {
	settings *static.Entry
	adapter  Adapter
	parts    process.Parts
	gateway  *gateway.Gateway
	mesh     *mesh.Mesh
	dispatch *dispatch.Server
	router   *dispatch.Router
	start    startGate
	// storeClock is shared by the followers of the store.
	storeClock follow.StoreClock
	// store is the address of the store in use; only reload reads it.
	store string
}

func newEntry(settings *static.Entry, adapter Adapter, parts process.Parts) (*entry, error) {
	e := &entry{settings: settings, adapter: adapter, parts: parts, store: settings.Store}
	inCharge := func(service string, isAvoided func(string) bool) (dispatch.VM, bool) {
		return e.mesh.Coordinator(service, isAvoided)
	}
	e.router = dispatch.NewRouter(inCharge, nil, parts.Log, parts.Counters)
	e.dispatch = dispatch.NewServer(func(service string) (*dispatch.Dispatcher, bool) {
		return e.gateway.Dispatcher(service)
	})
	e.gateway = gateway.New(gateway.Options{
		VM: settings.VM.Name, Zone: settings.VM.Zone, Log: parts.Log, Counters: parts.Counters,
		Seed: uint64(time.Now().UnixNano()), WrapTransport: adapter.Upstreams,
		ProbesPerSecond: settings.ProbesPerSecond, RetryShare: retryShare * settings.RetryRatio,
		Router: e.router,
	})
	e.start.open = parts.Life.Configured
	var err error
	e.mesh, err = mesh.New(mesh.Options{
		VM: settings.VM.Name, Zone: settings.VM.Zone, Address: settings.Exchange,
		Capacity: capacity(settings), Seeds: settings.Seeds, Dispatch: e.dispatch, OnLiveVMs: e.gateway.SetVMs,
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
	settingsFile, err := newReloader(e.settings.Path, e.parts.Log, e.reload)
	if err != nil {
		return err
	}
	neighbours, err := process.Listen(e.settings.Exchange, maxNeighbours)
	if err != nil {
		return err
	}
	server := process.NewServer(e.adapter.Callers(e.gateway), static.Limits{
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	// The followers and the operators' page outlive ctx until every call is
	// finished.
	work, endWork := context.WithCancel(context.Background())
	group, work := errgroup.WithContext(work)
	followers := []follower{e.configs(), e.upstreams(), e.vms()}
	for _, f := range followers {
		group.Go(func() error { return f.Run(work) })
	}
	group.Go(func() error { return e.mesh.Run(work, neighbours) })
	group.Go(func() error { return e.router.KeepConnected(work, e.gateway.SiteServices) })
	group.Go(func() error { return process.ServeOperators(work, e.settings.Operators, e.parts.Life) })
	group.Go(func() error { return e.serveReady(work) })
	group.Go(func() error { return settingsFile.run(work) })
	group.Go(func() error { return process.Serve(server, listener) })
	group.Go(func() error {
		defer endWork()
		context.AfterFunc(ctx, func() {
			e.mesh.Leave()
			e.dispatch.Close()
		})
		drainTimeout := max(e.settings.StopTimeout-e.settings.StopLag-stopReserve, 0)
		return e.parts.Life.StopAtEnd(ctx, work, server, e.settings.StopLag, drainTimeout)
	})
	err = group.Wait()
	e.parts.Log.Info("stop")
	return err
}

// mbpsPerCore is the bandwidth that the work for other VMs needs beside a core, in
// megabits per second.
const mbpsPerCore = 100

// capacity returns how much work for others the VM can do, in cores.
func capacity(settings *static.Entry) float64 {
	return min(settings.Cores, settings.LinkMbps/mbpsPerCore)
}

// reload puts changed settings in force. The addresses that the process listens
// at and the VM's name and zone hold until it starts again.
func (e *entry) reload(settings *static.Entry) {
	if settings.Store != e.store {
		e.parts.Log.Info("store moved", "from", e.store, "to", settings.Store)
		e.adapter.MoveStore(settings.Store)
		e.store = settings.Store
	}
}

func (e *entry) configs() *follow.ConfigFollower {
	return &follow.ConfigFollower{
		Source: e.mesh.AddRecordSet("config", e.adapter.Configs, e.configReading()), Key: e.adapter.ConfigKey, Decode: e.adapter.DecodeConfig,
		Apply: func(c site.Config) bool {
			isApplied := e.gateway.ApplySite(c)
			e.start.pass(&e.start.hasConfig)
			return isApplied
		},
		Log: e.parts.Log, Counters: e.parts.Counters, Clock: &e.storeClock,
	}
}

func (e *entry) upstreams() *follow.UpstreamFollower {
	return &follow.UpstreamFollower{
		Source: e.mesh.AddRecordSet("upstreams", e.adapter.Servers, e.upstreamReading()), Decode: e.adapter.DecodeUpstream, Heartbeat: e.settings.Heartbeat,
		Apply: func(upstreams []site.Upstream) {
			e.gateway.SetUpstreams(upstreams)
			e.start.pass(&e.start.hasUpstreams)
		},
		Log: e.parts.Log, Counters: e.parts.Counters, Clock: &e.storeClock,
	}
}

func (e *entry) vms() *follow.VMFollower {
	return &follow.VMFollower{
		Source:   e.mesh.AddRecordSet("vms", e.adapter.VMs, vmReading),
		Self:     platform.VM{Name: e.settings.VM.Name, Zone: e.settings.VM.Zone, Address: e.settings.Exchange, Capacity: capacity(e.settings)},
		Announce: e.adapter.Announce, Decode: e.adapter.DecodeVM, Apply: e.mesh.MergeVMs,
		Log: e.parts.Log, Counters: e.parts.Counters, Clock: &e.storeClock,
	}
}

// follower follows one record set until its context ends.
type follower interface {
	Run(ctx context.Context) error
}

// Shares of a bound for readings: the time between two of them, and the age from
// which on a VM reads for itself because the zone's reader has fallen silent.
const (
	drainInterval   = 0.475
	drainStaleness  = 0.7
	configInterval  = 0.6
	configStaleness = 0.8
)

// vmReading is how the list of VMs is read.
var vmReading = mesh.RecordOptions{Interval: 4 * time.Second, Staleness: 6 * time.Second}

// upstreamReading returns how the servers' entries are read.
func (e *entry) upstreamReading() mesh.RecordOptions {
	bound := e.settings.DrainBound
	return mesh.RecordOptions{Interval: part(bound, drainInterval), Staleness: part(bound, drainStaleness)}
}

// configReading returns how the configuration is read.
func (e *entry) configReading() mesh.RecordOptions {
	bound := e.settings.ConfigBound
	return mesh.RecordOptions{
		Interval: part(bound, configInterval), Staleness: part(bound, configStaleness), LongPoll: true,
	}
}

// part returns a share of a time.
func part(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// retryShare is the part of the ratio of repeats that the VM in charge plans
// with; the rest is for VMs that place their calls themselves.
const retryShare = 0.5

// maxNeighbours limits the connections of other VMs.
const maxNeighbours = 256

// serveReady serves the platform's readiness question until ctx ends.
func (e *entry) serveReady(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.settings.Ready)
	if err != nil {
		return err
	}
	server := process.NewServer(e.adapter.Ready(e.parts.Life.IsReady), static.Limits{
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return process.Serve(server, listener)
}

// startGate opens once both the configuration and the upstreams are known.
type startGate struct {
	open func()

	mu           sync.Mutex
	hasConfig    bool
	hasUpstreams bool
}

// pass records that one of the gate's conditions holds.
func (g *startGate) pass(condition *bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*condition = true
	if g.hasConfig && g.hasUpstreams {
		g.open()
	}
}
