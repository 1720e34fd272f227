package mesh_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/mesh"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// store is a record set that counts calls and can be made unavailable.
type store struct {
	mu          sync.Mutex
	era         platform.Era
	version     uint64
	changed     chan struct{}
	calls       int
	unavailable map[string]bool
	// hanging holds the VMs whose calls fail after hangTime.
	hanging map[string]bool
}

// hangTime is how long a call that hangs takes to fail.
const hangTime = 800 * time.Millisecond

func newStore() *store {
	return &store{era: 1, changed: make(chan struct{}), unavailable: make(map[string]bool), hanging: make(map[string]bool)}
}

// change advances the store to a new version.
func (s *store) change() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// restore takes the store back to an older version in the next era.
func (s *store) restore(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

// setUnavailable makes the calls of a VM fail or succeed; allVMs stands for all VMs.
func (s *store) setUnavailable(vm string, isUnavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable[vm] = isUnavailable
}

// setHanging makes the calls of a VM hang or succeed.
func (s *store) setHanging(vm string, isHanging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging[vm] = isHanging
}

func (s *store) isHanging(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hanging[vm]
}

const allVMs = "every"

// resetCalls sets the number of calls to 0 and returns the previous number.
func (s *store) resetCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = 0
	return calls
}

// records is the store as accessed by one VM.
type records struct {
	store *store
	vm    string
	eras  *platform.EraTracker
}

// callDuration is how long a call to the store takes.
const callDuration = 4 * time.Millisecond

func (r records) call() (platform.Position, <-chan struct{}, error) {
	sentIn := r.eras.Latest()
	time.Sleep(callDuration)
	if r.store.isHanging(r.vm) {
		time.Sleep(hangTime)
		return platform.Position{}, nil, platform.ErrUncertain
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.calls++
	position, err := r.positionLocked(sentIn)
	return position, r.store.changed, err
}

// positionLocked returns the store's position as the response to a request that was sent
// when sentIn was the latest era.
func (r records) positionLocked(sentIn platform.Era) (platform.Position, error) {
	if r.store.unavailable[r.vm] || r.store.unavailable[allVMs] {
		return platform.Position{}, platform.ErrUnavailable
	}
	era, err := r.eras.ResolveResponse(r.store.era, nil, sentIn)
	return platform.Position{Era: era, Version: r.store.version}, err
}

// Read returns a snapshot with the current position and no rows.
func (r records) Read(context.Context) (platform.Snapshot, error) {
	position, _, err := r.call()
	return platform.Snapshot{Position: position}, err
}

// Wait returns the current position once its version is above after, or when limit has
// passed.
func (r records) Wait(ctx context.Context, after platform.Position, limit time.Duration) (platform.Changes, error) {
	position, changed, err := r.call()
	isBehind := position.Era == after.Era && position.Version <= after.Version
	if err == nil && isBehind {
		select {
		case <-changed:
		case <-time.After(limit):
		case <-ctx.Done():
		}
		r.store.mu.Lock()
		defer r.store.mu.Unlock()
		position, err = r.positionLocked(after.Era)
	}
	if err == nil && position.Era != after.Era {
		err = platform.ErrHistoryGone
	}
	return platform.Changes{Position: position}, err
}

// zone holds the VMs of one zone, their network and their store.
type zone struct {
	network *pipenet.Network
	store   *store
	vms     []*vm
}

// vm is one VM that follows a record set.
type vm struct {
	name   string
	mesh   *mesh.Mesh
	set    *mesh.RecordSet
	cancel context.CancelFunc

	mu        sync.Mutex
	position  platform.Position
	updatedAt time.Time
	// failedAt is when Next last failed.
	failedAt time.Time
}

// recordFailure records that Next has failed.
func (v *vm) recordFailure() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failedAt = time.Now()
}

func (v *vm) currentPosition() platform.Position {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.position
}

func (v *vm) currentVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.position.Version
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

