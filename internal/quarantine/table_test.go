package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/quarantine"
)

// play is a Table with a clock of its own.
type play struct {
	*quarantine.Table
	now    time.Time
	events []quarantine.EventKind
}

func newPlay() *play {
	p := &play{now: time.Unix(1000, 0)}
	p.Table = quarantine.NewTable(func(e quarantine.Event) { p.events = append(p.events, e.Kind) })
	return p
}

// end sends a request to an upstream that ends under it.
func (p *play) end(d quarantine.Identity, process string) {
	sent := p.Sent(p.now, d, process)
	p.now = p.now.Add(50 * time.Millisecond)
	p.Done(p.now, sent, quarantine.ResultEnded)
}

// complete sends a request to an upstream that responds.
func (p *play) complete(d quarantine.Identity, process string) {
	sent := p.Sent(p.now, d, process)
	p.now = p.now.Add(50 * time.Millisecond)
	p.Done(p.now, sent, quarantine.ResultCompleted)
}

func (p *play) admit(d quarantine.Identity, kind quarantine.SendKind) quarantine.Verdict {
	return p.Admit(p.now, d, kind, true)
}

// deadly and harmless identify two requests.
var deadly, harmless = identityOf(quarantine.Head{Path: "/deadly"}), identityOf(quarantine.Head{Path: "/harmless"})

func TestRequestIsHeldAfterThreeUpstreamsHaveEnded(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range quarantine.MaxEnded {
		g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.Allow))
		p.end(deadly, fmt.Sprint("u", i))
	}
	g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld))
	g.Expect(p.admit(harmless, quarantine.First)).To(Equal(quarantine.Allow))
	p.now = p.now.Add(1000 * time.Hour)
	p.Prune(p.now)
	g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld), "without an end in time")
}

func TestSameUpstreamProcessCountsOnce(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for range 5 {
		p.end(deadly, "u0")
	}
	g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.Allow))
}

func TestCompleteResponseClearsASuspect(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range 10 {
		p.end(harmless, fmt.Sprint("a", i))
		p.end(harmless, fmt.Sprint("b", i))
		p.complete(harmless, "c")
	}
	g.Expect(p.admit(harmless, quarantine.Hedge)).To(Equal(quarantine.Allow))
}

func TestUpstreamsThatEndTogetherCountOnce(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	var sends []*quarantine.Send
	for i := range 5 {
		sends = append(sends, p.Sent(p.now, harmless, fmt.Sprint("u", i)))
	}
	for _, sent := range sends {
		p.now = p.now.Add(time.Millisecond)
		p.Done(p.now, sent, quarantine.ResultEnded)
	}
	g.Expect(p.admit(harmless, quarantine.First)).To(Equal(quarantine.Allow))
	g.Expect(p.Suspects()[0].Ended).To(HaveLen(1))
}

func TestSuspectIsSentOneAfterTheOtherAndNeverHedged(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	p.end(deadly, "u0")
	g.Expect(p.admit(deadly, quarantine.Hedge)).To(Equal(quarantine.RefuseBusy))
	g.Expect(p.admit(deadly, quarantine.Retry)).To(Equal(quarantine.Allow), "one end may be a coincidence")
	sent := p.Sent(p.now, deadly, "u1")
	g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.Wait))
	g.Expect(p.admit(deadly, quarantine.Retry)).To(Equal(quarantine.RefuseBusy))
	g.Expect(p.Admit(p.now, deadly, quarantine.First, false)).To(Equal(quarantine.Allow), "one end withholds nothing for longer")
	p.now = p.now.Add(time.Millisecond)
	p.Done(p.now, sent, quarantine.ResultEnded)
	g.Expect(p.admit(deadly, quarantine.Retry)).To(Equal(quarantine.RefuseBusy))
	p.Sent(p.now, deadly, "u2")
	g.Expect(p.Admit(p.now, deadly, quarantine.First, false)).To(Equal(quarantine.RefuseBusy))
}

func TestBrokenSendCountsOnlyIfTheUpstreamHasRestarted(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range 5 {
		p.Done(p.now, p.Sent(p.now, deadly, fmt.Sprint("u", i)), quarantine.ResultBroken)
	}
	g.Expect(p.Suspects()).To(BeEmpty())
	p.Restarted(p.now, "u3")
	g.Expect(p.Suspects()).To(HaveLen(2))
	p.now = p.now.Add(time.Minute)
	p.Restarted(p.now, "u4")
	g.Expect(p.Suspects()[0].Ended).To(Equal([]string{"u3"}), "it restarted for another reason")
}

func TestAnswerOfAnUpstreamThatCountedAsEndedTakesTheEndBack(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range quarantine.MaxEnded {
		p.end(harmless, fmt.Sprint("u", i))
	}
	before := p.now
	p.now = p.now.Add(time.Second)
	p.Answered(p.now, "u2", before.Add(-time.Millisecond))
	g.Expect(p.admit(harmless, quarantine.First)).To(Equal(quarantine.RefuseHeld), "the answer is older than the end")
	p.Answered(p.now, "u2", before.Add(time.Millisecond))
	g.Expect(p.admit(harmless, quarantine.First)).To(Equal(quarantine.Allow))
	g.Expect(p.Suspects()[0].Ended).To(Equal([]string{"u0", "u1"}))
}

