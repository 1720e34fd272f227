package suspectstore_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/suspectstore"
	"github.com/figfront/figfront/internal/telemetry"
)

// rows is a store in memory.
type rows struct {
	mu     sync.Mutex
	values map[string][]byte
	// err is the result of all calls; isLost means that they take effect nevertheless.
	err    error
	isLost bool
	calls  int
	// panics is the number of next writes that panic.
	panics int
}

func (r *rows) write(_ context.Context, writes []platform.Row, deletions []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.panics > 0 {
		r.panics--
		panic("write")
	}
	if r.err != nil && !r.isLost {
		return r.err
	}
	for _, row := range writes {
		r.values[row.Key] = row.Value
	}
	for _, key := range deletions {
		delete(r.values, key)
	}
	return r.err
}

func (r *rows) insert(_ context.Context, row platform.Row) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.err != nil && !r.isLost {
		return r.err
	}
	if _, ok := r.values[row.Key]; ok {
		return platform.ErrConflict
	}
	r.values[row.Key] = row.Value
	return r.err
}

func (r *rows) fail(err error, isLost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err, r.isLost = err, isLost
}

func (r *rows) snapshot(era platform.Era) platform.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := platform.Snapshot{Position: platform.Position{Era: era}}
	for key, value := range r.values {
		snapshot.Rows = append(snapshot.Rows, platform.Row{Key: key, Value: value})
	}
	return snapshot
}

// put writes a row.
func (r *rows) put(key string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[key] = value
}

// lose deletes all rows.
func (r *rows) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.values)
}

// callCount returns the number of calls so far.
func (r *rows) callCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

func (r *rows) keys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key := range r.values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// book is a suspectstore.Book with a table of its own.
type book struct {
	mu sync.Mutex
	*quarantine.Table
}

func (b *book) TakeSuspectChanges() quarantine.Changes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.TakeChanges(1, 100)
}

func (b *book) RetakeSuspectChanges(c quarantine.Changes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Retake(c)
}

func (b *book) WantedTrials() []quarantine.Trial {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Table.WantedTrials()
}

func (b *book) TrialReserved(trial quarantine.Trial, isOwn bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Table.TrialReserved(time.Now(), trial, isOwn)
}

func (b *book) ApplyStoredSuspects(records []quarantine.Record, isStoreOlder bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ApplyStored(time.Now(), records, isStoreOlder)
}

func (b *book) admit() quarantine.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Admit(time.Now(), deadly(), quarantine.First, true)
}

func deadly() quarantine.Identity {
	return quarantine.NewHasher(quarantine.Head{Path: "/deadly"}).Identity()
}

// hold makes the request end upstreams until it is held.
func (b *book) hold() {
	for i := range quarantine.MaxEnded {
		b.mu.Lock()
		sent := b.Sent(time.Now(), deadly(), fmt.Sprint("u", i))
		b.mu.Unlock()
		time.Sleep(time.Millisecond)
		b.mu.Lock()
		b.Done(time.Now(), sent, quarantine.ResultEnded)
		b.mu.Unlock()
	}
}

// vm is a VM with the books of one service.
type vm struct {
	book     *book
	store    *suspectstore.Store
	counters *telemetry.Counters
}

func newVM(ctx context.Context, name string, r *rows) *vm {
	v := &vm{book: &book{}, counters: telemetry.NewCounters()}
	v.store = suspectstore.New(suspectstore.Options{
		VM: name, Write: r.write, Insert: r.insert, Log: hclog.NewNullLogger(), Counters: v.counters,
		Books: func() map[string]suspectstore.Book { return map[string]suspectstore.Book{"web": v.book} },
	})
	v.book.Table = quarantine.NewTable(func(quarantine.Event) { v.store.Wake() })
	go func() { _ = v.store.Run(ctx) }()
	return v
}

// withVMs runs a test with two VMs and a store.
func withVMs(t *testing.T, run func(g *WithT, r *rows, a, b *vm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &rows{values: make(map[string][]byte)}
		run(NewWithT(t), r, newVM(ctx, "a", r), newVM(ctx, "b", r))
		cancel()
		time.Sleep(time.Minute)
	})
}

func TestHeldRequestReachesOtherVMsThroughTheStore(t *testing.T) {
	withVMs(t, func(g *WithT, r *rows, a, b *vm) {
		a.book.hold()
		time.Sleep(300 * time.Millisecond)
		b.store.Apply(r.snapshot(1))
		g.Expect(b.book.admit()).To(Equal(quarantine.RefuseHeld))
	})
}

