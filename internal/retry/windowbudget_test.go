package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figfront/figfront/internal/retry"
)

// TestWindowBudgetLimitsEveryWindow checks the limits on random histories of bursts
// and idle times: in each window that ends with an extra send, the extra sends do not
// exceed the limits, or one.
func TestWindowBudgetLimitsEveryWindow(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		limits := retry.Limits{
			Share:    rapid.Float64Range(0, 0.2).Draw(t, "share"),
			Constant: rapid.Float64Range(0, 60).Draw(t, "constant"),
		}
		history := drawHistory(t, retry.NewWindowBudget(limits))
		for end, last := range history {
			if !last.extra {
				continue
			}
			first, extra := countWindow(history[:end+1], last.at)
			if float64(extra) > max(1, limits.Share*float64(first)+limits.Constant) {
				t.Fatalf("%d extra sends on %d calls in the window that ends %s after the start",
					extra, first, last.at.Sub(epoch))
			}
		}
	})
}

var _ = Describe("WindowBudget", func() {
	limits := retry.Limits{Share: 0.15, Constant: 17}

	// retryWhileShedding makes 80 calls a second of which every second one is shed,
	// for half a window, and returns the number of retries that were allowed.
	retryWhileShedding := func(b *retry.WindowBudget, from time.Time) int {
		retries := 0
		for i := range 400 {
			now := from.Add(time.Duration(i) * 12500 * time.Microsecond)
			b.FirstSend(now)
			isShed := i%2 == 0
			b.RecordResult(!isShed)
			if isShed && b.Take(now) {
				retries++
			}
		}
		return retries
	}

	It("lets a burst of failures use all that is allowed", func() {
		b := retry.NewWindowBudget(limits)
		Expect(retryWhileShedding(b, epoch)).To(BeNumerically("~", 0.15*400+17, 3))
	})

	It("leaves a part of it to retries when hedges take all they can", func() {
		b := retry.NewWindowBudget(limits)
		for range 200 {
			b.FirstSend(epoch)
		}
		now := epoch.Add(time.Second)
		hedges, retries := 0, 0
		for range 100 {
			if b.TakeHedge(now) {
				hedges++
			}
		}
		for range 100 {
			if b.Take(now) {
				retries++
			}
		}
		Expect(hedges).To(BeNumerically(">", 20))
		Expect(retries).To(BeNumerically(">", 10))
	})

	It("allows no extra sends while the whole service fails", func() {
		b := retry.NewWindowBudget(limits)
		for range 100 {
			b.FirstSend(epoch)
			b.RecordResult(false)
		}
		Expect(b.Take(epoch.Add(time.Second))).To(BeFalse())
	})
})
