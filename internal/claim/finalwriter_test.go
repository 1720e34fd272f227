package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/claim"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// silentTable is a table whose calls all time out with an unknown result.
type silentTable struct {
	platform.Table
	reads atomic.Int64
}

func (t *silentTable) Commit(context.Context, platform.Transaction) error {
	time.Sleep(platform.CallTimeout)
	return platform.ErrUncertain
}

func (t *silentTable) Get(context.Context, string) (platform.Row, error) {
	t.reads.Add(1)
	time.Sleep(platform.CallTimeout)
	return platform.Row{}, platform.ErrUncertain
}

// TestFinalWriterReadsOneRowPerFlushWhileTableIsDown checks that a flush reads only
// one row while the table does not respond. Otherwise each pending final write would
// wait for a read timeout of its own.
func TestFinalWriterReadsOneRowPerFlushWhileTableIsDown(t *testing.T) {
	const claims = 20
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := &silentTable{}
		store, err := claim.NewStore(claim.Options{Table: table, Counters: telemetry.NewCounters(), VM: "vm"})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = store.Run(ctx) })
		for i := range claims {
			running.Go(func() {
				key := claim.Key{Team: "split", Service: "reservations", Idempotency: fmt.Sprint(i)}
				result := store.Claim(ctx, claim.Request{Key: key, Deadline: time.Now().Add(time.Minute)})
				g.Expect(result.Verdict).To(Equal(claim.Unavailable))
			})
		}
		// Until then, each claim has read its own row once.
		time.Sleep(5 * time.Second)
		g.Expect(store.Pending()).To(Equal(claims))
		before := table.reads.Load()
		time.Sleep(time.Minute)
		// Each flush waits 2 s for one read, followed by a backoff of up to 5 s.
		g.Expect(table.reads.Load() - before).To(BeNumerically("<=", 20))
		cancel()
		running.Wait()
	})
}
