package loadbalancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// placing is a balancer with upstreams u0, u1, … of two slots, the even ones in
// zone a and the odd ones in zone b, that has learned a unit of 60 ms.
type placing struct {
	*loadbalancer.Balancer
	now time.Time
}

const placeUnit = 60 * time.Millisecond

func newPlacing(count int) *placing {
	p := &placing{
		Balancer: loadbalancer.New(loadbalancer.Options{
			VM: "vm", Zone: "a", WarmUp: 1500 * time.Millisecond, MinWarmth: 0.5,
		}, rand.New(rand.NewPCG(1, 2))),
		now: time.Unix(1000, 0),
	}
	var upstreams []loadbalancer.Upstream
	for i := range count {
		upstreams = append(upstreams, loadbalancer.Upstream{
			Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: string(rune('a' + i%2)), Slots: 2,
		})
	}
	p.SetUpstreams(p.now, upstreams)
	p.now = p.now.Add(time.Second)
	for range 80 {
		p.report("u0", 0, 1)
		choice, verdict := p.place("a", time.Second)
		if verdict != loadbalancer.Send {
			panic("not placed")
		}
		p.Sent(p.now, choice)
		p.now = p.now.Add(placeUnit)
		p.Done(p.now, choice, loadbalancer.Result{Latency: placeUnit})
	}
	return p
}

// report is what an upstream answers to a question.
func (p *placing) report(name string, running int, slowness float64) {
	p.Probed(p.now, name, loadbalancer.ProbeResult{
		Sent: p.now, Healthy: true, HasReport: true,
		Report: callheader.Report{Running: running, Slowness: slowness},
	})
}

func (p *placing) place(zone string, objective time.Duration) (loadbalancer.Choice, loadbalancer.Verdict) {
	return p.Place(p.now, loadbalancer.Request{Zone: zone},
		loadbalancer.TimeLeft{Objective: objective, Deadline: 4 * max(objective, 200*time.Millisecond)})
}

func TestUnitIsLearned(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newPlacing(2).Unit()).To(BeNumerically("~", placeUnit, placeUnit/20))
}

// TestUnitSurvivesAnswersOfSlowPhases plays answers of which a quarter took
// seven times as long because their upstream turned slow, the first ones among
// them.
func TestUnitSurvivesAnswersOfSlowPhases(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(2)
	for i := range 200 {
		p.report("u0", 0, 1)
		choice, _ := p.place("a", 10*time.Second)
		p.Sent(p.now, choice)
		latency := placeUnit
		if i%4 == 0 {
			latency = 7 * placeUnit
		}
		p.now = p.now.Add(latency)
		p.Done(p.now, choice, loadbalancer.Result{Latency: latency})
	}
	g.Expect(p.Unit()).To(BeNumerically("~", placeUnit, placeUnit/10))
}

func TestCallGoesToTheUpstreamThatIsFastNow(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(4)
	for name, slowness := range map[string]float64{"u0": 7, "u1": 1, "u2": 7, "u3": 7} {
		p.report(name, 0, slowness)
	}
	choice, verdict := p.place("a", 200*time.Millisecond)
	g.Expect(verdict).To(Equal(loadbalancer.Send))
	g.Expect(choice.Name).To(Equal("u1"))
}

func TestCallWaitsWhileUpstreamsAreFullOrSlow(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(3)
	p.report("u0", 2, 1)
	p.report("u1", 2, 1)
	p.report("u2", 0, 7)
	_, verdict := p.place("a", 200*time.Millisecond)
	g.Expect(verdict).To(Equal(loadbalancer.Wait), "two are full and one is too slow")
	p.report("u1", 1, 1)
	choice, verdict := p.place("a", 200*time.Millisecond)
	g.Expect(verdict).To(Equal(loadbalancer.Send))
	g.Expect(choice.Name).To(Equal("u1"))
}

// TestLateCallLeavesTheFastUpstreams covers a call whose objective is lost.
func TestLateCallLeavesTheFastUpstreams(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(3)
	p.report("u0", 0, 1)
	p.report("u1", 0, 5)
	p.report("u2", 0, 50)
	choice, verdict := p.place("a", 0)
	g.Expect(verdict).To(Equal(loadbalancer.Send))
	g.Expect(choice.Name).To(Equal("u1"), "the slowest that still meets the deadline")
}

func TestHopelessCallIsRefused(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(2)
	p.report("u0", 2, 1)
	p.report("u1", 0, 50)
	_, verdict := p.place("a", 0)
	g.Expect(verdict).To(Equal(loadbalancer.Refuse))
}

// TestErrorsDoNotFillAnUpstream plays upstreams that shed half of their calls:
// they have free slots and get calls.
func TestErrorsDoNotFillAnUpstream(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(2)
	for range 50 {
		for _, name := range []string{"u0", "u1"} {
			p.report(name, 0, 1)
			p.Done(p.now, loadbalancer.Choice{Name: name}, loadbalancer.Result{Shed: true})
		}
		p.now = p.now.Add(10 * time.Millisecond)
	}
	_, verdict := p.place("a", 200*time.Millisecond)
	g.Expect(verdict).To(Equal(loadbalancer.Send))
}

