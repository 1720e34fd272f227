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
)

// step is one reading, or the failure of one.
type step struct {
	snapshot platform.Snapshot
	err      error
}

// script is a source that returns its steps one a second and then waits.
type script struct {
	steps []step
	asked int
}

// Next returns the next step.
func (s *script) Next(ctx context.Context) (platform.Snapshot, error) {
	s.asked++
	if len(s.steps) == 0 {
		<-ctx.Done()
		return platform.Snapshot{}, ctx.Err()
	}
	time.Sleep(time.Second)
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next.snapshot, next.err
}

func row(key string, version uint64, value string) platform.Row {
	return platform.Row{Key: key, Version: version, Value: []byte(value)}
}

func snapshot(version uint64, rows ...platform.Row) step {
	return step{snapshot: platform.Snapshot{Version: version, Rows: rows}}
}

var errStore = errors.New("store is away")

// decode reads a value as the number of a configuration; "bad" can't be read.
func decode(value []byte) (site.Config, error) {
	if string(value) == "bad" {
		return site.Config{}, errors.New("not readable")
	}
	return site.Config{Version: uint64(value[0] - '0')}, nil
}

func TestUnreadableConfigurationLeavesTheOneInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &script{steps: []step{
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
		g.Expect(counters.Get(telemetry.GroupConfig, "unreadable")).To(Equal(int64(1)), "each version is told once")
	})
}

func TestFailedReadingsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &failing{}
		f := &follow.ConfigFollower{
			Source: source, Decode: decode, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
			Apply: func(site.Config) bool { return true },
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(source.asked).To(BeNumerically("<", 20), "calls of a store that is away are paid for as well")
		g.Expect(source.asked).To(BeNumerically(">", 8), "its return is seen within a second")
	})
}

// failing is a source that always fails at once.
type failing struct{ asked int }

// Next fails.
func (f *failing) Next(context.Context) (platform.Snapshot, error) {
	f.asked++
	return platform.Snapshot{}, errStore
}

func TestMalformedEntryLeavesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var seen []site.Upstream
		counters := telemetry.NewCounters()
		f := &follow.UpstreamFollower{
			Source: &script{steps: []step{snapshot(1, row("a", 1, "good"), row("b", 1, "bad"), row("c", 1, "good"))}},
			Decode: func(name string, value []byte) (site.Upstream, error) {
				if string(value) == "bad" {
					return site.Upstream{}, errors.New("not readable")
				}
				return site.Upstream{Name: name}, nil
			},
			Apply:     func(upstreams []site.Upstream) { seen = upstreams },
			Heartbeat: time.Second, Log: hclog.NewNullLogger(), Counters: counters,
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(seen).To(ConsistOf(site.Upstream{Name: "a"}, site.Upstream{Name: "c"}))
		g.Expect(counters.Get(telemetry.GroupStore, "upstreams_malformed")).To(Equal(int64(1)))
	})
}

// TestVMAnnouncesItselfUntilItIsListed covers an announcement that fails and an
// entry that is lost later.
func TestVMAnnouncesItselfUntilItIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		announced := 0
		f := &follow.VMFollower{
			Source: &script{steps: []step{snapshot(1), snapshot(2, row("me", 2, "me")), snapshot(3)}},
			Self:   platform.VM{Name: "me"},
			Announce: func(context.Context, platform.VM) error {
				announced++
				return errStore
			},
			Decode: func(value []byte) (platform.VM, error) { return platform.VM{Name: string(value)}, nil },
			Apply:  func([]platform.VM) {}, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(announced).To(Equal(3), "at the start and after each reading without the entry")
	})
}

// TestAgeOfAChangeInForce plays a VM that hears changes from its zone's reader
// 40 ms after the store's answer, and one reading that took longer.
func TestAgeOfAChangeInForce(t *testing.T) {
	const clock, hop, slow = 500 * time.Second, 40 * time.Millisecond, 340 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		counters := telemetry.NewCounters()
		start := time.Now()
		reading := func(after int, delay time.Duration, version uint64, value string) step {
			stamped := clock + time.Duration(after)*time.Second - delay
			return step{snapshot: platform.Snapshot{
				Version: version, StoreTime: stamped, Rows: []platform.Row{row("config", version, value)},
			}}
		}
		f := &follow.ConfigFollower{
			Source: &script{steps: []step{
				reading(1, 0, 1, "1"), reading(2, hop, 2, "2"), reading(3, slow, 3, "3"),
			}},
			Key: "config", Decode: decode, Log: hclog.NewNullLogger(), Counters: counters,
			Apply: func(site.Config) bool { return true }, Clock: &follow.StoreClock{},
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(time.Since(start)).To(Equal(10 * time.Second))
		var page struct {
			Latencies map[string]struct {
				Count int64 `json:"count"`
				P50Us int64 `json:"p50_us"`
				MaxUs int64 `json:"max_us"`
			} `json:"latencies"`
		}
		g.Expect(json.Unmarshal([]byte(counters.String()), &page)).To(Succeed())
		age := page.Latencies[telemetry.HistogramConfigAge]
		g.Expect(age.Count).To(Equal(int64(2)), "the first configuration is no change")
		g.Expect(age.P50Us).To(BeNumerically("~", hop.Microseconds(), hop.Microseconds()/50))
		g.Expect(age.MaxUs).To(BeNumerically("~", slow.Microseconds(), slow.Microseconds()/50))
	})
}