func newZone(t *testing.T, count int, usesLongPoll bool) *zone {
	t.Helper()
	z := &zone{network: pipenet.New(), store: newStore()}
	z.store.change()
	for i := range count {
		z.start(t, i, usesLongPoll, nil)
	}
	z.list()
	time.Sleep(3 * time.Second)
	z.store.resetCalls()
	return z
}

// start runs a VM that does not know the other VMs yet.
func (z *zone) start(t *testing.T, i int, usesLongPoll bool, seeds []string) *vm {
	t.Helper()
	v := &vm{name: fmt.Sprintf("vm-%d", i)}
	eras := new(platform.EraTracker)
	m, err := mesh.New(mesh.Options{
		VM: v.name, Zone: "z", Address: address(i), Seeds: seeds, OnLiveVMs: func(int) {}, Eras: eras,
		Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(), Dialer: dialer{z.network},
	})
	if err != nil {
		t.Fatal(err)
	}
	v.mesh = m
	options := mesh.RecordOptions{Interval: 700 * time.Millisecond, LongPoll: usesLongPoll, Staleness: 1100 * time.Millisecond}
	if !usesLongPoll {
		options.RetryInterval = retryInterval
	}
	set := m.AddRecordSet("set", records{z.store, v.name, eras}, options)
	v.set = set
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	listener := z.network.Listen(address(i))
	go func() { _ = m.Run(ctx, listener) }()
	go v.follow(ctx, set)
	z.vms = append(z.vms, v)
	return v
}

// follow consumes the snapshots of a record set.
func (v *vm) follow(ctx context.Context, set *mesh.RecordSet) {
	for ctx.Err() == nil {
		snapshot, err := set.Next(ctx)
		if err != nil {
			v.recordFailure()
			set.Pause(ctx, 100*time.Millisecond)
			continue
		}
		v.mu.Lock()
		if v.position.IsBefore(snapshot.Position) {
			v.updatedAt = time.Now()
			v.position = snapshot.Position
		}
		v.mu.Unlock()
	}
}

// list gives every VM the list of all VMs.
func (z *zone) list() {
	var listed []platform.VM
	for i, v := range z.vms {
		listed = append(listed, platform.VM{Name: v.name, Zone: "z", Address: address(i)})
	}
	for _, v := range z.vms {
		v.mesh.MergeVMs(listed)
	}
}

func (z *zone) close() {
	for _, v := range z.vms {
		v.cancel()
	}
	time.Sleep(time.Minute)
}

// reader returns the VM that reads the store and fails the test unless there is
// exactly one.
func (z *zone) reader(g *WithT) *vm {
	var readers []*vm
	for _, v := range z.vms {
		if v.mesh.IsReader() {
			readers = append(readers, v)
		}
	}
	g.Expect(readers).To(HaveLen(1), "exactly one VM is the zone's reader")
	return readers[0]
}

// dialer opens connections through a pipenet.Network.
type dialer struct{ network *pipenet.Network }

// DialContext implements exchange.Dialer.
func (d dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.network.Dial(ctx, network, address)
}

func TestOneVMReadsForTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 5, false)
		defer z.close()
		z.reader(g)
		version := z.store.change()
		time.Sleep(10 * time.Second)
		g.Expect(z.store.resetCalls()).To(BeNumerically("<=", 18), "one VM that reads every 700 ms")
		for _, v := range z.vms {
			g.Expect(v.currentVersion()).To(Equal(version), v.name)
		}
	})
}

// changeBound is the time within which all VMs have to receive a change.
const changeBound = 2 * time.Second

