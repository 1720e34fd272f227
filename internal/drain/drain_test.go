package drain_test

import (
	"context"
	"sync"
	"sync/atomic"
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

var start = time.Unix(1_800_000_000, 0)

var _ = Describe("a call during a planned stop", func() {
	window := drain.NewWindow(start, drain.TimesWithin(6*time.Second, 2500*time.Millisecond))
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
		Entry("when its deadline is before the end", 4.9, 4.9, 5.2, true),
		Entry("not when its deadline is after the end", 4.9, 4.9, 5.4, false),
		Entry("not when its deadline is at the cut", 4.9, 4.9, 5.6, false),
		Entry("not when an early one has waited for too long", 4.8, 2.0, 30.0, false),
		Entry("when an early one is sent again in time", 4.4, 2.0, 30.0, true),
		Entry("not after the cut", 5.7, 1.0, 30.0, false),
	)
})

var _ = Describe("the window of a stop", func() {
	DescribeTable("ends the open calls in its last sixth and leaves time for their answers and the exit",
		func(total, lag, answers, exit time.Duration) {
			w := drain.NewWindow(start, drain.TimesWithin(total, lag))
			Expect(w.End).NotTo(BeTemporally("<", start.Add(total*5/6)))
			Expect(w.Cut.Sub(w.End)).To(Equal(answers))
			Expect(start.Add(total).Sub(w.Cut)).To(Equal(exit))
			Expect(w.Half).To(Equal(start.Add(total / 2)))
		},
		// 300 ms: 100 ms without a processor, 1,000 answers of 150 us, 50 ms for a slow reader.
		Entry("of 6 s", 6*time.Second, 2500*time.Millisecond, 300*time.Millisecond, 400*time.Millisecond),
		Entry("of 5 minutes", 5*time.Minute, 3*time.Second, 300*time.Millisecond, 400*time.Millisecond),
		Entry("of 3 s, shorter than twice its lag", 3*time.Second, 2500*time.Millisecond, 250*time.Millisecond, 250*time.Millisecond),
		Entry("of 1.2 s, shorter than its lag", 1200*time.Millisecond, 2500*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond),
	)

	It("has a lag of at most half of it", func() {
		Expect(drain.TimesWithin(6*time.Second, 2500*time.Millisecond).Lag).To(Equal(2500 * time.Millisecond))
		Expect(drain.TimesWithin(time.Second, 2500*time.Millisecond).Lag).To(Equal(500 * time.Millisecond))
	})
})

var _ = Describe("the context of a call", func() {
	var ending context.Context
	var end func()
	BeforeEach(func() {
		ending, end = context.WithCancel(context.Background())
		DeferCleanup(end)
	})

	It("ends when the calls do", func() {
		ctx, release := drain.WithEnd(context.Background(), ending)
		defer release()
		Expect(drain.IsEnded(ctx)).To(BeFalse())
		end()
		<-ctx.Done()
		Expect(drain.IsEnded(ctx)).To(BeTrue())
		Expect(drain.BeginAnswer(ctx)).To(BeFalse())
	})

	It("does not end once its answer has begun", func() {
		ctx, release := drain.WithEnd(context.Background(), ending)
		defer release()
		Expect(drain.BeginAnswer(ctx)).To(BeTrue())
		end()
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})

	It("tells a caller who left from the end", func() {
		caller, leave := context.WithCancel(context.Background())
		ctx, release := drain.WithEnd(caller, ending)
		defer release()
		leave()
		<-ctx.Done()
		end()
		Expect(drain.IsEnded(ctx)).To(BeFalse())
	})

	It("has an answer that may begin where nothing ends the calls", func() {
		Expect(drain.BeginAnswer(context.Background())).To(BeTrue())
	})
})

var _ = Describe("the end of a call", func() {
	It("is known at once, also before the call's context has ended", func() {
		ending, endAll := context.WithCancel(context.Background())
		ctx, release := drain.WithEnd(context.Background(), unheard{ending})
		defer release()
		Expect(drain.IsEnded(ctx)).To(BeFalse())
		endAll()
		Expect(drain.IsEnded(ctx)).To(BeTrue())
		Expect(drain.BeginAnswer(ctx)).To(BeFalse())
	})

	It("is known to all who ask while it comes", func() {
		for range 2000 {
			ending, endAll := context.WithCancel(context.Background())
			ctx, release := drain.WithEnd(context.Background(), ending)
			endAll()
			var unaware atomic.Int32
			var asking sync.WaitGroup
			for range 8 {
				asking.Go(func() {
					if !drain.IsEnded(ctx) {
						unaware.Add(1)
					}
				})
			}
			asking.Wait()
			Expect(unaware.Load()).To(BeZero())
			release()
		}
	})

	It("doesn't reach a call whose answer has begun", func() {
		ending, endAll := context.WithCancel(context.Background())
		ctx, release := drain.WithEnd(context.Background(), ending)
		defer release()
		Expect(drain.BeginAnswer(ctx)).To(BeTrue())
		Expect(drain.BeginAnswer(ctx)).To(BeFalse())
		endAll()
		Expect(drain.IsEnded(ctx)).To(BeFalse())
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})
})

// unheard is a context that never closes its channel.
type unheard struct{ context.Context }

func (unheard) Done() <-chan struct{} { return make(chan struct{}) }
