package follow_test

import (
	"context"
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

// inEra returns a snapshot of an era of the store.
func inEra(era platform.Era, version uint64, rows ...platform.Row) step {
	return step{snapshot: platform.Snapshot{Position: platform.Position{Era: era, Version: version}, Rows: rows}}
}

// TestConfigurationWrittenAgainWithALowerVersionIsApplied covers an old, a missing and an unreadable row.
func TestConfigurationWrittenAgainWithALowerVersionIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var applied []uint64
		f := &follow.ConfigFollower{
			Source: &scriptedSource{steps: []step{
				inEra(1, 90, row("config", 90, "4")),
				inEra(2, 40, row("config", 40, "3")),
				inEra(2, 41, row("config", 41, "5")),
				inEra(3, 30),
				inEra(3, 41, row("config", 41, "bad")),
				inEra(3, 42, row("config", 42, "6")),
			}},
			Key: "config", Decode: decode, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
			Apply: func(c site.Config) bool {
				isNewer := len(applied) == 0 || c.Version > applied[len(applied)-1]
				if isNewer {
					applied = append(applied, c.Version)
				}
				return isNewer
			},
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(applied).To(Equal([]uint64{4, 5, 6}))
	})
}

// TestEntryWithAVersionAssignedTwiceIsDecodedAgain guards against cached content.
func TestEntryWithAVersionAssignedTwiceIsDecodedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var seen []site.Upstream
		f := &follow.UpstreamFollower{
			Source: &scriptedSource{steps: []step{inEra(1, 7, row("a", 7, "old")), inEra(2, 7, row("a", 7, "new"))}},
			Decode: func(name string, value []byte) (site.Upstream, error) {
				return site.Upstream{Name: name, Service: string(value)}, nil
			},
			Apply:             func(upstreams []site.Upstream) { seen = upstreams },
			HeartbeatInterval: time.Minute, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(seen).To(ConsistOf(site.Upstream{Name: "a", Service: "new"}))
	})
}

// TestVMWritesItsEntryAgainAfterTheStoreLostIt covers a missing and an old entry and lost writes.
func TestVMWritesItsEntryAgainAfterTheStoreLostIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var writes []int
		steps := []step{
			inEra(1, 9, row("me", 9, "me")), inEra(2, 4), inEra(2, 5), inEra(2, 6, row("me", 6, "me")),
			inEra(3, 4, row("me", 4, "me at an old address")), inEra(3, 5, row("me", 5, "me")),
		}
		source := &scriptedSource{steps: steps}
		f := &follow.VMFollower{
			Source: source,
			Self:   platform.VM{Name: "me"},
			Announce: func(context.Context, platform.VM) error {
				writes = append(writes, source.calls)
				return errors.New("lost")
			},
			Decode: func(_ string, value []byte) (platform.VM, error) { return platform.VM{Name: string(value)}, nil },
			Apply:  func([]platform.VM) {}, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(writes).To(Equal([]int{0, 2, 3, 5}), "at the start and after each snapshot without the entry")
	})
}
