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
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// Topics between the VMs of a zone.
const (
	topicBeat    = "mesh_beat"
	topicRecords = "mesh_records"
	// topicKnown carries the newest reading that a VM knows, whoever read it, for
	// a VM that starts while the store is away.
	topicKnown = "mesh_known"
)

// Times of the mesh.
const (
	// beatInterval is the time between two heartbeats.
	beatInterval = 300 * time.Millisecond
	// silenceLimit is how long a neighbour may send nothing before its stream is
	// closed.
	silenceLimit = time.Second
	// reconnectPause is the pause between two streams to a neighbour.
	reconnectPause = 300 * time.Millisecond
	// suspicionTimeout is how long a neighbour is suspect before it is dead.
	suspicionTimeout = 3 * time.Second
	// cutOffTime is how long a VM counts as cut off after the store has failed
	// it.
	cutOffTime = 5 * time.Second
)

// Options are what a Mesh is built from.
type Options struct {
	VM   string
	Zone string
	// Address is where the other VMs reach this one, as IP:port.
	Address string
	// Capacity is how much work for others the VM can do, in cores.
	Capacity float64
	// Seeds are addresses of VMs that a VM asks at its start for what they know;
	// any of them may be gone.
	Seeds []string
	// Count takes the number of live VMs of the site.
	Count    func(vms int)
	Log      hclog.Logger
	Counters *telemetry.Counters
	// Dispatch places calls of other VMs; nil places none.
	Dispatch api.DRPCDispatchServer
	// Dialer opens connections to other VMs; nil stands for the network.
	Dialer exchange.Dialer
}

// Mesh is one VM's part of the exchange among the VMs of its zone.
type Mesh struct {
	api.DRPCExchangeUnimplementedServer

	options Options
	hub     *exchange.Hub
	sets    map[string]*RecordSet

	mu   sync.Mutex
	view *membership.View
	// cutOff holds the VMs that said that they can't read the store.
	cutOff map[string]bool
	// storeFailedAt is when the store last failed this VM.
	storeFailedAt time.Time
	isLeaving     bool
	// followed holds what ends the stream to each neighbour.
	followed map[string]context.CancelFunc
	revision uint64
}

// New returns a Mesh that does nothing until Run. It returns an error when the
// chart of VMs is at fault.
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
	return &Mesh{
		options:  options,
		hub:      exchange.NewHub(),
		sets:     make(map[string]*RecordSet),
		view:     view,
		cutOff:   make(map[string]bool),
		followed: make(map[string]context.CancelFunc),
		revision: uint64(time.Now().UnixNano()),
	}, nil
}

// Run serves the other VMs on the listener and follows those of the zone until
// ctx ends.
func (m *Mesh) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return exchange.ServeDispatch(ctx, listener, m, m.options.Dispatch) })
	group.Go(func() error { return m.beat(ctx) })
	for _, seed := range m.options.Seeds {
		if seed != m.options.Address {
			group.Go(func() error { return m.askSeed(ctx, seed) })
		}
	}
	return group.Wait()
}

// Leave tells the other VMs that this one is stopping.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isLeaving = true
	m.view.Leave()
}

// Subscribe streams the wanted topics to another VM.
func (m *Mesh) Subscribe(request *api.SubscribeRequest, stream api.DRPCExchange_SubscribeStream) error {
	return m.hub.Stream(request, stream)
}

// publish hands a message to the VMs that follow this one.
func (m *Mesh) publish(topic, key string, payload proto.Message) {
	encoded, err := proto.Marshal(payload)
	if err != nil {
		m.options.Log.Error("message not encoded", "topic", topic, telemetry.FieldError, err)
		return
	}
	m.publishEncoded(topic, key, encoded)
}

// publishEncoded hands a message that is encoded already to the VMs that follow this
// one.
func (m *Mesh) publishEncoded(topic, key string, payload []byte) {
	m.mu.Lock()
	m.revision++
	revision := m.revision
	m.mu.Unlock()
	m.hub.Publish(&api.Message{Topic: topic, Key: key, Revision: revision, Payload: payload})
}

// beat publishes heartbeats and lets time pass in the view until ctx ends.
func (m *Mesh) beat(ctx context.Context) error {
	for {
		m.publish(topicBeat, m.options.VM, m.nextBeat(time.Now()))
		m.follow(ctx)
		select {
		case <-time.After(beatInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *Mesh) nextBeat(now time.Time) *api.Beat {
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

// isCutOffLocked tells whether the store failed this VM lately.
func (m *Mesh) isCutOffLocked(now time.Time) bool {
	return !m.storeFailedAt.IsZero() && now.Sub(m.storeFailedAt) < cutOffTime
}

// storeAnswered records whether the store answered this VM. Others hear of a
// change at once.
func (m *Mesh) storeAnswered(ok bool) {
	now := time.Now()
	m.mu.Lock()
	was := m.isCutOffLocked(now)
	m.storeFailedAt = time.Time{}
	if !ok {
		m.storeFailedAt = now
	}
	m.mu.Unlock()
	if was == ok {
		m.publish(topicBeat, m.options.VM, m.nextBeat(now))
	}
}

// MergeVMs takes the platform's list of VMs.
func (m *Mesh) MergeVMs(vms []platform.VM) {
	listed := make([]membership.Listed, 0, len(vms))
	for _, vm := range vms {
		listed = append(listed, membership.Listed{
			VM: vm.Name, Zone: vm.Zone, Address: vm.Address, Leaving: vm.Leaving, Capacity: vm.Capacity,
		})
	}
	m.mu.Lock()
	refused := m.view.MergeList(time.Now(), listed)
	live := m.view.Live().All
	m.mu.Unlock()
	if refused > 0 {
		m.options.Counters.Add(telemetry.GroupPeers, "list_refused", int64(refused))
	}
	m.options.Count(live)
}

// IsReader tells whether this VM reads the store for its zone.
func (m *Mesh) IsReader() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	isSelfCutOff := m.isCutOffLocked(now)
	for _, vm := range m.view.Readers(maxReaders) {
		if vm == m.options.VM {
			return !isSelfCutOff
		}
		if !m.cutOff[vm] {
			return false
		}
	}
	return true
}

// InCharge returns the VM of the site that places the calls of a service, chosen
// by rendezvous hashing among the strong ones that isAvoided does not rule out;
// false means that it is this VM.
func (m *Mesh) InCharge(service string, isAvoided func(vm string) bool) (dispatch.VM, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []membership.Member
	if !m.isLeaving {
		candidates = append(candidates, m.view.Self())
	}
	for _, member := range m.view.Members() {
		isGone := member.State == membership.StateDead || member.State == membership.StateLeaving
		if !isGone && !isAvoided(member.VM) {
			candidates = append(candidates, member)
		}
	}
	first, ok := membership.First(service, candidates)
	if !ok || first.VM == m.options.VM {
		return dispatch.VM{}, false
	}
	return dispatch.VM{Name: first.VM, Address: first.Address}, true
}

// maxReaders limits the VMs that are looked at for the reader of a zone.
const maxReaders = 64

// errStreamSilent means that a neighbour sent nothing for silenceLimit.
var errStreamSilent = errors.New("mesh: stream silent")
