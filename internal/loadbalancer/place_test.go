package loadbalancer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// placementTest is a balancer with upstreams u0, u1, … of two slots, the even
// ones in zone a and the odd ones in zone b. It has learned a base latency of
// 60 ms.
type placementTest struct {
	*loadbalancer.Balancer
	now time.Time
}

const baseLatency = 60 * time.Millisecond

func newPlacementTest(count int) *placementTest {
	p := newUntaughtTest(count)
	for range 80 {
		p.report("u0", 0, 1)
		p.serve(baseLatency)
	}
	return p
}

// serve places a call and ends it after a latency.
func (p *placementTest) serve(latency time.Duration) {
	choice, verdict := p.place("a", 10*time.Second)
	if verdict != loadbalancer.Send {
		panic("not placed")
	}
	p.Sent(p.now, choice)
	p.now = p.now.Add(latency)
	p.Done(p.now, choice, loadbalancer.Result{Latency: latency})
}

// report records a probe result of an upstream.
func (p *placementTest) report(name string, running int, slowness float64) {
	p.Probed(p.now, name, loadbalancer.ProbeResult{
		Sent: p.now, IsHealthy: true, HasReport: true,
		Report: callheader.Report{Running: running, Slowness: slowness},
	})
}

func (p *placementTest) place(zone string, objective time.Duration) (loadbalancer.Choice, loadbalancer.Verdict) {
	return p.Place(p.now, loadbalancer.Request{Zone: zone},
		loadbalancer.TimeLeft{Objective: objective, Deadline: 4 * max(objective, 200*time.Millisecond)})
}

func TestBaseLatencyIsLearned(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newPlacementTest(2).BaseLatency()).To(BeNumerically("~", baseLatency, baseLatency/20))
}

// TestBaseLatencyIgnoresSlowPhases checks that the base latency barely changes
// when every fourth response takes seven times as long because its upstream
// became slow, including the first one.
func TestBaseLatencyIgnoresSlowPhases(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(2)
	for i := range 200 {
		p.report("u0", 0, 1)
		latency := baseLatency
		if i%4 == 0 {
			latency = 7 * baseLatency
		}
		p.serve(latency)
	}
	g.Expect(p.BaseLatency()).To(BeNumerically("~", baseLatency, baseLatency/10))
}

// TestSlowPhasesDoNotDistortLatencyByLoad checks that the base latency and the
// expected latency at a load of one barely change in a busy time, when every call
// finds another one at its upstream and every eighth response takes four times as
// long because its upstream became slow.
func TestSlowPhasesDoNotDistortLatencyByLoad(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(1)
	for i := range 200 {
		p.report("u0", 1, 1)
		latency := baseLatency
		if i%8 == 0 {
			latency = 4 * baseLatency
		}
		p.serve(latency)
	}
	g.Expect(p.BaseLatency()).To(BeNumerically("~", baseLatency, baseLatency/10))
	p.report("u0", 1, 1)
	choice, _ := p.place("a", 10*time.Second)
	g.Expect(choice.Basis.Expected).To(BeNumerically("~", baseLatency, baseLatency/10))
}

func TestCallGoesToFastestUpstream(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(4)
	for name, slowness := range map[string]float64{"u0": 7, "u1": 1, "u2": 7, "u3": 7} {
		p.report(name, 0, slowness)
	}
	choice, verdict := p.place("a", 200*time.Millisecond)
	g.Expect(verdict).To(Equal(loadbalancer.Send))
	g.Expect(choice.Name).To(Equal("u1"))
}

func TestCallWaitsWhileUpstreamsAreFullOrSlow(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(3)
	p.report("u0", 2, 1)
	p.report("u1", 2, 1)
	p.report("u2", 0, 7)
	_, verdict := p.place("a", 200*time.Millisecond)
	g.Expect(verdict).To(Equal(loadbalancer.Wait), "two upstreams are full and one is too slow")
	p.report("u1", 1, 1)
	choice, verdict := p.place("a", 200*time.Millisecond)
	g.Expect(verdict).To(Equal(loadbalancer.Send))
	g.Expect(choice.Name).To(Equal("u1"))
}

// TestLateCallAvoidsFastUpstreams covers a call that can no longer meet its
// objective.
func TestLateCallAvoidsFastUpstreams(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(3)
	p.report("u0", 0, 1)
	p.report("u1", 0, 5)
	p.report("u2", 0, 50)
	choice, verdict := p.place("a", 0)
	g.Expect(verdict).To(Equal(loadbalancer.Send))
	g.Expect(choice.Name).To(Equal("u1"), "the slowest upstream that still meets the deadline")
}

func TestCallThatCannotMeetDeadlineIsRefused(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(2)
	p.report("u0", 2, 1)
	p.report("u1", 0, 50)
	_, verdict := p.place("a", 0)
	g.Expect(verdict).To(Equal(loadbalancer.Refuse))
}

// TestShedCallsTakeNoSlot checks that upstreams that shed their calls count as
// having free slots and still get calls.
func TestShedCallsTakeNoSlot(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(2)
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

// TestRemoteZoneCostGrowsWithBytes checks that a small call goes to another
// zone if that is slightly faster, and an upload of 60 KB does not.
func TestRemoteZoneCostGrowsWithBytes(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(2)
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

func TestColdUpstreamCountsAsSlow(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(1)
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

// TestRestartedUpstreamLosesItsState covers a server that restarts with the
// same name and address: failures from before the restart don't count.
func TestRestartedUpstreamLosesItsState(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(1)
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

// TestSlowSuspectRecoversWithBookingsOnly covers a service that only gets calls
// that must not be sent twice. A suspect that was slow over several responses
// has to get calls again once it reports normal speed.
func TestSlowSuspectRecoversWithBookingsOnly(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(1)
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
		p.now = p.now.Add(10 * baseLatency)
		p.Done(p.now, choice, loadbalancer.Result{Latency: 10 * baseLatency})
	}
	_, ok := place()
	g.Expect(ok).To(BeFalse(), "the upstream is a suspect")
	p.now = p.now.Add(10 * time.Second)
	choice, ok := place()
	g.Expect(ok).To(BeTrue())
	p.Sent(p.now, choice)
	p.now = p.now.Add(baseLatency)
	p.Done(p.now, choice, loadbalancer.Result{Latency: baseLatency})
	_, ok = place()
	g.Expect(ok).To(BeTrue(), "a response with an ordinary latency clears it")
}

// TestExpectedSlownessMakesNoSuspect covers an upstream that reports that it is
// slow and responds accordingly.
func TestExpectedSlownessMakesNoSuspect(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(1)
	for range 20 {
		p.report("u0", 0, 7)
		choice, verdict := p.place("a", 10*time.Second)
		g.Expect(verdict).To(Equal(loadbalancer.Send))
		p.Sent(p.now, choice)
		p.now = p.now.Add(7 * baseLatency)
		p.Done(p.now, choice, loadbalancer.Result{Latency: 7 * baseLatency})
	}
}

// TestProbedSuspectWaitsForItsTrial covers an upstream that fails calls but
// reports normal load and speed many times a second: the reports must not end
// the suspicion before its trial is due.
func TestProbedSuspectWaitsForItsTrial(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(1)
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
	g.Expect(sends).To(BeNumerically("<=", 10), "two failures, then at most one trial a second")
}
