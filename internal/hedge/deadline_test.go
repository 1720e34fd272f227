package hedge_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/hedge"
)

var _ = Describe("the latest start of a hedge", func() {
	It("leaves the second send more than its typical latency", func() {
		latest, ok := hedge.LatestStart(600*time.Millisecond, 200*time.Millisecond)
		Expect(ok).To(BeTrue())
		Expect(600*time.Millisecond - latest).To(BeNumerically(">", 200*time.Millisecond))
		Expect(latest).To(BeNumerically(">", 200*time.Millisecond))
	})

	It("does not exist when most first sends would not be answered by then", func() {
		_, ok := hedge.LatestStart(300*time.Millisecond, 200*time.Millisecond)
		Expect(ok).To(BeFalse())
	})

	It("does not exist while the typical latency is unknown", func() {
		_, ok := hedge.LatestStart(300*time.Millisecond, 0)
		Expect(ok).To(BeFalse())
	})
})
