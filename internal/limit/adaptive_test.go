package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/limit"
)

// answer makes calls with the given number in flight at once.
func answer(a *limit.Adaptive, from time.Time, calls, inFlight int, latency time.Duration) time.Time {
	for range calls {
		from = from.Add(latency / time.Duration(inFlight))
		for range inFlight {
			a.Start()
		}
		a.Answered(from, latency)
		for range inFlight - 1 {
			a.Cancelled()
		}
	}
	return from
}

var _ = Describe("Adaptive", func() {
	It("rises while it is used and answers stay fast, up to the highest", func() {
		a := limit.NewAdaptive(8)
		answer(a, epoch, 200, 8, 8*time.Millisecond)
		Expect(a.Limit()).To(Equal(8))
	})

	It("stays when it is not used", func() {
		a := limit.NewAdaptive(8)
		answer(a, epoch, 200, 1, 8*time.Millisecond)
		Expect(a.Limit()).To(Equal(4))
	})

	It("falls to one, and not below, when the upstream refuses calls", func() {
		a := limit.NewAdaptive(8)
		now := epoch
		for range 50 {
			now = now.Add(20 * time.Millisecond)
			a.Start()
			a.Refused(now)
		}
		Expect(a.Limit()).To(Equal(1))
		Expect(a.IsFull()).To(BeFalse())
		a.Start()
		Expect(a.IsFull()).To(BeTrue())
	})

	It("cuts once for a burst of refusals", func() {
		a := limit.NewAdaptive(100)
		answer(a, epoch, 5000, 100, 8*time.Millisecond)
		high := a.Limit()
		for range 20 {
			a.Start()
			a.Refused(after(time.Hour))
		}
		Expect(a.Limit()).To(BeNumerically(">=", high*6/10))
	})

	It("falls when answers become slow, and rises again after", func() {
		a := limit.NewAdaptive(8)
		now := answer(a, epoch, 200, 8, 8*time.Millisecond)
		now = answer(a, now, 200, 8, 80*time.Millisecond)
		Expect(a.Limit()).To(Equal(1))
		answer(a, now, 400, 4, 8*time.Millisecond)
		Expect(a.Limit()).To(Equal(8))
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
