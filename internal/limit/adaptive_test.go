package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/limit"
)

// completeCalls completes the given number of calls one after the other, each
// while inFlight calls are in flight, and returns the time of the last response.
func completeCalls(a *limit.Adaptive, from time.Time, calls, inFlight int, latency time.Duration, queued int) time.Time {
	for range calls {
		from = from.Add(latency / time.Duration(inFlight))
		for range inFlight {
			a.Start()
		}
		a.Answered(from, latency, queued)
		for range inFlight - 1 {
			a.Cancelled()
		}
	}
	return from
}

var _ = Describe("Adaptive", func() {
	It("increases up to the maximum while it is utilized and responses are fast", func() {
		a := limit.NewAdaptive(8)
		completeCalls(a, epoch, 200, 8, 8*time.Millisecond, 0)
		Expect(a.Limit()).To(BeNumerically("~", 8, 0.01))
	})

	It("does not change while it is not utilized", func() {
		a := limit.NewAdaptive(8)
		completeCalls(a, epoch, 200, 1, 8*time.Millisecond, 0)
		Expect(a.Limit()).To(BeNumerically("~", 4, 0.01))
	})

	It("decreases to 1 and not below when the upstream fails calls", func() {
		a := limit.NewAdaptive(8)
		now := epoch
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			a.Start()
			a.Failed(now)
		}
		Expect(a.Limit()).To(BeNumerically("~", 1, 0.01))
		Expect(a.IsFull()).To(BeFalse())
		a.Start()
		Expect(a.IsFull()).To(BeTrue())
	})

	It("decreases below 1 when the upstream refuses calls", func() {
		a := limit.NewAdaptive(8)
		now := epoch
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			a.Start()
			a.Shed(now)
		}
		Expect(a.Limit()).To(BeNumerically("~", 0.1, 0.01))
		Expect(a.IsFull()).To(BeFalse())
	})

	It("increases again on successful responses without a latency", func() {
		a := limit.NewAdaptive(8)
		now := epoch
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			a.Start()
			a.Failed(now)
		}
		for range 200 {
			for range 8 {
				a.Start()
			}
			for range 8 {
				a.Succeeded()
			}
		}
		Expect(a.Limit()).To(BeNumerically("~", 8, 0.01))
	})

	It("decreases once for a burst of refusals", func() {
		a := limit.NewAdaptive(100)
		completeCalls(a, epoch, 5000, 100, 8*time.Millisecond, 0)
		high := a.Limit()
		for range 20 {
			a.Start()
			a.Shed(after(time.Hour))
		}
		Expect(a.Limit()).To(BeNumerically(">=", 0.6*high))
	})

	It("decreases below 1 while a queue slows responses down, and increases again afterwards", func() {
		a := limit.NewAdaptive(8)
		now := completeCalls(a, epoch, 200, 8, 8*time.Millisecond, 0)
		now = completeCalls(a, now, 400, 1, 80*time.Millisecond, 20)
		Expect(a.Limit()).To(BeNumerically("~", 0.1, 0.01))
		Expect(a.IsFull()).To(BeFalse(), "one call may always be in flight")
		completeCalls(a, now, 200, 8, 8*time.Millisecond, 0)
		Expect(a.Limit()).To(BeNumerically("~", 8, 0.01))
	})

	It("does not decrease below 1 when the upstream reports no queue length", func() {
		a := limit.NewAdaptive(8)
		now := completeCalls(a, epoch, 200, 8, 8*time.Millisecond, limit.NoQueueReport)
		completeCalls(a, now, 400, 1, 80*time.Millisecond, limit.NoQueueReport)
		Expect(a.Limit()).To(BeNumerically("~", 1, 0.01))
	})

	It("does not change when an upstream with an empty queue becomes slower", func() {
		a := limit.NewAdaptive(8)
		now := completeCalls(a, epoch, 200, 8, 8*time.Millisecond, 0)
		completeCalls(a, now, 400, 8, 80*time.Millisecond, 0)
		Expect(a.Limit()).To(BeNumerically("~", 8, 0.01))
	})

	It("does not mistake an hour of overload for the normal state", func() {
		a := limit.NewAdaptive(8)
		now := completeCalls(a, epoch, 200, 8, 8*time.Millisecond, 0)
		completeCalls(a, now, 50000, 1, 80*time.Millisecond, 20)
		Expect(a.Limit()).To(BeNumerically("~", 0.1, 0.01))
	})
})

var _ = Describe("TeamShares", func() {
	It("reserves a share for each team while another team causes an overload", func() {
		s := limit.NewTeamShares(100)
		s.AddTeam("asocrank")
		s.AddTeam("split")
		admitted := 0
		for range 1000 {
			if s.Admit("asocrank") {
				admitted++
			}
		}
		Expect(admitted).To(Equal(75), "its guaranteed quarter and the shared half")
		for range 25 {
			Expect(s.Admit("split")).To(BeTrue())
		}
		Expect(s.Admit("split")).To(BeFalse())
		s.Release("asocrank")
		Expect(s.Admit("split")).To(BeTrue(), "a slot of the shared capacity became free")
	})

	It("recounts the running calls when a team is added", func() {
		s := limit.NewTeamShares(100)
		s.AddTeam("asocrank")
		for range 100 {
			Expect(s.Admit("asocrank")).To(BeTrue())
		}
		s.AddTeam("split")
		for range 25 {
			Expect(s.Admit("split")).To(BeTrue())
		}
		for range 100 {
			s.Release("asocrank")
		}
		for range 75 - 25 {
			Expect(s.Admit("split")).To(BeTrue())
		}
		Expect(s.Admit("split")).To(BeFalse())
	})
})
