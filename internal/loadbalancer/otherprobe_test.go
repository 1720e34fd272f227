package loadbalancer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// TestHealthCheckAnsweredByAnotherUpstreamSpeaksForNone has an upstream at whose address another
// one answers: idle and healthy, but not the one that calls are for.
func TestHealthCheckAnsweredByAnotherUpstreamSpeaksForNone(t *testing.T) {
	g := NewWithT(t)
	for _, answeredBy := range []string{"", "u1", "u0"} {
		p := newPlacementTest(2)
		p.Probed(p.now, "u1", loadbalancer.ProbeResult{
			Sent: p.now, IsHealthy: true, Upstream: answeredBy, HasReport: true, Report: callheader.Report{Slowness: 1},
			Rate: callheader.Rate{IsNamed: true, PerSecond: 1},
		})
		isOther := answeredBy == "u0"
		g.Expect(p.IsReady("u1")).To(Equal(!isOther), answeredBy)
		g.Expect(p.NamedRate("u1").IsNamed).To(Equal(!isOther), answeredBy)
		p.now = p.now.Add(time.Minute)
	}
}
