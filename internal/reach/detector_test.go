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
		d.Failed(time.Unix(2000, 0), "a")
	}
	g.Expect(d.IsLost()).To(BeFalse())
	d.Answered(time.Unix(1, 0))
	d.Failed(time.Unix(2000, 0), "b")
	g.Expect(d.IsLost()).To(BeFalse())
}

func TestFailuresInARowAtSeveralUpstreamsAreALossOfLinks(t *testing.T) {
	g := NewWithT(t)
	var d reach.Detector
	d.SetUpstreams(3)
	d.Failed(time.Unix(2000, 0), "a")
	d.Failed(time.Unix(2000, 0), "b")
	g.Expect(d.IsLost()).To(BeTrue())
	now := time.Unix(1, 0)
	d.Answered(now)
	g.Expect(d.IsLost()).To(BeFalse())
	g.Expect(d.SilentFor(now.Add(time.Second))).To(Equal(time.Second))
}

func TestServiceWithoutUpstreamsHasNoLinksToLose(t *testing.T) {
	g := NewWithT(t)
	var d reach.Detector
	d.Failed(time.Unix(2000, 0), "a")
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
	d.Failed(time.Unix(2000, 0), "a")
	d.Opened(now.Add(500*time.Millisecond), "b")
	d.Opened(now.Add(600*time.Millisecond), "c")
	g.Expect(d.IsLost()).To(BeFalse(), "slow upstreams")
	d.Opened(now.Add(1500*time.Millisecond), "b")
	d.Opened(now.Add(1600*time.Millisecond), "c")
	g.Expect(d.IsLost()).To(BeTrue())
}

func TestTimeoutsWhileOtherUpstreamsAnswerAreNoLossOfLinks(t *testing.T) {
	g := NewWithT(t)
	var d reach.Detector
	d.SetUpstreams(5)
	began := time.Unix(1000, 0)
	d.Answered(began.Add(400 * time.Millisecond))
	d.Failed(began, "a")
	d.Failed(began, "b")
	g.Expect(d.IsLost()).To(BeFalse())
	later := began.Add(450 * time.Millisecond)
	d.Failed(later, "a")
	d.Failed(later, "b")
	g.Expect(d.IsLost()).To(BeTrue())
}
