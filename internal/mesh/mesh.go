package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// Topics exchanged between the VMs of a zone.
const (
	topicHeartbeat = "mesh_beat"
	topicRecords   = "mesh_records"
	// topicSeedRecords carries the newest snapshot that a VM has, no matter which VM
	// read it. VMs that start while the store is unavailable subscribe to it.
	topicSeedRecords = "mesh_known"
)

// Intervals and timeouts.
const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// streamIdleTimeout is how long a peer may send nothing before its stream is
	// closed.
	streamIdleTimeout = time.Second
	// reconnectDelay is the pause before a stream to a peer is opened again.
	reconnectDelay = 300 * time.Millisecond
	// suspicionTimeout is how long a peer stays suspect before it is considered dead.
	suspicionTimeout = 3 * time.Second
	// cutOffDuration is how long a VM counts as cut off after a failed call to the
	// store.
	cutOffDuration = 5 * time.Second
)

// Options configures a Mesh.
type Options struct {
	VM   string
	Zone string
	// Address is where other VMs reach this one, as IP:port.
	Address string
	// Capacity is the processor capacity that the VM has for work on behalf of other
	// VMs, in cores.
	Capacity float64
	// Seeds are the addresses of VMs from which a starting VM fetches the latest
	// snapshots while the store is unavailable. Any of them may be unreachable.
	Seeds []string
	// OnLiveVMs is called with the number of live VMs of the site whenever the platform's
	// list has been merged.
	OnLiveVMs func(vms int)
	Log       hclog.Logger
	Counters  *telemetry.Counters
	// Eras tracks the era of the store; nil uses a tracker that only peers update.
	Eras *platform.EraTracker
	// Dispatch places calls for other VMs; nil disables this.
	Dispatch api.DRPCDispatchServer
	// Tunnels opens tunnels for other VMs; nil disables this.
	Tunnels api.DRPCTunnelServer
	// Dialer opens connections to other VMs; nil uses the network.
	Dialer exchange.Dialer
}

// Mesh is one VM's endpoint of the exchange among the VMs of its zone. It is safe for
// concurrent use, except that AddRecordSet has to be called before Run.
type Mesh struct {
	api.DRPCExchangeUnimplementedServer

	options Options
	hub     *exchange.Hub
	// sets holds the record sets by name; it is not changed after Run has started.
	sets map[string]*RecordSet

	mu   sync.Mutex
	view *membership.View
	// cutOff holds the VMs whose last heartbeat said that they can't read the store.
	cutOff map[string]bool
	// storeFailedAt is the time of the last call to the store if that call failed;
	// zero otherwise.
	storeFailedAt time.Time
	isLeaving     bool
	// streams holds the function that cancels the stream to each peer, by VM@address.
	streams  map[string]context.CancelFunc
	revision uint64
}

// New returns a Mesh that is idle until Run is called. It returns an error when the
// state machine in vm.ini is invalid.
func New(options Options) (*Mesh, error) {
	view, err := membership.New(membership.Options{
		Self: membership.Member{
			VM: options.VM, Zone: options.Zone, Address: options.Address,
			Incarnation: membership.NewIncarnation(time.Now()), Capacity: options.Capacity,
		},
		SuspicionTimeout: suspicionTimeout,
	})
	if err != nil {
		return nil, err
	}
	if options.Eras == nil {
		options.Eras = new(platform.EraTracker)
	}
	return &Mesh{
		options:  options,
		hub:      exchange.NewHub(),
		sets:     make(map[string]*RecordSet),
		view:     view,
		cutOff:   make(map[string]bool),
		streams:  make(map[string]context.CancelFunc),
		revision: uint64(time.Now().UnixNano()),
	}, nil
}

// Run serves other VMs on the listener and keeps streams to the VMs of the zone until
// ctx ends.
func (m *Mesh) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return exchange.ServeAll(ctx, listener, m, m.options.Dispatch, m.options.Tunnels) })
	group.Go(func() error { return m.runHeartbeats(ctx) })
	for _, seed := range m.options.Seeds {
		if seed != m.options.Address {
			group.Go(func() error { return m.bootstrapFromSeed(ctx, seed) })
		}
	}
	return group.Wait()
}

// Leave announces to the other VMs that this one is stopping.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isLeaving = true
	m.view.Leave()
}

