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

// store is a record set whose calls are counted and can be made to fail.
type store struct {
	mu      sync.Mutex
	version uint64
	changed chan struct{}
	calls   int
	away    map[string]bool
}

func newStore() *store {
	return &store{changed: make(chan struct{}), away: make(map[string]bool)}
}

// change makes a new version.
func (s *store) change() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// setAway lets the calls of a VM fail; every is the name for all VMs.
func (s *store) setAway(vm string, isAway bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[vm] = isAway
}

const every = "every"

func (s *store) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = 0
	return calls
}

// records are the store as one VM reaches it.
type records struct {
	store *store
	vm    string
}

// callTime is how long a call of the store takes.
const callTime = 4 * time.Millisecond

func (r records) call() (uint64, <-chan struct{}, error) {
	time.Sleep(callTime)
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.calls++
	if r.store.away[r.vm] || r.store.away[every] {
		return 0, nil, platform.ErrUnavailable
	}
	return r.store.version, r.store.changed, nil
}

// Read returns the version.
func (r records) Read(context.Context) (platform.Snapshot, error) {
	version, _, err := r.call()
	return platform.Snapshot{Version: version}, err
}

// Wait returns the version once it is above after.
func (r records) Wait(ctx context.Context, after uint64, limit time.Duration) (platform.Changes, error) {
	version, changed, err := r.call()
	if err != nil || version > after {
		return platform.Changes{Version: version}, err
	}
	select {
	case <-changed:
	case <-time.After(limit):
	case <-ctx.Done():
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.store.away[r.vm] || r.store.away[every] {
		return platform.Changes{}, platform.ErrUnavailable
	}
	return platform.Changes{Version: r.store.version}, nil
}

// zone is the VMs of one zone.
type zone struct {
	network *pipenet.Network
	store   *store
	vms     []*vm
}

// vm is one VM that follows a record set.
type vm struct {
	name   string
	mesh   *mesh.Mesh
	cancel context.CancelFunc

	mu      sync.Mutex
	version uint64
	seenAt  time.Time
}

func (v *vm) seen() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

func newZone(t *testing.T, count int, isFed bool) *zone {
	t.Helper()
	z := &zone{network: pipenet.New(), store: newStore()}
	z.store.change()
	for i := range count {
		z.start(t, i, isFed, nil)
	}
	z.list()
	time.Sleep(3 * time.Second)
	z.store.takeCalls()
	return z
}

// start runs a VM that does not know the others yet.
func (z *zone) start(t *testing.T, i int, isFed bool, seeds []string) *vm {
	t.Helper()
	v := &vm{name: fmt.Sprintf("vm-%d", i)}
	m, err := mesh.New(mesh.Options{
		VM: v.name, Zone: "z", Address: address(i), Seeds: seeds, Count: func(int) {},
		Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(), Dialer: dialer{z.network},
	})
	if err != nil {
		t.Fatal(err)
	}
	v.mesh = m
	options := mesh.RecordOptions{Interval: 700 * time.Millisecond, Feed: isFed, Staleness: 1100 * time.Millisecond}
	set := m.Records("set", records{z.store, v.name}, options)
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	listener := z.network.Listen(address(i))
	go func() { _ = m.Run(ctx, listener) }()
	go v.follow(ctx, set)
	z.vms = append(z.vms, v)
	return v
}

// follow takes the readings of a record set.
func (v *vm) follow(ctx context.Context, set *mesh.RecordSet) {
	for ctx.Err() == nil {
		snapshot, err := set.Next(ctx)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		v.mu.Lock()
		if snapshot.Version > v.version {
			v.seenAt = time.Now()
		}
		v.version = max(v.version, snapshot.Version)
		v.mu.Unlock()
	}
}

// list tells every VM of all VMs.
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

// reader returns the VM that reads the store.
func (z *zone) reader(g *WithT) *vm {
	var readers []*vm
	for _, v := range z.vms {
		if v.mesh.IsReader() {
			readers = append(readers, v)
		}
	}
	g.Expect(readers).To(HaveLen(1), "one VM reads for the zone")
	return readers[0]
}

// dialer dials in a Network.
type dialer struct{ network *pipenet.Network }

// DialContext opens a connection.
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
		g.Expect(z.store.takeCalls()).To(BeNumerically("<=", 18), "one VM at one reading every 700 ms")
		for _, v := range z.vms {
			g.Expect(v.seen()).To(Equal(version), v.name)
		}
	})
}

