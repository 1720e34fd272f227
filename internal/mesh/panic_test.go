package mesh_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/mesh"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// panickingRecords panics in reads while isPanicking is set.
type panickingRecords struct {
	records
	isPanicking *atomic.Bool
}

func (r panickingRecords) Read(ctx context.Context) (platform.Snapshot, error) {
	if r.isPanicking.Load() {
		panic("read")
	}
	snapshot, err := r.records.Read(ctx)
	snapshot.Rows = []platform.Row{{Key: "row", Version: snapshot.Version, Value: []byte(fmt.Sprint(snapshot.Version))}}
	return snapshot, err
}

// TestPanicOfAReadOrAMessageEndsNoFollowing has a VM whose reads of the store panic for a while, or
// whose handling of the snapshots that the zone's reader sends does.
func TestPanicOfAReadOrAMessageEndsNoFollowing(t *testing.T) {
	for _, edge := range []string{"read", "message"} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			z := &zone{network: pipenet.New(), store: newStore()}
			z.store.change()
			var panicsInRead, panicsInMessage atomic.Bool
			counters := telemetry.NewCounters()
			for i := range 2 {
				z.startPanicking(t, i, counters, &panicsInRead, &panicsInMessage)
			}
			z.list()
			time.Sleep(3 * time.Second)
			panicsInRead.Store(edge == "read")
			panicsInMessage.Store(edge == "message")
			z.store.change()
			time.Sleep(3 * time.Second)
			panicsInRead.Store(false)
			panicsInMessage.Store(false)
			version := z.store.change()
			time.Sleep(3 * time.Second)
			for _, v := range z.vms {
				g.Expect(v.currentVersion()).To(Equal(version), "%s %s", edge, v.name)
			}
			g.Expect(counters.Get(telemetry.GroupPanics, edge)).To(BeNumerically(">", 0), edge)
			z.close()
		})
	}
}

// startPanicking runs a VM whose reads and messages panic while the flags are set.
func (z *zone) startPanicking(t *testing.T, i int, counters *telemetry.Counters, inRead, inMessage *atomic.Bool) {
	t.Helper()
	v := &vm{name: fmt.Sprintf("vm-%d", i)}
	eras := new(platform.EraTracker)
	m, err := mesh.New(mesh.Options{
		VM: v.name, Zone: "z", Address: address(i), OnLiveVMs: func(int) {}, Eras: eras,
		Log: hclog.NewNullLogger(), Counters: counters, Dialer: dialer{z.network},
	})
	if err != nil {
		t.Fatal(err)
	}
	v.mesh = m
	v.set = m.AddRecordSet("set", panickingRecords{records{z.store, v.name, eras}, inRead}, mesh.RecordOptions{
		Interval: 700 * time.Millisecond, Staleness: 1100 * time.Millisecond, RetryInterval: retryInterval,
		ValueVersion: func(platform.Row) (uint64, bool) {
			if inMessage.Load() && !m.IsReader() {
				panic("message")
			}
			return 0, false
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	listener := z.network.Listen(address(i))
	go func() { _ = m.Run(ctx, listener) }()
	go func() {
		for ctx.Err() == nil {
			confine.Run(hclog.NewNullLogger(), counters, confine.Snapshot, func() { v.follow(ctx, v.set) })
		}
	}()
	z.vms = append(z.vms, v)
}