// Subscribe streams the requested topics to another VM.
func (m *Mesh) Subscribe(request *api.SubscribeRequest, stream api.DRPCExchange_SubscribeStream) error {
	return m.hub.ServeSubscriber(request, stream)
}

// publish encodes a message and sends it to the subscribed VMs.
func (m *Mesh) publish(topic, key string, payload proto.Message) {
	encoded, err := proto.Marshal(payload)
	if err != nil {
		m.options.Log.Error("failed to encode message", "topic", topic, telemetry.FieldError, err)
		return
	}
	m.publishEncoded(topic, key, encoded)
}

// publishEncoded sends an encoded message to the subscribed VMs.
func (m *Mesh) publishEncoded(topic, key string, payload []byte) {
	m.mu.Lock()
	m.revision++
	revision := m.revision
	m.mu.Unlock()
	m.hub.Publish(&api.Message{Topic: topic, Key: key, Revision: revision, Payload: payload})
}

// runHeartbeats publishes a heartbeat, advances the view's timers and updates the
// streams to peers every heartbeatInterval until ctx ends.
func (m *Mesh) runHeartbeats(ctx context.Context) error {
	for {
		confine.Run(m.options.Log, m.options.Counters, confine.Connection, func() {
			m.publish(topicHeartbeat, m.options.VM, m.nextHeartbeat(time.Now()))
			m.updateStreams(ctx)
		})
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// nextHeartbeat advances the view's timers to now and returns this VM's heartbeat.
func (m *Mesh) nextHeartbeat(now time.Time) *api.Beat {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Tick(now)
	self := m.view.Self()
	return &api.Beat{
		Sender: &api.Member{
			Vm: self.VM, Zone: self.Zone, Address: self.Address, Incarnation: self.Incarnation, State: string(self.State),
		},
		Leaving: m.isLeaving,
		CutOff:  m.isCutOffLocked(now),
	}
}

// isCutOffLocked reports whether a call of this VM to the store failed within
// cutOffDuration. The caller holds m.mu.
func (m *Mesh) isCutOffLocked(now time.Time) bool {
	return !m.storeFailedAt.IsZero() && now.Sub(m.storeFailedAt) < cutOffDuration
}

// recordStoreResult records whether a call to the store succeeded. If that changes
// whether this VM is cut off, a heartbeat is published at once.
func (m *Mesh) recordStoreResult(ok bool) {
	now := time.Now()
	m.mu.Lock()
	wasCutOff := m.isCutOffLocked(now)
	m.storeFailedAt = time.Time{}
	if !ok {
		m.storeFailedAt = now
	}
	m.mu.Unlock()
	if wasCutOff == ok {
		m.publish(topicHeartbeat, m.options.VM, m.nextHeartbeat(now))
	}
}

// MergeVMs merges the platform's list of VMs into the view and reports the number of
// live VMs to Options.OnLiveVMs.
func (m *Mesh) MergeVMs(vms []platform.VM) {
	listed := make([]membership.ListEntry, 0, len(vms))
	for _, vm := range vms {
		listed = append(listed, membership.ListEntry{
			VM: vm.Name, Zone: vm.Zone, Address: vm.Address, Leaving: vm.Leaving, Capacity: vm.Capacity,
		})
	}
	refused, live := m.mergeList(listed)
	if refused > 0 {
		m.options.Counters.Add(telemetry.GroupPeers, "list_refused", int64(refused))
	}
	m.options.OnLiveVMs(live)
}

// mergeList merges a list into the view. It returns the number of entries that were refused and of
// live VMs.
func (m *Mesh) mergeList(listed []membership.ListEntry) (refused, live int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	refused = m.view.MergeList(time.Now(), listed)
	return refused, m.view.Live().All
}

// IsReader reports whether this VM reads the store for its zone. The reader is the
// first of the zone's candidates that is not cut off. A VM that is no candidate itself,
// for example because it is leaving, reads the store when all candidates are cut off.
func (m *Mesh) IsReader() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	isSelfCutOff := m.isCutOffLocked(now)
	for _, vm := range m.view.Readers(maxReaderCandidates) {
		if vm == m.options.VM {
			return !isSelfCutOff
		}
		if !m.cutOff[vm] {
			return false
		}
	}
	return true
}

// maxReaderCandidates limits the candidates that IsReader considers.
const maxReaderCandidates = 64

// errStreamIdle means that a peer sent nothing for streamIdleTimeout.
var errStreamIdle = errors.New("mesh: stream idle for too long")
