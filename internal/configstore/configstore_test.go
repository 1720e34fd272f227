package configstore_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
)

// withTable runs f with a store on an in-memory table, in virtual time.
func withTable(t *testing.T, f func(g Gomega, table *platformstandin.Server, store *configstore.Store)) {
	synctest.Test(t, func(t *testing.T) {
		table := platformstandin.New(nil)
		f(NewWithT(t), table, newStore(table))
		synctest.Wait()
	})
}

func newStore(table *platformstandin.Server) *configstore.Store {
	return configstore.New(platform.NewClient("127.0.0.1:1", table.Transport()))
}

func change(team string, revision uint64, id string) merge.Config {
	return merge.Config{Team: team, Revision: revision, ChangeID: id, Settings: "settings of " + id}
}

// commit commits c and returns the committed revision.
func commit(store *configstore.Store, c merge.Config) (uint64, error) {
	committed, err := store.Commit(context.Background(), c)
	return committed.Revision, err
}

func activeConfig(g Gomega, store *configstore.Store, team string) merge.Config {
	c, err := store.Get(context.Background(), team)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

func TestTwoOperatorsAtOnceOneWins(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, store *configstore.Store) {
		table.SetFaults(platformstandin.Faults{Delay: 10 * time.Millisecond})
		errs := make(chan error, 2)
		for _, id := range []string{"a", "b"} {
			go func() {
				_, err := commit(newStore(table), change("t", 1, id))
				errs <- err
			}()
		}
		results := []error{<-errs, <-errs}
		g.Expect(results).To(ConsistOf(BeNil(), MatchError(configstore.ErrConflict)))
		g.Expect(activeConfig(g, store, "t").Revision).To(BeEquivalentTo(1))
	})
}

// TestConcurrentTeamsDontConflict guards against conflicts between changes of different
// teams: each of 200 concurrent commits succeeds with its first transaction.
func TestConcurrentTeamsDontConflict(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, _ *configstore.Store) {
		const teams = 200
		table.SetFaults(platformstandin.Faults{Delay: 5 * time.Millisecond})
		errs := make(chan error, teams)
		for i := range teams {
			go func() {
				_, err := commit(newStore(table), change(fmt.Sprintf("t%d", i), 1, "first"))
				errs <- err
			}()
		}
		failed := 0
		for range teams {
			if err := <-errs; err != nil {
				failed++
			}
		}
		g.Expect(failed).To(BeZero())
		g.Expect(table.Load().Writes).To(BeEquivalentTo(teams), "one transaction per change")
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, store *configstore.Store) {
		table.SetFaults(platformstandin.Faults{LoseResponses: 1})
		g.Expect(commit(store, change("t", 1, "a"))).To(BeEquivalentTo(1))
		g.Expect(activeConfig(g, store, "t").ChangeID).To(Equal("a"))
	})
}

// lossyTable runs the first transaction, calls afterCommit and then reports the result
// of the transaction as unknown. It passes on later transactions unchanged.
type lossyTable struct {
	platform.Table
	afterCommit func()
}

func (l *lossyTable) Commit(ctx context.Context, tx platform.Transaction) error {
	err := l.Table.Commit(ctx, tx)
	if l.afterCommit == nil {
		return err
	}
	after := l.afterCommit
	l.afterCommit = nil
	after()
	return platform.ErrUncertain
}

// TestLostAnswerIsReadBackAfterALaterRevision covers a lost response after which another
// operator's change has already replaced the revision.
func TestLostAnswerIsReadBackAfterALaterRevision(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, store *configstore.Store) {
		client := platform.NewClient("127.0.0.1:1", table.Transport())
		lossy := &lossyTable{Table: client, afterCommit: func() {
			g.Expect(commit(store, change("t", 2, "b"))).To(BeEquivalentTo(2))
		}}
		g.Expect(commit(configstore.New(lossy), change("t", 1, "a"))).To(BeEquivalentTo(1))
		g.Expect(activeConfig(g, store, "t").ChangeID).To(Equal("b"))
	})
}

// TestLateWriteOfAVoidedChangeIsRejected covers a transaction that the table applies
// only after the change has been voided.
func TestLateWriteOfAVoidedChangeIsRejected(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, store *configstore.Store) {
		table.SetFaults(platformstandin.Faults{ApplyLate: 1, ApplyLateBy: time.Minute})
		_, err := commit(store, change("t", 1, "a"))
		g.Expect(err).To(MatchError(configstore.ErrUnavailable), "the late write must not be applied")
		time.Sleep(2 * time.Minute)
		_, err = store.Get(context.Background(), "t")
		g.Expect(err).To(MatchError(configstore.ErrNotFound))
		g.Expect(commit(store, change("t", 1, "a"))).To(BeEquivalentTo(1), "the same change id may be retried")
	})
}

