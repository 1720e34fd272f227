package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/spectest"
)

func TestDrain(t *testing.T) {
	spectest.Run(t, "drain")
}

var _ = Describe("a call during a planned stop", func() {
	start := time.Unix(1_800_000_000, 0)
	window := drain.NewWindow(start, 5600*time.Millisecond, 400*time.Millisecond)
	second := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

	DescribeTable("may be sent",
		func(now, arrived, deadline float64, isExpected bool) {
			may := window.MaySend(second(now), drain.Call{
				Arrived: second(arrived), Deadline: second(deadline), Objective: 800 * time.Millisecond,
			})
			Expect(may).To(Equal(isExpected))
		},
		Entry("when it came in the first half", 0.1, 0.1, 30.0, true),
		Entry("at the end of the first half", 3.0, 3.0, 30.0, true),
		Entry("not when it came later", 3.01, 3.01, 30.0, false),
		Entry("when its deadline is before the cut", 4.9, 4.9, 5.5, true),
		Entry("not when its deadline is at the cut", 4.9, 4.9, 5.6, false),
		Entry("not when an early one has waited for too long", 4.8, 2.0, 30.0, false),
		Entry("when an early one is sent again in time", 4.6, 2.0, 30.0, true),
		Entry("not after the cut", 5.7, 1.0, 30.0, false),
	)
})
