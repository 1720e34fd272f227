package merge_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/spectest"
)

// The seed is fixed, so that every run checks the same cases; the flag -rapid.seed
// overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

func TestMerge(t *testing.T) {
	spectest.Run(t, "merge")
}

func config(team string, revision uint64) merge.Config {
	return merge.Config{
		Team: team, Revision: revision, ChangeID: fmt.Sprint(revision),
		Settings: fmt.Sprintf("settings %d", revision),
	}
}

var _ = Describe("a store", func() {
	DescribeTable("rejects an invalid configuration from a peer and stays unchanged",
		func(spoil func(c *merge.Config), want error) {
			s := merge.NewStore()
			s.Apply(config("team", 5))
			c := config("team", 6)
			spoil(&c)
			isNewer, err := s.ApplyFromPeer(c)
			Expect(err).To(MatchError(want))
			Expect(isNewer).To(BeFalse())
			Expect(s.All()).To(Equal([]merge.Config{config("team", 5)}))
		},
		Entry("no team", func(c *merge.Config) { c.Team = "" }, merge.ErrMalformed),
		Entry("an invalid team name", func(c *merge.Config) { c.Team = "../team" }, merge.ErrMalformed),
		Entry("no revision", func(c *merge.Config) { c.Revision = 0 }, merge.ErrMalformed),
		Entry("a revision above the maximum", func(c *merge.Config) { c.Revision = math.MaxUint64 }, merge.ErrMalformed),
		Entry("a revision too far above the active one", func(c *merge.Config) { c.Revision = 6 + merge.MaxRevisionJump }, merge.ErrRevisionJump),
		Entry("the active revision with another change id",
			func(c *merge.Config) { c.Revision, c.ChangeID = 5, "other" }, merge.ErrConflict),
		Entry("settings above the maximum size",
			func(c *merge.Config) { c.Settings = strings.Repeat("x", inifile.MaxBytes+1) }, merge.ErrMalformed),
		Entry("settings that are not UTF-8", func(c *merge.Config) { c.Settings = "\xff" }, merge.ErrMalformed),
		Entry("a change id above the maximum length",
			func(c *merge.Config) { c.ChangeID = strings.Repeat("x", 129) }, merge.ErrMalformed),
	)

	It("accepts any revision jump from the table", func() {
		s := merge.NewStore()
		s.Apply(config("team", 5))
		Expect(s.Apply(config("team", 6+merge.MaxRevisionJump))).To(BeTrue())
	})

	It("limits the number of teams that peers can add", func() {
		s := merge.NewStore()
		for i := range merge.MaxTeams {
			s.Apply(config(fmt.Sprintf("t%d", i), 1))
		}
		_, err := s.ApplyFromPeer(config("one-more", 1))
		Expect(err).To(MatchError(merge.ErrTooManyTeams))
	})

	It("reports by its digest which shards differ", func() {
		a, b := merge.NewStore(), merge.NewStore()
		a.Apply(config("t1", 1))
		Expect(a.Digest().DifferingShards(b.Digest())).To(ConsistOf(merge.ShardOf("t1")))
		b.Apply(config("t1", 2))
		Expect(a.Digest().DifferingShards(b.Digest())).To(ConsistOf(merge.ShardOf("t1")))
		a.Apply(config("t1", 2))
		Expect(a.Digest().DifferingShards(b.Digest())).To(BeEmpty())
	})
})

func TestStoresConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		teams := []string{"a", "b", "c"}
		sent := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) merge.Config {
			return config(rapid.SampledFrom(teams).Draw(t, "team"), rapid.Uint64Range(1, 30).Draw(t, "revision"))
		}), 1, 60).Draw(t, "sent")
		highest := make(map[string]uint64)
		for _, c := range sent {
			highest[c.Team] = max(highest[c.Team], c.Revision)
		}

		stores := []*merge.Store{merge.NewStore(), merge.NewStore()}
		for i, s := range stores {
			order := rapid.Permutation(slices.Concat(sent, sent)).Draw(t, fmt.Sprintf("order %d", i))
			for _, c := range order {
				before := s.Revision(c.Team)
				isNewer, err := s.ApplyFromPeer(c)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(isNewer).To(Equal(c.Revision > before))
				g.Expect(s.Revision(c.Team)).To(Equal(max(before, c.Revision)))
			}
		}
		for team, revision := range highest {
			g.Expect(stores[0].Revision(team)).To(Equal(revision))
		}
		g.Expect(stores[0].All()).To(Equal(stores[1].All()))
		g.Expect(stores[0].Digest()).To(Equal(stores[1].Digest()))
	})
}

func TestExchangeOfDifferingShardsRepairsLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a, b := merge.NewStore(), merge.NewStore()
		for i := range rapid.IntRange(0, 80).Draw(t, "changes") {
			c := config(fmt.Sprintf("t%d", rapid.IntRange(0, 20).Draw(t, "team")), uint64(i+1))
			if rapid.Bool().Draw(t, "reaches a") {
				a.Apply(c)
			}
			if rapid.Bool().Draw(t, "reaches b") {
				b.Apply(c)
			}
		}
		shards := a.Digest().DifferingShards(b.Digest())
		exchange := func(from, to *merge.Store) {
			for _, c := range from.All() {
				if slices.Contains(shards, merge.ShardOf(c.Team)) {
					to.Apply(c)
				}
			}
		}
		exchange(a, b)
		exchange(b, a)
		g.Expect(a.All()).To(Equal(b.All()))
	})
}
