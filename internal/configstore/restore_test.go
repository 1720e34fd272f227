package configstore_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/platformstandin"
)

// TestLostRevisionIsCommittedAgainUnderItsChangeID repeats a change that the table has lost.
func TestLostRevisionIsCommittedAgainUnderItsChangeID(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, store *configstore.Store) {
		g.Expect(commit(store, change("t", 1, "a"))).To(BeEquivalentTo(1))
		copied := table.CopyTable()
		g.Expect(commit(store, change("t", 2, "b"))).To(BeEquivalentTo(2))
		table.RestoreTable(copied)
		g.Expect(activeConfig(g, store, "t").ChangeID).To(Equal("a"))
		g.Expect(commit(store, change("t", 2, "b"))).To(BeEquivalentTo(2))
		g.Expect(activeConfig(g, store, "t").ChangeID).To(Equal("b"))
	})
}

// TestVMsConvergeAfterARevisionWasAssignedTwice has a VM that knows the change that the table
// has lost, and one that knows the change that got its number.
func TestVMsConvergeAfterARevisionWasAssignedTwice(t *testing.T) {
	withTable(t, func(g Gomega, table *platformstandin.Server, store *configstore.Store) {
		g.Expect(commit(store, change("t", 1, "a"))).To(BeEquivalentTo(1))
		copied := table.CopyTable()
		knowsLost, knowsNew := merge.NewStore(), merge.NewStore()
		g.Expect(commit(store, change("t", 2, "lost"))).To(BeEquivalentTo(2))
		knowsLost.Apply(activeConfig(g, store, "t"))
		table.RestoreTable(copied)
		g.Expect(commit(store, change("t", 2, "new"))).To(BeEquivalentTo(2))
		knowsNew.Apply(activeConfig(g, store, "t"))

		_, err := knowsLost.ApplyFromPeer(activeConfig(g, store, "t"))
		g.Expect(err).To(MatchError(merge.ErrConflict), "one number, two changes: neither replaces the other")
		g.Expect(commit(store, change("t", 3, "next"))).To(BeEquivalentTo(3))
		for _, vm := range []*merge.Store{knowsLost, knowsNew} {
			g.Expect(vm.ApplyFromPeer(activeConfig(g, store, "t"))).To(BeTrue())
			applied, _ := vm.Get("t")
			g.Expect(applied.ChangeID).To(Equal("next"))
		}
	})
}
