package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/follow"
	"github.com/figfront/figfront/internal/telemetry"
)

// TestPanicOfOneSnapshotEndsNoFollower has a row whose decoding panics, and one whose application
// does.
func TestPanicOfOneSnapshotEndsNoFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &scriptedSource{steps: []step{
			snapshot(1, row("config", 1, "3")), snapshot(2, row("config", 2, "")), snapshot(3, row("config", 3, "9")),
			snapshot(4, row("config", 4, "5")),
		}}
		counters := telemetry.NewCounters()
		var applied []uint64
		f := &follow.ConfigFollower{
			Source: source, Key: "config", Decode: decode, Log: hclog.NewNullLogger(), Counters: counters,
			Apply: func(c site.Config) bool {
				if c.Version == 9 {
					panic("apply")
				}
				applied = append(applied, c.Version)
				return true
			},
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(f.Run(ctx)).To(Succeed())
		g.Expect(applied).To(Equal([]uint64{3, 5}))
		g.Expect(counters.Get(telemetry.GroupPanics, "snapshot")).To(Equal(int64(2)))
	})
}
