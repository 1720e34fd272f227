package loadbalancer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// TestCandidatesExaminesEachUpstreamOnce covers a coordinator whose reports are all
// fresh, as in a rush, when there is nothing to probe.
func TestCandidatesExaminesEachUpstreamOnce(t *testing.T) {
	g := NewWithT(t)
	const upstreamCount = 110
	b := newBalancer("vm", upstreamCount, 0)
	for i := range upstreamCount {
		b.Probed(start.Add(time.Millisecond), fmt.Sprintf("u-%d", i), loadbalancer.ProbeResult{
			Sent: start, IsHealthy: true, HasReport: true, Report: callheader.Report{Slowness: 1},
		})
	}
	before := b.Examined()
	candidates := b.Candidates(start.Add(2*time.Millisecond),
		loadbalancer.Request{AnyZone: true, StaleAfter: 40 * time.Millisecond}, 3)
	g.Expect(candidates).To(BeEmpty())
	g.Expect(b.Examined() - before).To(BeNumerically("<=", upstreamCount))
}

// TestCandidatesAreOrderedByCost checks that the least loaded upstreams come first.
func TestCandidatesAreOrderedByCost(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer("vm", 5, 0)
	for i, running := range []int{4, 0, 2, 3, 1} {
		b.Probed(start.Add(time.Millisecond), fmt.Sprintf("u-%d", i), loadbalancer.ProbeResult{
			Sent: start, IsHealthy: true, HasReport: true, Report: callheader.Report{Running: running, Slowness: 1},
		})
	}
	var names []string
	for _, c := range b.Candidates(start.Add(2*time.Millisecond), loadbalancer.Request{}, 3) {
		names = append(names, c.Name)
	}
	g.Expect(names).To(Equal([]string{"u-1", "u-4", "u-2"}))
}
