package claim_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/claim"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// copiedTable is a table that can come back from an older copy of its rows.
type copiedTable struct {
	platform.Table
	mu   sync.Mutex
	rows map[string]platform.Row
}

func (t *copiedTable) Commit(_ context.Context, tx platform.Transaction) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, condition := range tx.Conditions {
		if t.rows[condition.Key].Version != condition.Version {
			return platform.ErrConflict
		}
	}
	for _, write := range tx.Writes {
		t.rows[write.Key] = platform.Row{Key: write.Key, Version: t.rows[write.Key].Version + 1, Value: write.Value}
	}
	return nil
}

func (t *copiedTable) Get(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (t *copiedTable) copy() map[string]platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.rows)
}

func (t *copiedTable) restore(rows map[string]platform.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = rows
}

// TestKeyIsNotFreeAfterTheTableLostItsClaim loses the claim before its final write.
func TestKeyIsNotFreeAfterTheTableLostItsClaim(t *testing.T) {
	ends := map[string]func(*claim.Ticket){
		"done":    func(ticket *claim.Ticket) { ticket.Done(nil) },
		"unknown": (*claim.Ticket).MarkUnknown,
	}
	for name, end := range ends {
		for _, wasReleased := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					table := &copiedTable{rows: make(map[string]platform.Row)}
					store, err := claim.NewStore(claim.Options{Table: table, Counters: telemetry.NewCounters(), VM: "vm"})
					g.Expect(err).NotTo(HaveOccurred())
					ctx, cancel := context.WithCancel(t.Context())
					var running sync.WaitGroup
					running.Go(func() { _ = store.Run(ctx) })
					claimKey := func() claim.Result {
						key := claim.Key{Team: "split", Service: "reservations", Idempotency: "k"}
						return store.Claim(ctx, claim.Request{Key: key, Deadline: time.Now().Add(time.Minute)})
					}
					if wasReleased {
						claimKey().Ticket.Release()
						time.Sleep(5 * time.Second)
					}
					before := table.copy()
					first := claimKey()
					g.Expect(first.Verdict).To(Equal(claim.Owned))
					table.restore(before)
					end(first.Ticket)
					time.Sleep(5 * time.Second)
					g.Expect(claimKey().Verdict).NotTo(Equal(claim.Owned), "a second run")
					cancel()
					running.Wait()
				})
			})
		}
	}
}
