package follow_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/follow"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

// step is the result of one read: a snapshot or an error.
type step struct {
	snapshot platform.Snapshot
	err      error
}

// scriptedSource returns one step per second and then blocks until its context ends.
type scriptedSource struct {
	steps []step
	calls int
}

// Next returns the next step.
func (s *scriptedSource) Next(ctx context.Context) (platform.Snapshot, error) {
	s.calls++
	if len(s.steps) == 0 {
		<-ctx.Done()
		return platform.Snapshot{}, ctx.Err()
	}
	time.Sleep(time.Second)
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next.snapshot, next.err
}

// Pause waits for d.
func (s *scriptedSource) Pause(ctx context.Context, d time.Duration) { wait.For(ctx, d) }

// ReadAt does nothing: the script tells when snapshots are read.
func (s *scriptedSource) ReadAt(time.Time) {}

// Retain does nothing: there are no other VMs.
func (s *scriptedSource) Retain(platform.Snapshot) {}

// Retained returns nothing.
func (s *scriptedSource) Retained() platform.Snapshot { return platform.Snapshot{} }

func row(key string, version uint64, value string) platform.Row {
	return platform.Row{Key: key, Version: version, Value: []byte(value)}
}

func snapshot(version uint64, rows ...platform.Row) step {
	return step{snapshot: platform.Snapshot{Position: platform.Position{Version: version}, Rows: rows}}
}

var errStore = errors.New("store unavailable")

// decode decodes a one-digit configuration version; "bad" is malformed.
func decode(value []byte) (site.Config, error) {
	if string(value) == "bad" {
		return site.Config{}, errors.New("not readable")
	}
	return site.Config{Version: uint64(value[0] - '0')}, nil
}

func TestUnreadableConfigurationLeavesTheOneInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &scriptedSource{steps: []step{
			snapshot(1, row("config", 1, "3"), row("other", 1, "9")),
			{err: errStore},
			snapshot(2, row("config", 2, "bad")),
			snapshot(3, row("config", 2, "bad")),
			snapshot(4, row("config", 4, "5")),
		}}
		counters := telemetry.NewCounters()
		var applied []uint64
		f := &follow.ConfigFollower{
			Source: source, Key: "config", Decode: decode, Log: hclog.NewNullLogger(), Counters: counters,
			Apply: func(c site.Config) bool { applied = append(applied, c.Version); return true },
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(applied).To(Equal([]uint64{3, 5}))
		g.Expect(counters.Get(telemetry.GroupConfig, "unreadable")).To(Equal(int64(1)), "each malformed version is counted once")
	})
}

func TestFailedReadsAreThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &failingSource{}
		f := &follow.ConfigFollower{
			Source: source, Decode: decode, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
			Apply: func(site.Config) bool { return true },
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(source.calls).To(BeNumerically("<", 20), "failed calls to the store also cost, so they are throttled")
		g.Expect(source.calls).To(BeNumerically(">", 8), "the store's recovery is noticed within a second")
	})
}

// failingSource fails every read immediately.
type failingSource struct{ calls int }

// Next returns errStore.
func (f *failingSource) Next(context.Context) (platform.Snapshot, error) {
	f.calls++
	return platform.Snapshot{}, errStore
}

// Pause waits for d.
func (f *failingSource) Pause(ctx context.Context, d time.Duration) { wait.For(ctx, d) }

func TestMalformedEntryLeavesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var seen []site.Upstream
		counters := telemetry.NewCounters()
		f := &follow.UpstreamFollower{
			Source: &scriptedSource{steps: []step{snapshot(1, row("a", 1, "good"), row("b", 1, "bad"), row("c", 1, "good"))}},
			Decode: func(name string, value []byte) (site.Upstream, error) {
				if string(value) == "bad" {
					return site.Upstream{}, errors.New("not readable")
				}
				return site.Upstream{Name: name}, nil
			},
			Apply:             func(upstreams []site.Upstream) { seen = upstreams },
			HeartbeatInterval: time.Second, Log: hclog.NewNullLogger(), Counters: counters,
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(seen).To(ConsistOf(site.Upstream{Name: "a"}, site.Upstream{Name: "c"}))
		g.Expect(counters.Get(telemetry.GroupStore, "upstreams_malformed")).To(Equal(int64(1)))
	})
}