// changeBound is the time within which a change has to be known everywhere.
const changeBound = 2 * time.Second

// TestChangeIsKnownInTimeWhateverHappensToTheReader lets the zone's reader end,
// fall silent to its neighbours or lose the store at the moment of a change.
func TestChangeIsKnownInTimeWhateverHappensToTheReader(t *testing.T) {
	trouble := map[string]func(z *zone, reader *vm){
		"nothing":       func(*zone, *vm) {},
		"reader ends":   func(_ *zone, reader *vm) { reader.cancel() },
		"store refuses": func(z *zone, reader *vm) { z.store.setAway(reader.name, true) },
		"reader leaves": func(_ *zone, reader *vm) { reader.mesh.Leave() },
	}
	for _, isFed := range []bool{false, true} {
		for name, strike := range trouble {
			t.Run(fmt.Sprintf("%s fed %t", name, isFed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					z := newZone(t, 5, isFed)
					defer z.close()
					reader := z.reader(g)
					strike(z, reader)
					changed := time.Now()
					version := z.store.change()
					time.Sleep(changeBound)
					for _, v := range z.vms {
						if v == reader && name == "reader ends" {
							continue
						}
						g.Expect(v.seen()).To(Equal(version), v.name)
						g.Expect(v.seenAt.Sub(changed)).To(BeNumerically("<", changeBound), v.name)
					}
				})
			})
		}
	}
}

// TestStoreThatIsAwayAndComesBack covers an outage for all VMs.
func TestStoreThatIsAwayAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 4, true)
		defer z.close()
		z.store.setAway(every, true)
		version := z.store.change()
		time.Sleep(10 * time.Second)
		z.store.setAway(every, false)
		time.Sleep(changeBound)
		for _, v := range z.vms {
			g.Expect(v.seen()).To(Equal(version), v.name)
		}
	})
}

// TestVMThatStartsWithoutTheStoreAsksItsSeeds covers a restart in an outage; the
// first seed is gone.
func TestVMThatStartsWithoutTheStoreAsksItsSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 3, true)
		defer z.close()
		z.store.setAway(every, true)
		late := z.start(t, 7, true, []string{"10.0.9.9:1", address(2)})
		time.Sleep(time.Second)
		g.Expect(late.seen()).To(Equal(z.vms[0].seen()))
		alone := z.start(t, 8, true, nil)
		time.Sleep(time.Second)
		g.Expect(alone.seen()).To(BeZero(), "without seeds it knows nothing")
	})
}

// TestSeedIsLeftAlone covers a VM that starts while the store answers, and one
// that starts in an outage: the first asks no seed, the second asks it once.
func TestSeedIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 3, true)
		defer z.close()
		const neighbours = 2
		z.start(t, 6, true, []string{address(2)})
		time.Sleep(5 * time.Second)
		g.Expect(z.network.Dials(address(2))).To(Equal(neighbours))
		z.store.setAway(every, true)
		z.start(t, 7, true, []string{address(2)})
		time.Sleep(5 * time.Second)
		g.Expect(z.network.Dials(address(2))).To(Equal(neighbours + 1))
	})
}

// TestWeakVMsReadForNobody covers a zone of which one VM is strong: it reads for
// the others and places their calls.
func TestWeakVMsReadForNobody(t *testing.T) {
	const strong = 3
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 6, false)
		defer z.close()
		var listed []platform.VM
		for i, v := range z.vms {
			vm := platform.VM{Name: v.name, Zone: "z", Address: address(i), Capacity: 0.16}
			if i == strong {
				vm.Capacity = 0.8
			}
			listed = append(listed, vm)
		}
		for _, v := range z.vms {
			v.mesh.MergeVMs(listed)
		}
		time.Sleep(3 * time.Second)
		g.Expect(z.reader(g).name).To(Equal(z.vms[strong].name))
		for i, v := range z.vms {
			inCharge, isOther := v.mesh.InCharge("service", func(string) bool { return false })
			g.Expect(isOther).To(Equal(i != strong))
			if isOther {
				g.Expect(inCharge.Name).To(Equal(z.vms[strong].name))
			}
		}
	})
}
