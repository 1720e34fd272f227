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

// newUntaughtTest returns a placementTest that has learned nothing.
func newUntaughtTest(count int) *placementTest {
	p := &placementTest{
		Balancer: loadbalancer.New(loadbalancer.Options{
			VM: "vm", Zone: "a", WarmUp: 1500 * time.Millisecond, MinWarmUpShare: 0.5,
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
	return p
}

// TestFirstSlowResponsesAreNoMedian has four of the first five responses come from an
// upstream that became slow.
func TestFirstSlowResponsesAreNoMedian(t *testing.T) {
	g := NewWithT(t)
	p := newUntaughtTest(1)
	for _, factor := range []time.Duration{5, 3, 5, 1, 5} {
		p.report("u0", 0, 1)
		p.serve(factor * baseLatency)
	}
	p.report("u0", 0, 1)
	_, verdict := p.place("a", 2*baseLatency)
	g.Expect(verdict).To(Equal(loadbalancer.Send))
	g.Expect(p.BaseLatency()).To(BeNumerically("~", baseLatency, baseLatency/20))
}

// TestLoadOfServiceThatStoppedReportingIsForgotten has upstreams that report that they
// are full and slow, and then nothing any more.
func TestLoadOfServiceThatStoppedReportingIsForgotten(t *testing.T) {
	g := NewWithT(t)
	p := newPlacementTest(2)
	for range 400 {
		for _, name := range []string{"u0", "u1"} {
			p.report(name, 3, 5)
			choice, _ := p.Pick(p.now, loadbalancer.Request{})
			p.Sent(p.now, choice)
			p.Done(p.now, choice, loadbalancer.Result{HasReport: true, Report: callheader.Report{Running: 4, Slowness: 5}})
		}
	}
	p.now = p.now.Add(5 * time.Second)
	for range 4 {
		choice, verdict := p.place("a", 200*time.Millisecond)
		g.Expect(verdict).To(Equal(loadbalancer.Send), "there are two slots at each upstream")
		g.Expect(choice.Basis.Expected).To(BeNumerically("<", 2*baseLatency))
		p.Sent(p.now, choice)
	}
}

// TestSuspectsRecoverWithBookingsOnlyWithoutReports has a service that gets only calls
// that must not be sent twice and reports no load: a call has to end the suspicion.
func TestSuspectsRecoverWithBookingsOnlyWithoutReports(t *testing.T) {
	for name, result := range map[string]loadbalancer.Result{
		"slow":    {Latency: 10 * baseLatency},
		"failing": {Latency: baseLatency, Failed: true},
	} {
		g := NewWithT(t)
		p := newPlacementTest(2)
		place := func() (loadbalancer.Choice, loadbalancer.Verdict) {
			return p.Place(p.now, loadbalancer.Request{Zone: "a", NoTrial: true},
				loadbalancer.TimeLeft{Objective: 10 * time.Second, Deadline: 20 * time.Second})
		}
		for range 20 {
			if choice, verdict := place(); verdict == loadbalancer.Send {
				p.Sent(p.now, choice)
				p.now = p.now.Add(result.Latency)
				p.Done(p.now, choice, result)
			}
		}
		_, verdict := place()
		g.Expect(verdict).To(Equal(loadbalancer.Wait), "both upstreams are %s suspects", name)
		p.now = p.now.Add(12 * time.Second)
		choice, verdict := place()
		g.Expect(verdict).To(Equal(loadbalancer.Send), name)
		p.Sent(p.now, choice)
		p.now = p.now.Add(baseLatency)
		p.Done(p.now, choice, loadbalancer.Result{Latency: baseLatency})
		_, verdict = place()
		g.Expect(verdict).To(Equal(loadbalancer.Send), "the response cleared the %s suspect", name)
	}
}

// TestOneFastResponseMakesNoSuspects has one short call among the first responses: the
// others are not slow compared with it.
func TestOneFastResponseMakesNoSuspects(t *testing.T) {
	g := NewWithT(t)
	p := newUntaughtTest(1)
	for i := range 12 {
		p.report("u0", 0, 1)
		choice, verdict := p.place("a", 10*time.Second)
		g.Expect(verdict).To(Equal(loadbalancer.Send), "call %d", i)
		latency := baseLatency
		if i == 1 {
			latency = baseLatency / 5
		}
		p.Sent(p.now, choice)
		p.now = p.now.Add(latency)
		p.Done(p.now, choice, loadbalancer.Result{Latency: latency})
	}
}