func TestLateWriteAppliedBeforeReadBack(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, store *configstore.Store) {
		table.SetFaults(platformstandin.Faults{
			ApplyLate: 1, ApplyLateBy: 15 * time.Millisecond, Delay: 10 * time.Millisecond,
		})
		g.Expect(commit(store, change("t", 1, "a"))).To(BeEquivalentTo(1))
	})
}

func TestTableDownChangesNothing(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, store *configstore.Store) {
		g.Expect(commit(store, change("t", 1, "a"))).To(BeEquivalentTo(1))
		table.SetFaults(platformstandin.Faults{TableDown: true})
		_, err := commit(store, change("t", 2, "b"))
		g.Expect(err).To(MatchError(configstore.ErrUnavailable))
		table.SetFaults(platformstandin.Faults{})
		g.Expect(activeConfig(g, store, "t").Revision).To(BeEquivalentTo(1))
	})
}

// TestTableLostAfterCommitIsUncertain covers a lost response that can't be read back,
// because the table is unavailable from then on.
func TestTableLostAfterCommitIsUncertain(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, store *configstore.Store) {
		client := platform.NewClient("127.0.0.1:1", table.Transport())
		lossy := &lossyTable{Table: client, afterCommit: func() {
			table.SetFaults(platformstandin.Faults{TableDown: true})
		}}
		_, err := commit(configstore.New(lossy), change("t", 1, "a"))
		g.Expect(err).To(MatchError(configstore.ErrUncertain))
		table.SetFaults(platformstandin.Faults{})
		g.Expect(commit(store, change("t", 1, "a"))).To(BeEquivalentTo(1))
	})
}

func TestSameChangeIDNeverBecomesASecondRevision(t *testing.T) {
	withTable(t, func(g Gomega, _ *platformstandin.Server, store *configstore.Store) {
		g.Expect(commit(store, change("t", 1, "a"))).To(BeEquivalentTo(1))
		g.Expect(commit(store, change("t", 2, "b"))).To(BeEquivalentTo(2))
		for _, from := range []uint64{1, 2, 3} {
			g.Expect(commit(store, change("t", from, "a"))).To(BeEquivalentTo(1))
		}
		g.Expect(activeConfig(g, store, "t").ChangeID).To(Equal("b"))
		other := change("t", 3, "a")
		other.Settings = "something else"
		_, err := commit(store, other)
		g.Expect(err).To(MatchError(configstore.ErrChangeIDReused))
	})
}

// TestFeedIsCompleteForASlowReader checks that a reader that starts after 1200 changes
// gets the newest head of each team, with a number of reads bounded by the shards.
func TestFeedIsCompleteForASlowReader(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, store *configstore.Store) {
		const teams, revisions = 40, 30
		for revision := uint64(1); revision <= revisions; revision++ {
			for i := range teams {
				team := fmt.Sprintf("t%d", i)
				g.Expect(commit(store, change(team, revision, fmt.Sprint(revision)))).To(Equal(revision))
			}
		}
		before := table.Load().Reads
		heads, position, err := store.ReadFeed(context.Background(), configstore.FeedPosition{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(heads).To(HaveLen(teams))
		g.Expect(heads).To(HaveEach(HaveField("Revision", BeEquivalentTo(revisions))))
		g.Expect(table.Load().Reads-before).To(BeNumerically("<=", merge.Shards+1),
			"reads for %d changes", teams*revisions)

		heads, _, err = store.ReadFeed(context.Background(), position)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(heads).To(BeEmpty())
	})
}

func TestHistoryIsBounded(t *testing.T) {
	withTable(t, func(g Gomega, _ *platformstandin.Server, store *configstore.Store) {
		for revision := uint64(1); revision <= configstore.KeptRevisions+5; revision++ {
			g.Expect(commit(store, change("t", revision, fmt.Sprint(revision)))).To(Equal(revision))
		}
		_, err := store.GetRevision(context.Background(), "t", 5)
		g.Expect(err).To(MatchError(configstore.ErrNotFound))
		_, err = store.GetRevision(context.Background(), "t", 6)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// TestMaximumSettingsSize uses characters that JSON would escape in a string.
func TestMaximumSettingsSize(t *testing.T) {
	withTable(t, func(g Gomega, _ *platformstandin.Server, store *configstore.Store) {
		c := change("t", 1, "a")
		c.Settings = strings.Repeat("; <&>\n", 4<<20/6)
		g.Expect(commit(store, c)).To(BeEquivalentTo(1))
		g.Expect(activeConfig(g, store, "t").Settings).To(Equal(c.Settings))
	})
}
