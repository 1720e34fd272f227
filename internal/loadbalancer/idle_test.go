package loadbalancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
