package limit_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/limit"
)

const (
	lookup  = "lookup"
	booking = "booking"
)

// after returns a moment of virtual time.
func after(d time.Duration) time.Time {
	return epoch.Add(d)
}

// newAdmission returns an Admission that has seen calls of 10 ms.
func newAdmission(classes ...limit.Class) *limit.Admission {
	a := limit.NewAdmission(rand.New(rand.NewPCG(1, 2)))
	a.SetClasses(epoch, classes)
	for range 200 {
		for _, c := range classes {
			t, err := a.Arrive(epoch, c.Name, after(time.Second))
			Expect(err).NotTo(HaveOccurred())
			a.Done(after(10*time.Millisecond), t, true)
		}
	}
	return a
}

var _ = Describe("Admission", func() {
	It("refuses above the limits, each with its reason", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 1, Queue: 1}, limit.Class{Name: booking, Concurrency: 1})
		_, err := a.Arrive(epoch, lookup, after(time.Second))
		Expect(err).NotTo(HaveOccurred())
		waiting, err := a.Arrive(epoch, lookup, after(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(waiting.IsRunning()).To(BeFalse())
		_, err = a.Arrive(epoch, lookup, after(time.Second))
		Expect(err).To(MatchError(limit.ErrQueueFull))
		_, err = a.Arrive(epoch, booking, after(time.Second))
		Expect(err).NotTo(HaveOccurred(), "another class has its own limit")
		_, err = a.Arrive(epoch, booking, after(time.Second))
		Expect(err).To(MatchError(limit.ErrConcurrency))
	})

	It("refuses at once what would wait too much of its time", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 1, Queue: 100})
		admitted := 0
		for range 100 {
			if _, err := a.Arrive(epoch, lookup, after(time.Second)); err == nil {
				admitted++
			} else {
				Expect(err).To(MatchError(limit.ErrDeadline))
			}
		}
		Expect(admitted).To(Equal(11), "one runs, and ten calls of 10 ms take a tenth of a second")
	})

	It("refuses a running place to a call that can't be answered in time, but always tries one", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 4})
		first, err := a.Arrive(epoch, lookup, after(5*time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
		_, err = a.Arrive(epoch, lookup, after(5*time.Millisecond))
		Expect(err).To(MatchError(limit.ErrDeadline))
		for range 100 {
			a.Done(after(time.Millisecond), first, true)
			first, err = a.Arrive(epoch, lookup, after(5*time.Millisecond))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = a.Arrive(epoch, lookup, after(5*time.Millisecond))
		Expect(err).NotTo(HaveOccurred(), "the service became faster")
	})

	It("admits the oldest first and refuses one whose time has run out", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 1, Queue: 10})
		running, _ := a.Arrive(epoch, lookup, after(time.Second))
		old, err := a.Arrive(epoch, lookup, after(110*time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
		next, err := a.Arrive(epoch, lookup, after(time.Second))
		Expect(err).NotTo(HaveOccurred())
		decided := a.Done(after(105*time.Millisecond), running, false)
		Expect(decided).To(Equal([]*limit.Ticket{old}), "an idle class takes a call even if it may be late")
		decided = a.Done(after(115*time.Millisecond), old, false)
		Expect(decided).To(Equal([]*limit.Ticket{next}))
		Expect(next.IsRunning()).To(BeTrue())
	})

	It("shares the capacity by the classes' limits", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 30, Queue: 100},
			limit.Class{Name: booking, Concurrency: 10, Queue: 100})
		a.SetCapacity(epoch, 4)
		running := map[string]int{}
		var tickets []*limit.Ticket
		names := map[*limit.Ticket]string{}
		for _, name := range []string{lookup, booking} {
			for range 50 {
				t, err := a.Arrive(epoch, name, after(10*time.Second))
				Expect(err).NotTo(HaveOccurred())
				names[t] = name
				if t.IsRunning() {
					tickets = append(tickets, t)
				}
			}
		}
		Expect(tickets).To(HaveLen(4))
		for range 40 {
			decided := a.Done(after(10*time.Millisecond), tickets[0], true)
			Expect(decided).To(HaveLen(1))
			tickets = append(tickets[1:], decided[0])
			running[names[decided[0]]]++
		}
		Expect(running[booking]).To(BeNumerically("~", 10, 3))
	})

	It("admits waiting calls when the capacity grows", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 8, Queue: 8})
		a.SetCapacity(epoch, 0)
		for range 4 {
			_, err := a.Arrive(epoch, lookup, after(time.Second))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(a.Running()).To(Equal(1))
		Expect(a.SetCapacity(epoch, 3)).To(HaveLen(2))
		Expect(a.Waiting()).To(Equal(1))
	})

	It("tells refused callers to come back later and spread out under more load", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 1, Queue: 1})
		calm := a.RetryAfter(epoch, lookup)
		Expect(calm).To(BeNumerically(">=", time.Second))
		Expect(calm).To(BeNumerically("<", 2*time.Second))
		for range 1000 {
			_, _ = a.Arrive(epoch, lookup, after(time.Second))
		}
		seen := map[time.Duration]bool{}
		longest := time.Duration(0)
		for range 100 {
			wait := a.RetryAfter(epoch, lookup)
			seen[wait.Round(100*time.Millisecond)] = true
			longest = max(longest, wait)
		}
		Expect(len(seen)).To(BeNumerically(">", 30))
		Expect(longest).To(BeNumerically("~", 11*time.Second, time.Second), "1000 calls of 10 ms take 10 s")
	})

	It("forgets a caller that left the queue", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 1, Queue: 2})
		running, _ := a.Arrive(epoch, lookup, after(time.Second))
		gone, _ := a.Arrive(epoch, lookup, after(time.Second))
		stays, _ := a.Arrive(epoch, lookup, after(time.Second))
		Expect(a.Leave(gone)).To(BeTrue())
		Expect(a.Done(after(time.Millisecond), running, true)).To(Equal([]*limit.Ticket{stays}))
		Expect(a.Leave(stays)).To(BeFalse())
		Expect(a.Done(after(time.Millisecond), gone, true)).To(BeEmpty())
		Expect(a.Running()).To(Equal(1))
	})
})