// TestZoneCostsByBytes covers a call that goes to the other zone when that is a
// little faster, and an upload of 60 KB that stays.
func TestZoneCostsByBytes(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(2)
	p.report("u0", 1, 1)
	p.report("u1", 0, 1)
	place := func(bytes int) string {
		choice, verdict := p.Place(p.now, loadbalancer.Request{Zone: "a", Bytes: bytes},
			loadbalancer.TimeLeft{Objective: 300 * time.Millisecond, Deadline: time.Second})
		g.Expect(verdict).To(Equal(loadbalancer.Send))
		return choice.Name
	}
	g.Expect(place(100)).To(Equal("u1"))
	g.Expect(place(60000)).To(Equal("u0"))
}

func TestColdUpstreamIsTakenForSlow(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(1)
	p.SetUpstreams(p.now, []loadbalancer.Upstream{
		{Name: "u0", Address: "10.0.0.0:1", Zone: "a", Slots: 2},
		{Name: "new", Address: "10.0.0.9:1", Zone: "a", Slots: 2, WarmupLeft: 3 * time.Second},
	})
	p.now = p.now.Add(9 * time.Second)
	p.SetUpstreams(p.now, []loadbalancer.Upstream{
		{Name: "u0", Address: "10.0.0.0:1", Zone: "a", Slots: 2},
		{Name: "new", Address: "10.0.0.9:1", Zone: "a", Slots: 2, WarmupLeft: 3 * time.Second},
	})
	p.report("u0", 0, 1)
	p.report("new", 0, 1)
	choice, _ := p.place("a", 200*time.Millisecond)
	g.Expect(choice.Name).To(Equal("u0"))
}

// TestUpstreamThatStartsAgainIsKnownAnew covers a server that keeps its name and
// address but has started again.
func TestUpstreamThatStartsAgainIsKnownAnew(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(1)
	for range 3 {
		p.Done(p.now, loadbalancer.Choice{Name: "u0"}, loadbalancer.Result{Failed: true})
	}
	p.report("u0", 2, 1)
	_, verdict := p.place("a", 200*time.Millisecond)
	g.Expect(verdict).NotTo(Equal(loadbalancer.Send))
	p.SetUpstreams(p.now, []loadbalancer.Upstream{
		{Name: "u0", Address: "10.0.0.0:1", Zone: "a", Slots: 2, Started: p.now},
	})
	p.now = p.now.Add(9 * time.Second)
	p.report("u0", 0, 1)
	_, verdict = p.place("a", 200*time.Millisecond)
	g.Expect(verdict).To(Equal(loadbalancer.Send))
}

// TestSlowSuspectOfBookingsComesBack plays a service that only gets calls that
// can't be sent twice. An upstream that was slow over several answers gets calls
// again once it says that it is fast.
func TestSlowSuspectOfBookingsComesBack(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(1)
	booking := loadbalancer.Request{Zone: "a", NoTrial: true}
	left := loadbalancer.TimeLeft{Objective: 10 * time.Second, Deadline: 20 * time.Second}
	place := func() (loadbalancer.Choice, bool) {
		p.report("u0", 0, 1)
		choice, verdict := p.Place(p.now, booking, left)
		return choice, verdict == loadbalancer.Send
	}
	for range 6 {
		choice, ok := place()
		if !ok {
			break
		}
		p.Sent(p.now, choice)
		p.now = p.now.Add(10 * placeUnit)
		p.Done(p.now, choice, loadbalancer.Result{Latency: 10 * placeUnit})
	}
	_, ok := place()
	g.Expect(ok).To(BeFalse(), "it is a suspect")
	p.now = p.now.Add(10 * time.Second)
	choice, ok := place()
	g.Expect(ok).To(BeTrue())
	p.Sent(p.now, choice)
	p.now = p.now.Add(placeUnit)
	p.Done(p.now, choice, loadbalancer.Result{Latency: placeUnit})
	_, ok = place()
	g.Expect(ok).To(BeTrue(), "an ordinary answer clears it")
}

// TestSlowAnswersThatWereExpectedMakeNoSuspect covers an upstream that says that
// it is slow and is.
func TestSlowAnswersThatWereExpectedMakeNoSuspect(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(1)
	for range 20 {
		p.report("u0", 0, 7)
		choice, verdict := p.place("a", 10*time.Second)
		g.Expect(verdict).To(Equal(loadbalancer.Send))
		p.Sent(p.now, choice)
		p.now = p.now.Add(7 * placeUnit)
		p.Done(p.now, choice, loadbalancer.Result{Latency: 7 * placeUnit})
	}
}

// TestPolledSuspectWaitsForItsTrial covers an upstream that fails calls and says
// that it is well, many times a second.
func TestPolledSuspectWaitsForItsTrial(t *testing.T) {
	g := NewWithT(t)
	p := newPlacing(1)
	sends := 0
	for range 300 {
		p.now = p.now.Add(30 * time.Millisecond)
		p.report("u0", 0, 1)
		choice, verdict := p.place("a", 200*time.Millisecond)
		if verdict != loadbalancer.Send {
			continue
		}
		sends++
		p.Sent(p.now, choice)
		p.Done(p.now, choice, loadbalancer.Result{Failed: true})
	}
	g.Expect(sends).To(BeNumerically("<=", 10), "two failures, then a trial a second or less")
}
