package retry_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figfront/figfront/internal/retry"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 7, 1, 0, 0, 0, 0, time.UTC)

// sendAtConstantRate records calls at a constant rate and tries to take an extra
// send after each. It returns the number of extra sends.
func sendAtConstantRate(b *retry.Budget, from time.Time, calls int, interval time.Duration) int {
	extra := 0
	for i := range calls {
		now := from.Add(time.Duration(i) * interval)
		b.FirstSend(now)
		if b.Take(now) {
			extra++
		}
	}
	return extra
}

var _ = Describe("Budget", func() {
	It("allows its share of extra sends in normal operation", func() {
		b := retry.NewBudget(0.05)
		extra := sendAtConstantRate(b, epoch, 10000, 5*time.Millisecond)
		Expect(extra).To(BeNumerically(">=", 490))
		Expect(extra).To(BeNumerically("<=", 501))
	})

	It("allows one extra send before the first call, and then none", func() {
		b := retry.NewBudget(0.05)
		Expect(b.Take(epoch)).To(BeTrue())
		Expect(b.Take(epoch)).To(BeFalse())
		Expect(sendAtConstantRate(b, epoch, 9, time.Millisecond)).To(Equal(0))
	})

	It("allows its share of extra sends for a service with one call per minute", func() {
		b := retry.NewBudget(0.05)
		extra := sendAtConstantRate(b, epoch, 200, time.Minute)
		Expect(extra).To(BeNumerically(">=", 10))
		Expect(extra).To(BeNumerically("<=", 11))
	})

	It("does not exceed the window's limit with tokens saved before an idle time", func() {
		b := retry.NewBudget(0.10)
		for i := range 1000 {
			b.FirstSend(epoch.Add(time.Duration(i) * time.Millisecond))
		}
		later := epoch.Add(time.Minute)
		Expect(sendAtConstantRate(b, later, 30, time.Millisecond)).To(BeNumerically("<=", 3))
	})

	It("never exceeds MaxShare, whatever share is configured", func() {
		b := retry.NewBudget(0)
		b.SetShare(0.5)
		Expect(sendAtConstantRate(b, epoch, 2000, 5*time.Millisecond)).To(BeNumerically("<=", 200))
	})

	It("allows no extra sends while the whole service fails, and allows them again afterwards", func() {
		b := retry.NewBudget(0.05)
		sendAtConstantRate(b, epoch, 1000, 5*time.Millisecond)
		for range 100 {
			b.RecordResult(false)
		}
		failing := epoch.Add(20 * time.Second)
		Expect(sendAtConstantRate(b, failing, 1000, 5*time.Millisecond)).To(Equal(0))
		for range 50 {
			b.RecordResult(true)
		}
		Expect(b.Take(failing.Add(5 * time.Second))).To(BeTrue())
	})

	It("allows retries while half of the sends fail", func() {
		b := retry.NewBudget(0.05)
		for i := range 200 {
			b.RecordResult(i%2 == 0)
		}
		Expect(sendAtConstantRate(b, epoch, 1000, 5*time.Millisecond)).To(BeNumerically(">", 40))
	})
})

// event is one send in a generated history.
type event struct {
	at    time.Time
	extra bool
}

// TestBudgetLimitsEveryWindow checks the budget's limit on random histories of
// bursts and idle times: in each window that ends with an extra send, the extra
// sends do not exceed MaxShare of the first sends, or one.
func TestBudgetLimitsEveryWindow(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.2).Draw(t, "share")
		b := retry.NewBudget(share)
		history := drawHistory(t, b)
		for end, last := range history {
			if !last.extra {
				continue
			}
			first, extra := countWindow(history[:end+1], last.at)
			if float64(extra) > max(1, retry.MaxShare*float64(first)) {
				t.Fatalf("%d extra sends on %d calls in the window that ends %s after the start",
					extra, first, last.at.Sub(epoch))
			}
		}
	})
}

// useFixedSeed makes each run generate the same histories, unless the flag
// rapid.seed is set.
func useFixedSeed(t *testing.T) {
	t.Helper()
	seed := flag.Lookup("rapid.seed")
	if seed == nil {
		t.Fatal("the flag rapid.seed is not registered")
	}
	if seed.Value.String() != "0" {
		return
	}
	if err := flag.Set("rapid.seed", "20260701"); err != nil {
		t.Fatal(err)
	}
}

// extraSendLimiter is implemented by both budgets.
type extraSendLimiter interface {
	FirstSend(now time.Time)
	Take(now time.Time) bool
}

func drawHistory(t *rapid.T, b extraSendLimiter) []event {
	now := epoch
	var history []event
	phases := rapid.IntRange(1, 6).Draw(t, "phases")
	for range phases {
		now = now.Add(time.Duration(rapid.IntRange(0, 15000).Draw(t, "idle_ms")) * time.Millisecond)
		interval := time.Duration(rapid.IntRange(1, 300).Draw(t, "interval_ms")) * time.Millisecond
		takesPerCall := rapid.IntRange(0, 3).Draw(t, "wanted")
		calls := rapid.IntRange(1, 200).Draw(t, "calls")
		for range calls {
			now = now.Add(interval)
			b.FirstSend(now)
			history = append(history, event{at: now})
			for range takesPerCall {
				if b.Take(now) {
					history = append(history, event{at: now, extra: true})
				}
			}
		}
	}
	return history
}

// countWindow counts the sends in the retry.Window that ends at end.
func countWindow(history []event, end time.Time) (first, extra int) {
	for i := len(history) - 1; i >= 0; i-- {
		if end.Sub(history[i].at) >= retry.Window {
			break
		}
		if history[i].extra {
			extra++
		} else {
			first++
		}
	}
	return first, extra
}
