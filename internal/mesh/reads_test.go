package mesh_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/mesh"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// retryInterval is the time between overlapping reads in these tests.
const retryInterval = 300 * time.Millisecond

// hangingRecords is a record set whose reads hang until their context ends or the store is
// back. Reads that began before do not get a response.
type hangingRecords struct {
	mu       sync.Mutex
	isBack   bool
	beganAt  []time.Time
	timeout  time.Duration
	position platform.Position
}

// Read hangs, or returns a snapshot.
func (h *hangingRecords) Read(ctx context.Context) (platform.Snapshot, error) {
	h.mu.Lock()
	isBack := h.isBack
	h.beganAt = append(h.beganAt, time.Now())
	h.mu.Unlock()
	if isBack {
		time.Sleep(callDuration)
		return platform.Snapshot{Position: h.position}, nil
	}
	select {
	case <-time.After(h.timeout):
		return platform.Snapshot{}, platform.ErrUncertain
	case <-ctx.Done():
		return platform.Snapshot{}, ctx.Err()
	}
}

// Wait is not used.
func (h *hangingRecords) Wait(context.Context, platform.Position, time.Duration) (platform.Changes, error) {
	return platform.Changes{}, platform.ErrHistoryGone
}

// loneSet returns the record set of a VM without peers.
func loneSet(t *testing.T, records platform.Records) *mesh.RecordSet {
	t.Helper()
	m, err := mesh.New(mesh.Options{
		VM: "vm", Zone: "z", Address: address(0), OnLiveVMs: func(int) {}, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return m.AddRecordSet("set", records, mesh.RecordOptions{
		Interval: 950 * time.Millisecond, Staleness: 1400 * time.Millisecond, RetryInterval: retryInterval,
	})
}

// TestReadsThatHangDoNotDelayTheFirstOneThatIsAnswered guards against a store whose return is
// noticed only after a read that began before it has failed.
func TestReadsThatHangDoNotDelayTheFirstOneThatIsAnswered(t *testing.T) {
	for _, away := range []time.Duration{100 * time.Millisecond, 750 * time.Millisecond, 2 * time.Second, 5050 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			records := &hangingRecords{timeout: 800 * time.Millisecond, position: platform.Position{Version: 1}}
			set := loneSet(t, records)
			var back time.Time
			time.AfterFunc(away, func() {
				records.mu.Lock()
				defer records.mu.Unlock()
				records.isBack, back = true, time.Now()
			})
			for {
				_, err := set.Next(t.Context())
				if err == nil {
					break
				}
				set.Pause(t.Context(), 800*time.Millisecond)
			}
			g.Expect(time.Since(back)).To(BeNumerically("<=", retryInterval*115/100+callDuration), "away for %v", away)
			for i := 1; i < len(records.beganAt); i++ {
				g.Expect(records.beganAt[i].Sub(records.beganAt[i-1])).To(BeNumerically(">=", retryInterval*85/100), "reads stay rare")
			}
			time.Sleep(time.Minute)
		})
	}
}

// TestSnapshotOfAPeerIsUsedWhileOwnReadsFail guards against a VM that waits for its next try.
func TestSnapshotOfAPeerIsUsedWhileOwnReadsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 3, false)
		defer z.close()
		for _, v := range z.vms {
			z.store.setUnavailable(v.name, true)
		}
		time.Sleep(5 * time.Second)
		version := z.store.change()
		z.store.setUnavailable(z.vms[1].name, false)
		g.Eventually(z.vms[1].currentVersion).WithPolling(time.Millisecond).Should(Equal(version))
		time.Sleep(50 * time.Millisecond)
		g.Expect(z.vms[0].currentVersion()).To(Equal(version))
		g.Expect(z.vms[2].currentVersion()).To(Equal(version))
	})
}

// TestScheduledReadIsTakenOverFromAReaderThatDoesNotDeliver guards against a decision that
// waits for a reader that has ended.
func TestScheduledReadIsTakenOverFromAReaderThatDoesNotDeliver(t *testing.T) {
	for _, hasEnded := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			z := newZone(t, 3, false)
			defer z.close()
			reader := z.reader(g)
			at := time.Now().Add(50 * time.Millisecond)
			for _, v := range z.vms {
				v.set.ReadAt(at)
			}
			version := z.store.change()
			if hasEnded {
				reader.cancel()
			}
			time.Sleep(50*time.Millisecond + mesh.TakeoverDelay + 2*callDuration + 100*time.Millisecond)
			for _, v := range z.vms {
				if v != reader || !hasEnded {
					g.Expect(v.currentVersion()).To(Equal(version), "%s, reader has ended: %t", v.name, hasEnded)
				}
			}
			g.Expect(z.store.resetCalls()).To(BeNumerically("<=", 4), "each VM reads once, the reader perhaps at its interval too")
		})
	}
}

// TestReadThatBeganBeforeTheLatestSnapshotIsNoFailureAfterIt guards against an outage that is
// taken for another one because a read of before its end fails later.
func TestReadThatBeganBeforeTheLatestSnapshotIsNoFailureAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		z := newZone(t, 3, false)
		defer z.close()
		for _, v := range z.vms {
			z.store.setHanging(v.name, true)
		}
		time.Sleep(5 * time.Second)
		version := z.store.change()
		z.store.setHanging(z.vms[1].name, false)
		g.Eventually(z.vms[1].currentVersion).WithPolling(time.Millisecond).Should(Equal(version))
		time.Sleep(50 * time.Millisecond)
		back := time.Now()
		time.Sleep(2 * hangTime)
		for _, v := range z.vms {
			g.Expect(v.currentVersion()).To(Equal(version), v.name)
			g.Expect(v.failedAt.Before(back)).To(BeTrue(), "%s failed %v after the snapshot", v.name, v.failedAt.Sub(back))
		}
	})
}
