package mesh

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// fixedRecords always returns the same snapshot or error.
type fixedRecords struct {
	snapshot platform.Snapshot
	err      error
}

// Read implements platform.Records.
func (r *fixedRecords) Read(context.Context) (platform.Snapshot, error) { return r.snapshot, r.err }

// Wait implements platform.Records.
func (r *fixedRecords) Wait(context.Context, platform.Position, time.Duration) (platform.Changes, error) {
	return platform.Changes{}, platform.ErrHistoryGone
}

func newRecordSet(g *WithT, records platform.Records) *RecordSet {
	return newLoggingRecordSet(g, records, hclog.NewNullLogger())
}

func newLoggingRecordSet(g *WithT, records platform.Records, log hclog.Logger) *RecordSet {
	m, err := New(Options{
		VM: "vm", Zone: "z", Address: "10.0.0.1:1", OnLiveVMs: func(int) {}, Log: log, Counters: telemetry.NewCounters(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	return m.AddRecordSet("set", records, RecordOptions{Interval: time.Second, LongPoll: true, Staleness: time.Second})
}

func at(era platform.Era, version uint64) platform.Snapshot {
	return platform.Snapshot{Position: platform.Position{Era: era, Version: version}}
}

// receive delivers a snapshot as another VM sends it.
func receive(g *WithT, s *RecordSet, snapshot platform.Snapshot) {
	encoded, err := encodeSnapshot(snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	payload, err := proto.Marshal(encoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.mesh.handleRecords(&api.Message{Key: s.name, Payload: payload})).To(Succeed())
}

// TestSnapshotOfAnEarlierEraIsIgnored covers late snapshots of peers.
func TestSnapshotOfAnEarlierEraIsIgnored(t *testing.T) {
	g := NewWithT(t)
	records := &fixedRecords{err: platform.ErrUnavailable}
	set := newRecordSet(g, records)
	receive(g, set, at(2, 5))
	receive(g, set, at(1, 90))
	g.Expect(set.newest).To(Equal(platform.Position{Era: 2, Version: 5}))
	_, err := set.fetch(context.Background())
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
	receive(g, set, at(1, 90))
	receive(g, set, at(2, 4))
	g.Expect(set.newest).To(Equal(platform.Position{Era: 2, Version: 5}))
}

// TestSnapshotWithoutAnEra covers snapshots of an older build.
func TestSnapshotWithoutAnEra(t *testing.T) {
	g := NewWithT(t)
	set := newRecordSet(g, &fixedRecords{})
	receive(g, set, at(0, 3))
	g.Expect(set.newest).To(Equal(platform.Position{Version: 3}), "no era is known")
	receive(g, set, at(4, 1))
	receive(g, set, at(0, 2))
	g.Expect(set.newest).To(Equal(platform.Position{Era: 4, Version: 2}), "it counts as one of the latest era")
	receive(g, set, at(5, 1))
	receive(g, set, at(0, 9))
	g.Expect(set.newest).To(Equal(platform.Position{Era: 5, Version: 1}), "after a rise it may be from before")
}

// TestStoreBehindTheNewestSnapshotIsAnError guards against reads without a pause.
func TestStoreBehindTheNewestSnapshotIsAnError(t *testing.T) {
	g := NewWithT(t)
	records := &fixedRecords{snapshot: at(1, 2)}
	set := newRecordSet(g, records)
	receive(g, set, at(1, 7))
	for range 2 {
		_, err := set.fetch(context.Background())
		g.Expect(err).To(MatchError(errOlderThanSeen))
	}
	records.snapshot = at(1, 7)
	g.Expect(set.fetch(context.Background())).To(Equal(at(1, 7)))
}

// TestRestoreIsLoggedOnceForEachSet reads one set from a peer and one from the store.
func TestRestoreIsLoggedOnceForEachSet(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	records := &fixedRecords{snapshot: at(1, 90)}
	set := newLoggingRecordSet(g, records, hclog.New(&hclog.LoggerOptions{Output: &out}))
	other := set.mesh.AddRecordSet("other", records, RecordOptions{Interval: time.Second, Staleness: time.Second})
	for _, s := range []*RecordSet{set, other} {
		_, err := s.fetch(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(out.String()).To(BeEmpty())
	records.snapshot = at(2, 40)
	for range 3 {
		receive(g, set, at(2, 40))
	}
	g.Expect(out.String()).NotTo(ContainSubstring("all record sets"))
	for range 3 {
		_, err := other.fetch(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(strings.Count(out.String(), "record set read again: set=set source=peer era_from=1 era=2 version_from=90 version=40")).To(Equal(1))
	g.Expect(strings.Count(out.String(), "record set read again: set=other source=store")).To(Equal(1))
	g.Expect(strings.Count(out.String(), "all record sets read again: era=2")).To(Equal(1))
}
