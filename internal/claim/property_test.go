package claim_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/claim"
	"github.com/figfront/figfront/internal/platform"
)

// fakeTable is a table with one row. Its writes may be applied late.
type fakeTable struct {
	row     platform.Row
	delayed []platform.Transaction
}

func (f *fakeTable) apply(tx platform.Transaction) error {
	if tx.Conditions[0].Version != f.row.Version {
		return platform.ErrConflict
	}
	f.row = platform.Row{Version: f.row.Version + 1, Value: tx.Writes[0].Value}
	return nil
}

// commit handles a write in one of the ways that are possible for the platform's
// table: it is refused, applied with an unknown result, applied late, or applied
// and confirmed.
func (f *fakeTable) commit(t *rapid.T, tx platform.Transaction) error {
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
	case 0:
		return platform.ErrUnavailable
	case 1:
		_ = f.apply(tx)
		return platform.ErrUncertain
	case 2:
		f.delayed = append(f.delayed, tx)
		return platform.ErrUncertain
	default:
		return f.apply(tx)
	}
}

// applyDelayed tries to apply one of the delayed writes, chosen at random.
func (f *fakeTable) applyDelayed(t *rapid.T) {
	if len(f.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.delayed)-1).Draw(t, "late")
	_ = f.apply(f.delayed[i])
	f.delayed = append(f.delayed[:i], f.delayed[i+1:]...)
}

func (f *fakeTable) read(t *rapid.T) (platform.Row, error) {
	if rapid.IntRange(0, 5).Draw(t, "read") == 0 {
		return platform.Row{}, platform.ErrUncertain
	}
	if f.row.Version == 0 {
		return platform.Row{}, platform.ErrNotFound
	}
	return f.row, nil
}

// TestAtMostOneAttemptSends interleaves the steps of three attempts with the same
// key and checks that at most one of them may send the call.
func TestAtMostOneAttemptSends(t *testing.T) {
	c, err := chart.Load(charts.Files, "claim.ini")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	rapid.Check(t, func(t *rapid.T) {
		table := &fakeTable{}
		now := time.Unix(1_000_000, 0)
		var attempts []*claim.Attempt
		for i := range 3 {
			record := claim.Record{Attempt: string(rune('a' + i)), Owner: "vm", Fingerprint: "f"}
			attempts = append(attempts, claim.NewAttempt(c, record, now.Add(time.Minute)))
		}
		sent := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			table.applyDelayed(t)
			a := attempts[rapid.IntRange(0, 2).Draw(t, "attempt")]
			if advance(t, table, a, now) {
				sent++
			}
		}
		if sent > 1 {
			t.Fatalf("%d attempts may send the call", sent)
		}
	})
}

// advance runs one step of an attempt and reports whether it sends the call.
func advance(t *rapid.T, table *fakeTable, a *claim.Attempt, now time.Time) bool {
	switch a.State() {
	case "writing", "rewriting":
		tx, err := a.Write("row")
		if err != nil {
			t.Fatal(err)
		}
		a.HandleWriteResult(table.commit(t, tx))
	case "settling", "waiting":
		row, err := table.read(t)
		a.HandleReadResult(now, row, err)
	case "owned":
		if a.MaySend(now) {
			a.Sent()
			return true
		}
	}
	return false
}

// TestAttemptHandlesAnyRow passes rows with random values to an attempt. It must
// treat each row that cannot be decoded as a claim with an unknown result.
func TestAttemptHandlesAnyRow(t *testing.T) {
	c, err := chart.Load(charts.Files, "claim.ini")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	rapid.Check(t, func(t *rapid.T) {
		a := claim.NewAttempt(c, claim.Record{Attempt: "a", Fingerprint: "f"}, time.Unix(1000, 0))
		a.HandleWriteResult(platform.ErrConflict)
		value := rapid.SliceOf(rapid.Byte()).Draw(t, "value")
		a.HandleReadResult(time.Unix(1, 0), platform.Row{Version: 1, Value: value}, nil)
		if _, err := claim.Decode(value); err != nil && a.State() != "unknown" {
			t.Fatalf("a malformed row leads to state %s", a.State())
		}
	})
}

// FuzzDecode checks that Decode either returns ErrMalformed or a record that stays
// the same when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	valid := claim.Record{
		State: claim.RowDone, Attempt: "a", Owner: "vm", Fingerprint: "f", DeadlineMS: 1,
		Response: &claim.Response{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("x")},
	}
	for _, seed := range []string{
		string(claim.Encode(valid)), "", "null", "{}", "[]", "\x00", `{"state":"done"}`,
		`{"state":"started","attempt":"a","fingerprint":"f","deadline_ms":1}`,
		`{"state":"started","attempt":"a","fingerprint":"f","deadline_ms":1}{}`,
		`{"state":"stolen","attempt":"a","fingerprint":"f","deadline_ms":1}`,
		`{"state":"started","attempt":"a","fingerprint":"f","deadline_ms":1,"answer":{"status":200}}`,
		`{"state":"done","attempt":"a","fingerprint":"f","deadline_ms":1,"answer":{"status":-1}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		g := NewWithT(t)
		record, err := claim.Decode(value)
		if err != nil {
			g.Expect(errors.Is(err, claim.ErrMalformed)).To(BeTrue())
			return
		}
		again, err := claim.Decode(claim.Encode(record))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(claim.Encode(again)).To(Equal(claim.Encode(record)))
	})
}

func TestMalformedRowIsCountedAndNotSent(t *testing.T) {
	inBubble(t, envOptions{wrapTable: func(table platform.Table) platform.Table { return corruptTable{table} }}, func(env *testEnv) {
		Expect(env.book(env.vms[0], "k", "{}").outcome).To(BeEquivalentTo("ran"))
		repeat := env.book(env.vms[1], "k", "{}")
		Expect(repeat.outcome).To(BeEquivalentTo("unknown"))
		Expect(env.vms[1].counters.Get("claims", "row_unreadable")).To(Equal(int64(1)))
		Expect(env.runCount("k")).To(Equal(1))
	})
}
