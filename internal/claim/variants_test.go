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

// Each table below disables one mechanism of the claim protocol. The tests run
// with and without it, to verify that their checks detect the resulting
// violation.

// assumeAppliedTable reports writes with an unknown result as applied.
type assumeAppliedTable struct{ platform.Table }

func (t assumeAppliedTable) Commit(ctx context.Context, tx platform.Transaction) error {
	err := t.Table.Commit(ctx, tx)
	if platform.IsUncertain(err) {
		return nil
	}
	return err
}

// leaseTable returns started claims as released once a lease has expired, which
// allows another attempt to take over the claim.
type leaseTable struct {
	platform.Table
	lease time.Duration

	mu sync.Mutex
	// firstSeen contains the time at which each started claim was first read,
	// by attempt ID.
	firstSeen map[string]time.Time
}

func (t *leaseTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := t.Table.Get(ctx, key)
	if err != nil {
		return row, err
	}
	record, err := claim.Decode(row.Value)
	if err == nil && record.State == claim.RowStarted && t.isExpired(record.Attempt) {
		record.State = claim.RowReleased
		row.Value = claim.Encode(record)
	}
	return row, nil
}

func (t *leaseTable) isExpired(attempt string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.firstSeen[attempt]
	if !ok {
		t.firstSeen[attempt] = time.Now()
		return false
	}
	return time.Since(since) > t.lease
}

// noReleaseTable drops writes that release a claim.
type noReleaseTable struct{ platform.Table }

func (t noReleaseTable) Commit(ctx context.Context, tx platform.Transaction) error {
	if writesState(tx, claim.RowReleased) {
		return nil
	}
	return t.Table.Commit(ctx, tx)
}

// unconditionalTable removes the conditions from writes.
type unconditionalTable struct{ platform.Table }

func (t unconditionalTable) Commit(ctx context.Context, tx platform.Transaction) error {
	tx.Conditions = nil
	return t.Table.Commit(ctx, tx)
}

// corruptTable returns a malformed value for every row.
type corruptTable struct{ platform.Table }

func (t corruptTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := t.Table.Get(ctx, key)
	row.Value = []byte("nonsense")
	return row, err
}

func TestWithoutReadingBackACallRunsTwice(t *testing.T) {
	for _, isBroken := range []bool{false, true} {
		options := envOptions{}
		if isBroken {
			options.wrapTable = func(table platform.Table) platform.Table { return assumeAppliedTable{table} }
		}
		inBubble(t, options, func(env *testEnv) {
			env.platform.SetFaults(platformstandin.Faults{ApplyLate: 2, ApplyLateBy: time.Second})
			env.bookAtOnce("k")
			time.Sleep(settleTime)
			expectRuns(env, isBroken)
		})
	}
}

func TestWithTakeoverByLeaseACallRunsTwice(t *testing.T) {
	for _, isBroken := range []bool{false, true} {
		options := envOptions{serviceTime: time.Second}
		if isBroken {
			options.wrapTable = func(table platform.Table) platform.Table {
				return &leaseTable{Table: table, lease: 500 * time.Millisecond, firstSeen: make(map[string]time.Time)}
			}
		}
		inBubble(t, options, func(env *testEnv) {
			// The owner is frozen for longer than the lease, but resumes
			// before its deadline.
			env.vms[0].setHook(afterClaim, freezeFor(900*time.Millisecond))
			go env.book(env.vms[0], "k", "{}")
			time.Sleep(time.Millisecond)
			env.book(env.vms[1], "k", "{}")
			time.Sleep(settleTime)
			expectRuns(env, isBroken)
		})
	}
}

func TestWithoutConditionsACallRunsTwice(t *testing.T) {
	for _, isBroken := range []bool{false, true} {
		options := envOptions{}
		if isBroken {
			options.wrapTable = func(table platform.Table) platform.Table { return unconditionalTable{table} }
		}
		inBubble(t, options, func(env *testEnv) {
			env.bookAtOnce("k")
			expectRuns(env, isBroken)
		})
	}
}

// expectRuns checks that the call ran once, or twice if a mechanism is disabled
// (isBroken).
func expectRuns(env *testEnv, isBroken bool) {
	want := 1
	if isBroken {
		want = 2
	}
	Expect(env.runCount("k")).To(Equal(want), "without the mechanism: %v", isBroken)
}

func TestWithoutReleaseANotRunCallBlocksItsKey(t *testing.T) {
	for _, isBroken := range []bool{false, true} {
		options := envOptions{}
		if isBroken {
			options.wrapTable = func(table platform.Table) platform.Table { return noReleaseTable{table} }
		}
		inBubble(t, options, func(env *testEnv) {
			env.platform.SetFaults(platformstandin.Faults{ApplyLate: 3, ApplyLateBy: time.Second})
			Expect(env.book(env.vms[0], "k", "{}").outcome).To(Equal(outcome.NotRun))
			time.Sleep(settleTime)
			retry := env.book(env.vms[1], "k", "{}")
			if isBroken {
				Expect(retry.outcome).To(Equal(outcome.Unknown))
				return
			}
			Expect(retry.outcome).To(Equal(outcome.Ran))
		})
	}
}

// TestSchedulesFindBrokenVariants checks that the random schedules detect each
// disabled mechanism.
func TestSchedulesFindBrokenVariants(t *testing.T) {
	variants := []struct {
		name      string
		wrapTable func(platform.Table) platform.Table
	}{
		{"trusts lost writes", func(table platform.Table) platform.Table { return assumeAppliedTable{table} }},
		{"no conditions", func(table platform.Table) platform.Table { return unconditionalTable{table} }},
		{"never releases", func(table platform.Table) platform.Table { return noReleaseTable{table} }},
		{"lease", func(table platform.Table) platform.Table {
			return &leaseTable{Table: table, lease: 300 * time.Millisecond, firstSeen: make(map[string]time.Time)}
		}},
	}
	const schedules = 100
	for _, variant := range variants {
		t.Run(variant.name, func(t *testing.T) {
			faulty := 0
			example := ""
			for seed := range uint64(schedules) {
				inBubble(t, envOptions{vms: scheduleVMs, wrapTable: variant.wrapTable}, func(env *testEnv) {
					run := newSchedule(env, seed)
					run.execute()
					if found := run.violations(); len(found) > 0 {
						faulty++
						example = found[0]
					}
				})
			}
			t.Logf("%d of %d schedules detect it, for example: %s", faulty, schedules, example)
			NewWithT(t).Expect(faulty).To(BeNumerically(">", 0))
		})
	}
}
