package loadbalancer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// TestOneOddLoadReportClosesNoService plays a load of 20 calls a second at four upstreams, of
// which one reports once what can't be. 0.95 of the calls of the next five seconds have to be sent.
func TestOneOddLoadReportClosesNoService(t *testing.T) {
	const most = 1 << 20
	for name, odd := range map[string]callheader.Report{
		"running":  {Running: most, Slowness: 1},
		"queued":   {Queued: most, Slowness: 1},
		"slowness": {Slowness: most},
		"all":      {Running: most, Queued: most, Slowness: most},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(sentShareAfter(odd)).To(BeNumerically(">=", 0.95))
		})
	}
}

// sentShareAfter returns the share of calls that are sent after one upstream's report.
func sentShareAfter(odd callheader.Report) float64 {
	p := newPlacementTest(4)
	choice, _ := p.place("a", time.Second)
	p.Sent(p.now, choice)
	p.now = p.now.Add(baseLatency)
	p.Done(p.now, choice, loadbalancer.Result{Latency: baseLatency, HasReport: true, Report: odd})
	const calls = 100
	sent := 0
	for range calls {
		p.now = p.now.Add(50 * time.Millisecond)
		choice, verdict := p.place("a", 8*baseLatency)
		if verdict != loadbalancer.Send {
			continue
		}
		sent++
		p.Sent(p.now, choice)
		p.now = p.now.Add(baseLatency)
		p.Done(p.now, choice, loadbalancer.Result{
			Latency: baseLatency, HasReport: true, Report: callheader.Report{Running: 1, Slowness: 1},
		})
	}
	return float64(sent) / calls
}

// TestFirstUpstreamWithOddSlotsDoesNotShapeTheModel has a service whose first entry, alone or not,
// names very many slots. What is expected of the others must not rest on it.
func TestFirstUpstreamWithOddSlotsDoesNotShapeTheModel(t *testing.T) {
	g := NewWithT(t)
	odd := loadbalancer.Upstream{Name: "odd", Address: "10.0.0.9:1", Zone: "a", Slots: 1 << 16}
	var usual []loadbalancer.Upstream
	for _, name := range []string{"u0", "u1", "u2"} {
		usual = append(usual, loadbalancer.Upstream{Name: name, Address: name + ":1", Zone: "a", Slots: 1})
	}
	expected := func(before ...[]loadbalancer.Upstream) time.Duration {
		p := newUntaughtTest(0)
		for _, upstreams := range append(before, usual) {
			p.SetUpstreams(p.now, upstreams)
		}
		for range 80 {
			p.report("u0", 0, 1)
			p.serve(baseLatency)
		}
		for _, name := range []string{"u0", "u1", "u2"} {
			p.report(name, 0, 1)
		}
		choice, verdict := p.place("a", time.Second)
		g.Expect(verdict).To(Equal(loadbalancer.Send))
		p.Sent(p.now, choice)
		return p.LatencyAt(1)
	}
	g.Expect(expected([]loadbalancer.Upstream{odd})).To(Equal(expected()))
	g.Expect(expected(append([]loadbalancer.Upstream{odd}, usual...))).To(Equal(expected()))
}
