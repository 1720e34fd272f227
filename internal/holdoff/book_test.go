package holdoff_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/holdoff"
)

// epoch is when the tests begin.
var epoch = time.Unix(1000, 0)

func newBook() *holdoff.Book {
	b := holdoff.New()
	b.SetUpstreams(epoch, map[string]string{"a": "a@1", "b": "b@1"})
	return b
}

func TestRestEndsWithItsTime(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.Rest(epoch, "a", 3*time.Second)
	g.Expect(b.HeldOff(epoch.Add(2999 * time.Millisecond))).To(Equal([]string{"a"}))
	g.Expect(b.HeldOff(epoch.Add(3 * time.Second))).To(BeEmpty())
}

func TestShorterRestDoesNotEndALongerOne(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.Rest(epoch, "a", 3*time.Second)
	b.Rest(epoch.Add(time.Second), "a", time.Second)
	g.Expect(b.IsResting(epoch.Add(2900*time.Millisecond), "a")).To(BeTrue())
}

// TestNoRestHasMoreThanTwoSends sends whenever it may to an upstream that asks for rests of
// random lengths or none.
func TestNoRestHasMoreThanTwoSends(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		b := newBook()
		type window struct{ from, until time.Time }
		var windows []window
		var sends []time.Time
		for now := epoch; now.Before(epoch.Add(3 * time.Hour)); now = now.Add(100 * time.Millisecond) {
			if wait, _ := b.Wait(now, "a"); wait > 0 {
				continue
			}
			b.Sent(now, "a")
			sends = append(sends, now)
			if random.IntN(4) > 0 {
				length := time.Duration(random.ExpFloat64() * float64(10*time.Minute))
				b.Rest(now, "a", length)
				windows = append(windows, window{now, now.Add(length)})
			}
		}
		for _, w := range windows {
			count := 0
			for _, at := range sends {
				if at.After(w.from) && at.Before(w.until) {
					count++
				}
			}
			if count > 2 {
				t.Fatalf("seed %d: %d sends in a rest of %s", seed, count, w.until.Sub(w.from))
			}
		}
	}
}

func TestRestOfAnHourIsTriedBeforeItsEnd(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.Rest(epoch, "a", time.Hour)
	wait, ok := b.Wait(epoch, "a")
	g.Expect(ok).To(BeTrue())
	g.Expect(wait).To(BeNumerically("<", time.Hour))
	g.Expect(b.HeldOff(epoch.Add(wait))).To(BeEmpty())
	g.Expect(b.IsResting(epoch.Add(wait), "a")).To(BeTrue())
}

func TestLeavingEndsWithANewStartOnly(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	g.Expect(b.Leave("a")).To(BeTrue())
	g.Expect(b.Leave("a")).To(BeFalse())
	now := epoch
	for range 1000 {
		now = now.Add(time.Minute)
		b.SetUpstreams(now, map[string]string{"a": "a@1", "b": "b@1"})
	}
	g.Expect(b.HeldOff(now)).To(Equal([]string{"a"}))
	b.SetUpstreams(now, map[string]string{"b": "b@1"})
	b.SetUpstreams(now.Add(time.Minute), map[string]string{"a": "a@1", "b": "b@1"})
	g.Expect(b.HeldOff(now.Add(time.Minute))).To(Equal([]string{"a"}), "its entry came back")
	b.SetUpstreams(now.Add(time.Minute), map[string]string{"a": "a@2", "b": "b@1"})
	g.Expect(b.HeldOff(now.Add(time.Minute))).To(BeEmpty())
}

func TestLeavingProcessesThatAreGoneAreForgotten(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.Leave("a")
	b.SetUpstreams(epoch, map[string]string{"b": "b@1"})
	b.SetUpstreams(epoch.Add(time.Hour), map[string]string{"b": "b@1"})
	b.SetUpstreams(epoch.Add(time.Hour), map[string]string{"a": "a@1", "b": "b@1"})
	g.Expect(b.IsLeaving("a")).To(BeFalse())
}

func TestSoonestWait(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.Rest(epoch, "a", 3*time.Second)
	wait, ok := b.SoonestWait(epoch)
	g.Expect(ok).To(BeTrue())
	g.Expect(wait).To(BeZero())
	b.Rest(epoch, "b", 2*time.Second)
	wait, _ = b.SoonestWait(epoch.Add(time.Second))
	g.Expect(wait).To(Equal(time.Second))
	b.Leave("b")
	wait, _ = b.SoonestWait(epoch.Add(time.Second))
	g.Expect(wait).To(Equal(2 * time.Second))
	b.Leave("a")
	_, ok = b.SoonestWait(epoch)
	g.Expect(ok).To(BeFalse())
}

func TestUpstreamThatAsksForRestAgainAndAgainIsAvoidedWhileThereAreOthers(t *testing.T) {
	g := NewWithT(t)
	b := newBook()
	b.Rest(epoch, "a", time.Second)
	now := epoch.Add(time.Second)
	g.Expect(b.HeldOff(now)).To(BeEmpty())
	b.Rest(now, "a", time.Second)
	now = now.Add(1500 * time.Millisecond)
	g.Expect(b.HeldOff(now)).To(Equal([]string{"a"}))
	b.Rest(now, "b", time.Minute)
	g.Expect(b.HeldOff(now)).To(Equal([]string{"b"}), "there is no other")
	b.Answered("a")
	b.Rest(now, "a", time.Second)
	g.Expect(b.HeldOff(now.Add(time.Second))).To(Equal([]string{"b"}))
}