func TestHeldRequestIsTriedThreeTimesInAll(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range quarantine.MaxEnded {
		p.end(deadly, fmt.Sprint("u", i))
	}
	g.Expect(p.RetryAfter(p.now, deadly)).To(Equal(10 * time.Minute))
	trials := 0
	for i := range 40 {
		p.now = p.now.Add(12 * time.Hour)
		g.Expect(p.admit(deadly, quarantine.Retry)).To(Equal(quarantine.RefuseHeld))
		g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld), "not yet reserved")
		for _, wanted := range p.WantedTrials() {
			p.TrialReserved(p.now, wanted, true)
		}
		if p.admit(deadly, quarantine.First) == quarantine.Allow {
			trials++
			p.end(deadly, fmt.Sprint("t", i))
		}
		g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld))
	}
	g.Expect(trials).To(Equal(quarantine.MaxLateSends))
}

func TestTrialThatAnotherVMReservedIsNotMade(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range quarantine.MaxEnded {
		p.end(deadly, fmt.Sprint("u", i))
	}
	p.now = p.now.Add(time.Hour)
	p.admit(deadly, quarantine.First)
	p.TrialReserved(p.now, p.WantedTrials()[0], false)
	g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld))
	g.Expect(p.WantedTrials()).To(BeEmpty())
}

func TestCompleteTrialEndsTheHold(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range quarantine.MaxEnded {
		p.end(harmless, fmt.Sprint("u", i))
	}
	p.now = p.now.Add(time.Hour)
	p.admit(harmless, quarantine.First)
	p.TrialReserved(p.now, p.WantedTrials()[0], true)
	p.complete(harmless, "u9")
	g.Expect(p.admit(harmless, quarantine.First)).To(Equal(quarantine.Allow))
	g.Expect(p.events[len(p.events)-1]).To(Equal(quarantine.Cleared))
}

func TestFullTableForgetsTheLeastDangerousFirst(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range quarantine.MaxEnded {
		p.end(deadly, fmt.Sprint("u", i))
	}
	for i := range 5000 {
		p.end(identityOf(quarantine.Head{Path: fmt.Sprint(i)}), "v")
	}
	g.Expect(len(p.Suspects())).To(BeNumerically("<=", 512))
	g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld))
}

func TestSuspectThatIsNotHeldIsForgottenAfterAnHour(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	p.end(harmless, "u0")
	p.now = p.now.Add(time.Hour)
	p.Prune(p.now)
	g.Expect(p.Suspects()).To(BeEmpty())
}

// from returns the identity of the deadly request from a caller.
func from(caller string) quarantine.Identity {
	return identityOf(quarantine.Head{Path: "/deadly", Caller: caller})
}

func TestRequestFromChangingAddressesIsHeld(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range quarantine.MaxEnded {
		g.Expect(p.admit(from(fmt.Sprint(i)), quarantine.First)).To(Equal(quarantine.Allow))
		p.end(from(fmt.Sprint(i)), fmt.Sprint("u", i))
	}
	g.Expect(p.admit(from("another"), quarantine.First)).To(Equal(quarantine.RefuseHeld))
}

func TestRequestThatIsDeadlyForOneCallerOnlyIsHeldForThatCaller(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range quarantine.MaxEnded {
		p.end(from("a"), fmt.Sprint("u", i))
		g.Expect(p.admit(from("b"), quarantine.Hedge)).To(Equal(quarantine.Allow))
		p.complete(from("b"), "v")
	}
	g.Expect(p.admit(from("a"), quarantine.First)).To(Equal(quarantine.RefuseHeld))
	g.Expect(p.admit(from("b"), quarantine.First)).To(Equal(quarantine.Allow))
}

func TestCallersOfSeveralVMsAddUp(t *testing.T) {
	g := NewWithT(t)
	a, b, c := newPlay(), newPlay(), newPlay()
	for i, vm := range []*play{a, b, c} {
		vm.end(from(fmt.Sprint(i)), fmt.Sprint("u", i))
	}
	tell(a, c)
	tell(b, c)
	g.Expect(c.admit(from("another"), quarantine.First)).To(Equal(quarantine.RefuseHeld))
}

func TestRequestThatCompletedLatelyIsHeldAfterMoreEnds(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	p.complete(harmless, "u")
	for i := range quarantine.MaxEnded {
		p.end(harmless, fmt.Sprint("u", i))
	}
	g.Expect(p.admit(harmless, quarantine.First)).To(Equal(quarantine.Allow))
	for i := range quarantine.MaxLateSends {
		p.now = p.now.Add(time.Minute)
		p.end(harmless, fmt.Sprint("v", i))
	}
	g.Expect(p.admit(harmless, quarantine.First)).To(Equal(quarantine.RefuseHeld))
}