// TestChangeReachesAllVMsWhenTheReaderFails stops the zone's reader, makes it
// leave or makes its calls to the store fail just before a change. The other VMs have
// to receive the change within changeBound all the same.
func TestChangeReachesAllVMsWhenTheReaderFails(t *testing.T) {
	faults := map[string]func(z *zone, reader *vm){
		"nothing":       func(*zone, *vm) {},
		"reader ends":   func(_ *zone, reader *vm) { reader.cancel() },
		"store refuses": func(z *zone, reader *vm) { z.store.setUnavailable(reader.name, true) },
		"reader leaves": func(_ *zone, reader *vm) { reader.mesh.Leave() },
	}
	for _, usesLongPoll := range []bool{false, true} {
		for name, inject := range faults {
			t.Run(fmt.Sprintf("%s long poll %t", name, usesLongPoll), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					z := newZone(t, 5, usesLongPoll)
					defer z.close()
					reader := z.reader(g)
					inject(z, reader)
					changed := time.Now()
					version := z.store.change()
					time.Sleep(changeBound)
					for _, v := range z.vms {
						if v == reader && name == "reader ends" {
							continue
						}
						g.Expect(v.currentVersion()).To(Equal(version), v.name)
						g.Expect(v.updatedAt.Sub(changed)).To(BeNumerically("<", changeBound), v.name)
					}
				})
			})
		}
	}
}

// TestAllVMsRecoverAfterStoreOutage guards against VMs that miss a change made while
// the store was unavailable to all of them.
func TestAllVMsRecoverAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 4, true)
		defer z.close()
		z.store.setUnavailable(allVMs, true)
		version := z.store.change()
		time.Sleep(10 * time.Second)
		z.store.setUnavailable(allVMs, false)
		time.Sleep(changeBound)
		for _, v := range z.vms {
			g.Expect(v.currentVersion()).To(Equal(version), v.name)
		}
	})
}

// TestVMBootstrapsFromSeedsDuringOutage starts a VM while the store is
// unavailable. Its first seed is unreachable; it has to get the snapshot from the
// second one.
func TestVMBootstrapsFromSeedsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 3, true)
		defer z.close()
		z.store.setUnavailable(allVMs, true)
		late := z.start(t, 7, true, []string{"10.0.9.9:1", address(2)})
		time.Sleep(time.Second)
		g.Expect(late.currentVersion()).To(Equal(z.vms[0].currentVersion()))
		alone := z.start(t, 8, true, nil)
		time.Sleep(time.Second)
		g.Expect(alone.currentVersion()).To(BeZero(), "without seeds it has no snapshot")
	})
}

// TestSeedIsQueriedOnlyDuringAnOutage checks that a VM which starts while the store
// answers doesn't connect to its seed, and that one which starts during an outage
// connects to it once.
func TestSeedIsQueriedOnlyDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 3, true)
		defer z.close()
		const peers = 2
		z.start(t, 6, true, []string{address(2)})
		time.Sleep(5 * time.Second)
		g.Expect(z.network.Dials(address(2))).To(Equal(peers))
		z.store.setUnavailable(allVMs, true)
		z.start(t, 7, true, []string{address(2)})
		time.Sleep(5 * time.Second)
		g.Expect(z.network.Dials(address(2))).To(Equal(peers + 1))
	})
}

// TestHighCapacityVMIsReaderAndCoordinator covers a zone with one high-capacity VM:
// this VM has to be the zone's reader and the coordinator of every service.
func TestHighCapacityVMIsReaderAndCoordinator(t *testing.T) {
	const highCapacity = 3
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 6, false)
		defer z.close()
		var listed []platform.VM
		for i, v := range z.vms {
			vm := platform.VM{Name: v.name, Zone: "z", Address: address(i), Capacity: 0.16}
			if i == highCapacity {
				vm.Capacity = 0.8
			}
			listed = append(listed, vm)
		}
		for _, v := range z.vms {
			v.mesh.MergeVMs(listed)
		}
		time.Sleep(3 * time.Second)
		g.Expect(z.reader(g).name).To(Equal(z.vms[highCapacity].name))
		for i, v := range z.vms {
			coordinator, isOther := v.mesh.Coordinator("service", func(string) bool { return false })
			g.Expect(isOther).To(Equal(i != highCapacity))
			if isOther {
				g.Expect(coordinator.Name).To(Equal(z.vms[highCapacity].name))
			}
		}
	})
}
