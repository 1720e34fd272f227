package claim_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/claim"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
)

// The variants below each take one mechanism away, between the claims and the
// table, and are run like the real thing: the checks have to find them.

// trustingTable takes a write whose answer is lost for one that took effect.
type trustingTable struct{ platform.Table }

func (t trustingTable) Commit(ctx context.Context, tx platform.Transaction) error {
	err := t.Table.Commit(ctx, tx)
	if platform.IsUncertain(err) {
		return nil
	}
	return err
}

// leaseTable shows a claim as released when it is older than a lease.
type leaseTable struct {
	platform.Table
	lease time.Duration

	mu sync.Mutex
	// seen holds when a started claim was first read.
	seen map[string]time.Time
}

func (t *leaseTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := t.Table.Get(ctx, key)
	if err != nil {
		return row, err
	}
	record, err := claim.Decode(row.Value)
	if err == nil && record.State == claim.RowStarted && t.hasLapsed(record.Attempt) {
		record.State = claim.RowReleased
		row.Value = claim.Encode(record)
	}
	return row, nil
}

func (t *leaseTable) hasLapsed(attempt string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.seen[attempt]
	if !ok {
		t.seen[attempt] = time.Now()
		return false
	}
	return time.Since(since) > t.lease
}

// leavingTable never writes that a claim is released.
type leavingTable struct{ platform.Table }

func (t leavingTable) Commit(ctx context.Context, tx platform.Transaction) error {
	if writesState(tx, claim.RowReleased) {
		return nil
	}
	return t.Table.Commit(ctx, tx)
}

// unconditionalTable drops the conditions of writes.
type unconditionalTable struct{ platform.Table }

func (t unconditionalTable) Commit(ctx context.Context, tx platform.Transaction) error {
	tx.Conditions = nil
	return t.Table.Commit(ctx, tx)
}

// nonsenseTable shows every row as nonsense.
type nonsenseTable struct{ platform.Table }

func (t nonsenseTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := t.Table.Get(ctx, key)
	row.Value = []byte("nonsense")
	return row, err
}

func TestWithoutReadingBackACallRunsTwice(t *testing.T) {
	for _, isBroken := range []bool{false, true} {
		options := rigOptions{}
		if isBroken {
			options.wrap = func(table platform.Table) platform.Table { return trustingTable{table} }
		}
		inBubble(t, options, func(r *rig) {
			r.platform.SetFaults(platformstandin.Faults{ApplyLate: 2, ApplyLateBy: time.Second})
			r.bookAtOnce("k")
			time.Sleep(settleTime)
			expectRuns(r, isBroken)
		})
	}
}

func TestWithTakeoverByLeaseACallRunsTwice(t *testing.T) {
	for _, isBroken := range []bool{false, true} {
		options := rigOptions{serviceTime: time.Second}
		if isBroken {
			options.wrap = func(table platform.Table) platform.Table {
				return &leaseTable{Table: table, lease: 500 * time.Millisecond, seen: make(map[string]time.Time)}
			}
		}
		inBubble(t, options, func(r *rig) {
			// The holder is frozen, and wakes before its deadline.
			r.vms[0].at(afterClaim, freezeFor(900*time.Millisecond))
			go r.book(r.vms[0], "k", "{}")
			time.Sleep(time.Millisecond)
			r.book(r.vms[1], "k", "{}")
			time.Sleep(settleTime)
			expectRuns(r, isBroken)
		})
	}
}

func TestWithoutConditionsACallRunsTwice(t *testing.T) {
	for _, isBroken := range []bool{false, true} {
		options := rigOptions{}
		if isBroken {
			options.wrap = func(table platform.Table) platform.Table { return unconditionalTable{table} }
		}
		inBubble(t, options, func(r *rig) {
			r.bookAtOnce("k")
			expectRuns(r, isBroken)
		})
	}
}

func expectRuns(r *rig, isBroken bool) {
	want := 1
	if isBroken {
		want = 2
	}
	Expect(r.runs("k")).To(Equal(want), "without the mechanism: %v", isBroken)
}

func TestWithoutReleaseANotRunCallBlocksItsKey(t *testing.T) {
	for _, isBroken := range []bool{false, true} {
		options := rigOptions{}
		if isBroken {
			options.wrap = func(table platform.Table) platform.Table { return leavingTable{table} }
		}
		inBubble(t, options, func(r *rig) {
			r.platform.SetFaults(platformstandin.Faults{ApplyLate: 3, ApplyLateBy: time.Second})
			Expect(r.book(r.vms[0], "k", "{}").outcome).To(Equal(outcome.NotRun))
			time.Sleep(settleTime)
			repeat := r.book(r.vms[1], "k", "{}")
			if isBroken {
				Expect(repeat.outcome).To(Equal(outcome.Unknown))
				return
			}
			Expect(repeat.outcome).To(Equal(outcome.Ran))
		})
	}
}

// TestSchedulesFindBrokenVariants runs the first schedules against the
// variants; each has to be found.
func TestSchedulesFindBrokenVariants(t *testing.T) {
	variants := []struct {
		name string
		wrap func(platform.Table) platform.Table
	}{
		{"trusts lost writes", func(table platform.Table) platform.Table { return trustingTable{table} }},
		{"no conditions", func(table platform.Table) platform.Table { return unconditionalTable{table} }},
		{"never releases", func(table platform.Table) platform.Table { return leavingTable{table} }},
		{"lease", func(table platform.Table) platform.Table {
			return &leaseTable{Table: table, lease: 300 * time.Millisecond, seen: make(map[string]time.Time)}
		}},
	}
	const schedules = 100
	for _, variant := range variants {
		t.Run(variant.name, func(t *testing.T) {
			faulty := 0
			first := ""
			for seed := range uint64(schedules) {
				inBubble(t, rigOptions{vms: scheduleVMs, wrap: variant.wrap}, func(r *rig) {
					run := newSchedule(r, seed)
					run.play()
					if found := run.check(); len(found) > 0 {
						faulty++
						first = found[0]
					}
				})
			}
			t.Logf("%d of %d schedules show it, such as: %s", faulty, schedules, first)
			NewWithT(t).Expect(faulty).To(BeNumerically(">", 0))
		})
	}
}