// TestVMAnnouncesItselfUntilItIsListed checks that a VM writes its entry again after
// the write failed and after the entry has disappeared from the list.
func TestVMAnnouncesItselfUntilItIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		announced := 0
		f := &follow.VMFollower{
			Source: &scriptedSource{steps: []step{snapshot(1), snapshot(2, row("me", 2, "me")), snapshot(3)}},
			Self:   platform.VM{Name: "me"},
			Announce: func(context.Context, platform.VM) error {
				announced++
				return errStore
			},
			Decode: func(_ string, value []byte) (platform.VM, error) { return platform.VM{Name: string(value)}, nil },
			Apply:  func([]platform.VM) {}, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(announced).To(Equal(3), "at the start and after each snapshot without the entry")
	})
}

// TestConfigAgeCountsFromTheStoreTime covers a VM that receives one change 40 ms and
// another one 340 ms after the store stamped it. The histogram has to hold these ages
// and must not count the configuration read at the start.
func TestConfigAgeCountsFromTheStoreTime(t *testing.T) {
	const storeTime, usualDelay, longDelay = 500 * time.Second, 40 * time.Millisecond, 340 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		counters := telemetry.NewCounters()
		start := time.Now()
		snapshotAfter := func(seconds int, delay time.Duration, version uint64, value string) step {
			stampedAt := storeTime + time.Duration(seconds)*time.Second - delay
			return step{snapshot: platform.Snapshot{
				Position: platform.Position{Version: version}, StoreTime: stampedAt, Rows: []platform.Row{row("config", version, value)},
			}}
		}
		f := &follow.ConfigFollower{
			Source: &scriptedSource{steps: []step{
				snapshotAfter(1, 0, 1, "1"), snapshotAfter(2, usualDelay, 2, "2"), snapshotAfter(3, longDelay, 3, "3"),
			}},
			Key: "config", Decode: decode, Log: hclog.NewNullLogger(), Counters: counters,
			Apply: func(site.Config) bool { return true }, Clock: &follow.StoreClock{},
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(time.Since(start)).To(Equal(10 * time.Second))
		var vars struct {
			Latencies map[string]struct {
				Count int64 `json:"count"`
				P50Us int64 `json:"p50_us"`
				MaxUs int64 `json:"max_us"`
			} `json:"latencies"`
		}
		g.Expect(json.Unmarshal([]byte(counters.String()), &vars)).To(Succeed())
		age := vars.Latencies[telemetry.HistogramConfigAge]
		g.Expect(age.Count).To(Equal(int64(2)), "the first configuration does not count as a change")
		g.Expect(age.P50Us).To(BeNumerically("~", usualDelay.Microseconds(), usualDelay.Microseconds()/50))
		g.Expect(age.MaxUs).To(BeNumerically("~", longDelay.Microseconds(), longDelay.Microseconds()/50))
	})
}

// TestEntryIsDroppedWithHeartbeatsShorterThanReads guards against upstreams kept for good.
func TestEntryIsDroppedWithHeartbeatsShorterThanReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		steps := []step{snapshot(1, row("a", 1, "good"))}
		for version := range uint64(9) {
			steps = append(steps, snapshot(version+2))
		}
		var seen []site.Upstream
		f := &follow.UpstreamFollower{
			Source:            &scriptedSource{steps: steps},
			Decode:            func(name string, _ []byte) (site.Upstream, error) { return site.Upstream{Name: name}, nil },
			Apply:             func(upstreams []site.Upstream) { seen = upstreams },
			HeartbeatInterval: 500 * time.Millisecond, ReadInterval: time.Second,
			Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(seen).To(BeEmpty())
	})
}
