package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/limit"
)

// answer makes calls with the given number in flight at once.
func answer(a *limit.Adaptive, from time.Time, calls, inFlight int, latency time.Duration, queued int) time.Time {
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
	It("rises while it is used and answers stay fast, up to the highest", func() {
		a := limit.NewAdaptive(8)
		answer(a, epoch, 200, 8, 8*time.Millisecond, 0)
		Expect(a.Limit()).To(BeNumerically("~", 8, 0.01))
	})

	It("stays when it is not used", func() {
		a := limit.NewAdaptive(8)
		answer(a, epoch, 200, 1, 8*time.Millisecond, 0)
		Expect(a.Limit()).To(BeNumerically("~", 4, 0.01))
	})

	It("falls to one, and not below, when the upstream fails calls", func() {
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

	It("falls below one when the upstream refuses calls", func() {
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

	It("rises again by answers whose time says nothing", func() {
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

	It("cuts once for a burst of refusals", func() {
		a := limit.NewAdaptive(100)
		answer(a, epoch, 5000, 100, 8*time.Millisecond, 0)
		high := a.Limit()
		for range 20 {
			a.Start()
			a.Shed(after(time.Hour))
		}
		Expect(a.Limit()).To(BeNumerically(">=", 0.6*high))
	})

	It("falls below one while a queue makes answers slow, and rises again after", func() {
		a := limit.NewAdaptive(8)
		now := answer(a, epoch, 200, 8, 8*time.Millisecond, 0)
		now = answer(a, now, 400, 1, 80*time.Millisecond, 20)
		Expect(a.Limit()).To(BeNumerically("~", 0.1, 0.01))
		Expect(a.IsFull()).To(BeFalse(), "one call may always be in flight")
		answer(a, now, 200, 8, 8*time.Millisecond, 0)
		Expect(a.Limit()).To(BeNumerically("~", 8, 0.01))
	})

	It("keeps one when the upstream reports nothing", func() {
		a := limit.NewAdaptive(8)
		now := answer(a, epoch, 200, 8, 8*time.Millisecond, limit.NoQueueReport)
		answer(a, now, 400, 1, 80*time.Millisecond, limit.NoQueueReport)
		Expect(a.Limit()).To(BeNumerically("~", 1, 0.01))
	})

	It("stays when an upstream without a queue becomes slower", func() {
		a := limit.NewAdaptive(8)
		now := answer(a, epoch, 200, 8, 8*time.Millisecond, 0)
		answer(a, now, 400, 8, 80*time.Millisecond, 0)
		Expect(a.Limit()).To(BeNumerically("~", 8, 0.01))
	})

	It("does not take an hour of overload for the normal state", func() {
		a := limit.NewAdaptive(8)
		now := answer(a, epoch, 200, 8, 8*time.Millisecond, 0)
		answer(a, now, 50000, 1, 80*time.Millisecond, 20)
		Expect(a.Limit()).To(BeNumerically("~", 0.1, 0.01))
	})
})

var _ = Describe("TeamShares", func() {
	It("leaves each team its own share during another's rush", func() {
		s := limit.NewTeamShares(100)
		s.AddTeam("asocrank")
		s.AddTeam("split")
		admitted := 0
		for range 1000 {
			if s.Enter("asocrank") {
				admitted++
			}
		}
		Expect(admitted).To(Equal(75), "its own quarter and the common half")
		for range 25 {
			Expect(s.Enter("split")).To(BeTrue())
		}
		Expect(s.Enter("split")).To(BeFalse())
		s.Leave("asocrank")
		Expect(s.Enter("split")).To(BeTrue(), "a common place came free")
	})

	It("counts on when a team is added", func() {
		s := limit.NewTeamShares(100)
		s.AddTeam("asocrank")
		for range 100 {
			Expect(s.Enter("asocrank")).To(BeTrue())
		}
		s.AddTeam("split")
		for range 25 {
			Expect(s.Enter("split")).To(BeTrue())
		}
		for range 100 {
			s.Leave("asocrank")
		}
		for range 75 - 25 {
			Expect(s.Enter("split")).To(BeTrue())
		}
		Expect(s.Enter("split")).To(BeFalse())
	})
})
