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

// after returns the virtual time at the given duration after epoch.
func after(d time.Duration) time.Time {
	return epoch.Add(d)
}

// newAdmission returns an Admission that has observed a service time of 10 ms in
// each class.
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
	It("refuses calls above each limit with the matching error", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 1, Queue: 1}, limit.Class{Name: booking, Concurrency: 1})
		_, err := a.Arrive(epoch, lookup, after(time.Second))
		Expect(err).NotTo(HaveOccurred())
		waiting, err := a.Arrive(epoch, lookup, after(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(waiting.IsRunning()).To(BeFalse())
		_, err = a.Arrive(epoch, lookup, after(time.Second))
		Expect(err).To(MatchError(limit.ErrQueueFull))
		_, err = a.Arrive(epoch, booking, after(time.Second))
		Expect(err).NotTo(HaveOccurred(), "each class has its own limit")
		_, err = a.Arrive(epoch, booking, after(time.Second))
		Expect(err).To(MatchError(limit.ErrConcurrency))
	})

	It("refuses a call immediately if it would wait too long relative to its deadline", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 1, Queue: 100})
		admitted := 0
		for range 100 {
			if _, err := a.Arrive(epoch, lookup, after(time.Second)); err == nil {
				admitted++
			} else {
				Expect(err).To(MatchError(limit.ErrDeadline))
			}
		}
		Expect(admitted).To(Equal(11), "one call runs, and ten calls of 10 ms take 10% of the 1 s deadline")
	})

	It("refuses to start a call that can't meet its deadline, unless no call is running", func() {
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

	It("admits queued calls in FIFO order", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 1, Queue: 10})
		running, _ := a.Arrive(epoch, lookup, after(time.Second))
		old, err := a.Arrive(epoch, lookup, after(110*time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
		next, err := a.Arrive(epoch, lookup, after(time.Second))
		Expect(err).NotTo(HaveOccurred())
		decided := a.Done(after(105*time.Millisecond), running, false)
		Expect(decided).To(Equal([]*limit.Ticket{old}), "an idle class admits a call even if it may miss its deadline")
		decided = a.Done(after(115*time.Millisecond), old, false)
		Expect(decided).To(Equal([]*limit.Ticket{next}))
		Expect(next.IsRunning()).To(BeTrue())
	})

	It("shares the capacity in proportion to the limits of the classes", func() {
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

	It("admits queued calls when the capacity grows", func() {
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

	It("spreads the retries of refused callers over a longer time under higher load", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 1, Queue: 1})
		idle := a.RetryAfter(epoch, lookup)
		Expect(idle).To(BeNumerically(">=", time.Second))
		Expect(idle).To(BeNumerically("<", 2*time.Second))
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

	It("drops a call that left the queue", func() {
		a := newAdmission(limit.Class{Name: lookup, Concurrency: 1, Queue: 2})
		running, _ := a.Arrive(epoch, lookup, after(time.Second))
		gone, _ := a.Arrive(epoch, lookup, after(time.Second))
		stays, _ := a.Arrive(epoch, lookup, after(time.Second))
		Expect(a.Cancel(gone)).To(BeTrue())
		Expect(a.Done(after(time.Millisecond), running, true)).To(Equal([]*limit.Ticket{stays}))
		Expect(a.Cancel(stays)).To(BeFalse())
		Expect(a.Done(after(time.Millisecond), gone, true)).To(BeEmpty())
		Expect(a.Running()).To(Equal(1))
	})
})