func TestServiceThatIsNewAfterTheSnapshotGetsItsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := &rows{values: make(map[string][]byte)}
		ctx, cancel := context.WithCancel(context.Background())
		newVM(ctx, "a", r).book.hold()
		time.Sleep(time.Second)
		cancel()
		books := map[string]suspectstore.Book{}
		late := suspectstore.New(suspectstore.Options{
			Books: func() map[string]suspectstore.Book { return books }, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
		})
		late.Apply(r.snapshot(1))
		added := &book{Table: quarantine.NewTable(nil)}
		books["web"] = added
		late.Refresh()
		g.Expect(added.admit()).To(Equal(quarantine.RefuseHeld))
		time.Sleep(time.Minute)
	})
}

func TestChangesWhoseWritePanickedAreWrittenLater(t *testing.T) {
	withVMs(t, func(g *WithT, r *rows, a, _ *vm) {
		r.panics = 2
		a.book.hold()
		time.Sleep(10 * time.Second)
		g.Expect(r.keys()).To(HaveLen(2))
		g.Expect(a.counters.Get(telemetry.GroupPanics, "suspects")).To(Equal(int64(2)))
	})
}

func TestChangesThatCouldNotBeWrittenAreWrittenLater(t *testing.T) {
	withVMs(t, func(g *WithT, r *rows, a, _ *vm) {
		r.fail(platform.ErrUnavailable, false)
		a.book.hold()
		time.Sleep(30 * time.Second)
		g.Expect(r.keys()).To(BeEmpty())
		g.Expect(r.callCount()).To(BeNumerically("<", 20), "calls in 30 s to a store that is down")
		r.fail(nil, false)
		time.Sleep(10 * time.Second)
		g.Expect(r.keys()).To(HaveLen(2))
	})
}

func TestRowsThatTheStoreLostAreWrittenAgain(t *testing.T) {
	withVMs(t, func(g *WithT, r *rows, a, _ *vm) {
		a.book.hold()
		time.Sleep(time.Second)
		a.store.Apply(r.snapshot(1))
		r.lose()
		a.store.Apply(r.snapshot(2))
		time.Sleep(time.Second)
		g.Expect(r.keys()).To(HaveLen(2))
	})
}

// wantTrial lets the time of the first trial come and sends the request to both VMs.
func wantTrial(r *rows, a, b *vm) {
	a.book.hold()
	time.Sleep(time.Second)
	b.store.Apply(r.snapshot(1))
	time.Sleep(11 * time.Minute)
	a.book.admit()
	b.book.admit()
	time.Sleep(10 * time.Second)
}

func TestTrialIsMadeByOneVMOnly(t *testing.T) {
	withVMs(t, func(g *WithT, r *rows, a, b *vm) {
		wantTrial(r, a, b)
		g.Expect([]quarantine.Verdict{a.book.admit(), b.book.admit()}).To(ConsistOf(quarantine.Allow, quarantine.RefuseHeld))
	})
}

func TestTrialWhoseReservationIsNotAnsweredIsNotMadeTwice(t *testing.T) {
	withVMs(t, func(g *WithT, r *rows, a, b *vm) {
		a.book.hold()
		time.Sleep(time.Second)
		b.store.Apply(r.snapshot(1))
		time.Sleep(11 * time.Minute)
		r.fail(platform.ErrUncertain, true)
		a.book.admit()
		time.Sleep(10 * time.Second)
		r.fail(nil, false)
		b.book.admit()
		time.Sleep(time.Minute)
		g.Expect([]quarantine.Verdict{a.book.admit(), b.book.admit()}).NotTo(ContainElement(quarantine.Allow))
	})
}

func TestClearedRequestLeavesNoRowsBehind(t *testing.T) {
	withVMs(t, func(g *WithT, r *rows, a, b *vm) {
		wantTrial(r, a, b)
		a.book.mu.Lock()
		a.book.Clear(time.Now(), deadly().Exact)
		a.book.Clear(time.Now(), deadly().AnyCaller)
		a.book.mu.Unlock()
		time.Sleep(time.Second)
		g.Expect(r.keys()).To(BeEmpty())
		b.store.Apply(r.snapshot(1))
		g.Expect(b.book.admit()).To(Equal(quarantine.Allow))
	})
}

func TestMalformedRowsAreLeftOut(t *testing.T) {
	withVMs(t, func(g *WithT, r *rows, a, b *vm) {
		a.book.hold()
		time.Sleep(time.Second)
		for i, key := range []string{"", "web", "web/", "web/xyz", "/" + deadly().Exact.String(), "other/" + deadly().Exact.String()} {
			r.put(key, []byte{byte(i)})
		}
		b.store.Apply(r.snapshot(1))
		g.Expect(b.book.admit()).To(Equal(quarantine.RefuseHeld))
		g.Expect(b.counters.Get(telemetry.GroupQuarantine, "rows_malformed")).To(BeEquivalentTo(6))
	})
}
