package hedge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/hedge"
	"github.com/figfront/figfront/internal/spectest"
)

func TestHedge(t *testing.T) {
	spectest.Run(t, "hedge")
}

// observe records count exponentially distributed latencies.
func observe(trigger *hedge.Trigger, random *rand.Rand, count int, mean time.Duration) {
	for range count {
		trigger.Observe(time.Duration(random.ExpFloat64() * float64(mean)))
	}
}

var _ = Describe("a trigger", func() {
	random := rand.New(rand.NewPCG(1, 1))

	It("gives no delay before it has enough latencies", func() {
		trigger := hedge.NewTrigger(hedge.Options{})
		observe(trigger, random, 19, time.Millisecond)
		_, ok := trigger.Delay()
		Expect(ok).To(BeFalse())
	})

	It("estimates the quantile", func() {
		trigger := hedge.NewTrigger(hedge.Options{Quantile: 0.9, Window: 10000})
		observe(trigger, random, 15000, 10*time.Millisecond)
		delay, ok := trigger.Delay()
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 23*time.Millisecond, time.Millisecond))
	})

	It("adapts to a change within a few windows", func() {
		trigger := hedge.NewTrigger(hedge.Options{})
		observe(trigger, random, 2000, 10*time.Millisecond)
		before, _ := trigger.Delay()
		observe(trigger, random, 2000, 40*time.Millisecond)
		after, _ := trigger.Delay()
		Expect(after).To(BeNumerically(">", 3*before))
	})

	It("applies the minimum delay", func() {
		trigger := hedge.NewTrigger(hedge.Options{})
		observe(trigger, random, 100, time.Microsecond)
		delay, _ := trigger.Delay()
		Expect(delay).To(Equal(time.Millisecond))
	})
})
