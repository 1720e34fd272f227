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
