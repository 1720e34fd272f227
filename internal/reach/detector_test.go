package reach_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/reach"
)

func TestFailureOfOneUpstreamIsNoLossOfLinks(t *testing.T) {
	g := NewWithT(t)
	var d reach.Detector
	d.SetUpstreams(3)
	for range 5 {
		d.Failed("a")
	}
	g.Expect(d.IsLost()).To(BeFalse())
	d.Answered(time.Unix(1, 0))
	d.Failed("b")
	g.Expect(d.IsLost()).To(BeFalse())
}

func TestFailuresInARowAtSeveralUpstreamsAreALossOfLinks(t *testing.T) {
	g := NewWithT(t)
	var d reach.Detector
	d.SetUpstreams(3)
	d.Failed("a")
	d.Failed("b")
	g.Expect(d.IsLost()).To(BeTrue())
	now := time.Unix(1, 0)
	d.Answered(now)
	g.Expect(d.IsLost()).To(BeFalse())
	g.Expect(d.SilentFor(now.Add(time.Second))).To(Equal(time.Second))
}

func TestServiceWithoutUpstreamsHasNoLinksToLose(t *testing.T) {
	g := NewWithT(t)
	var d reach.Detector
	d.Failed("a")
	g.Expect(d.IsLost()).To(BeFalse())
	d.SetUpstreams(1)
	g.Expect(d.IsLost()).To(BeTrue())
}

func TestConnectionsThatOnlyOpenAreALossOfLinksAfterAWhile(t *testing.T) {
	g := NewWithT(t)
	var d reach.Detector
	d.SetUpstreams(3)
	now := time.Unix(1000, 0)
	d.Answered(now)
	d.Failed("a")
	d.Opened(now.Add(500*time.Millisecond), "b")
	d.Opened(now.Add(600*time.Millisecond), "c")
	g.Expect(d.IsLost()).To(BeFalse(), "slow upstreams")
	d.Opened(now.Add(1500*time.Millisecond), "b")
	d.Opened(now.Add(1600*time.Millisecond), "c")
	g.Expect(d.IsLost()).To(BeTrue())
}
