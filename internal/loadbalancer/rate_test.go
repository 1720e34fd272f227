package loadbalancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// ratedBalancer returns a balancer with one upstream u and the present time.
func ratedBalancer() (*loadbalancer.Balancer, time.Time) {
	b := loadbalancer.New(loadbalancer.Options{VM: "vm", Zone: "a"}, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1000, 0)
	b.SetUpstreams(now, []loadbalancer.Upstream{{Name: "u", Address: "u", Zone: "a", Slots: 2}})
	return b, now.Add(time.Minute)
}

// limitOf returns a notice about the upstream u.
func limitOf(perSecond float64, age time.Duration) loadbalancer.RateNotice {
	return loadbalancer.RateNotice{Upstream: "u", Rate: callheader.Rate{IsNamed: true, PerSecond: perSecond}, Age: age}
}

func TestOlderNoticeDoesNotReplaceANewerRateLimit(t *testing.T) {
	g := NewWithT(t)
	b, now := ratedBalancer()
	g.Expect(b.RecordRate(now, limitOf(3, time.Second))).To(BeTrue())
	g.Expect(b.RecordRate(now, limitOf(5, 2*time.Second))).To(BeFalse())
	g.Expect(b.NamedRate("u").PerSecond).To(Equal(3.0))
	g.Expect(b.RecordRate(now, loadbalancer.RateNotice{Upstream: "u"})).To(BeTrue(), "a response without a limit")
	g.Expect(b.RecordRate(now, limitOf(3, time.Second))).To(BeFalse())
	g.Expect(b.NamedRate("u").IsNamed).To(BeFalse())
}

func TestSilenceDoesNotEndARateLimit(t *testing.T) {
	g := NewWithT(t)
	b, now := ratedBalancer()
	b.RecordRate(now, limitOf(3, 0))
	now = now.Add(10 * time.Minute)
	b.Done(now, loadbalancer.Choice{Name: "u"}, loadbalancer.Result{Failed: true})
	b.Probed(now, "u", loadbalancer.ProbeResult{IsHealthy: true})
	g.Expect(b.NamedRate("u").IsNamed).To(BeTrue())
	b.Done(now, loadbalancer.Choice{Name: "u"}, loadbalancer.Result{StatesRate: true})
	g.Expect(b.NamedRate("u").IsNamed).To(BeFalse())
}

func TestAnswerToAProbeEndsOnlyARateLimitThatSuchAnAnswerNamed(t *testing.T) {
	g := NewWithT(t)
	b, now := ratedBalancer()
	b.Probed(now, "u", loadbalancer.ProbeResult{IsHealthy: true, Rate: limitOf(3, 0).Rate})
	g.Expect(b.NamedRate("u").PerSecond).To(Equal(3.0))
	b.Probed(now, "u", loadbalancer.ProbeResult{IsHealthy: true})
	g.Expect(b.NamedRate("u").IsNamed).To(BeFalse())
}

func TestLimitedUpstreamIsSkippedByEveryChoice(t *testing.T) {
	g := NewWithT(t)
	b, now := ratedBalancer()
	b.RecordRate(now, limitOf(0, 0))
	request := loadbalancer.Request{Zone: "a"}
	left := loadbalancer.TimeLeft{Objective: time.Second, Deadline: time.Second}
	_, verdict := b.Place(now, request, left)
	g.Expect(verdict).To(Equal(loadbalancer.Wait))
	_, ok := b.Pick(now, request)
	g.Expect(ok).To(BeFalse())
	g.Expect(b.Candidates(now, request, 1)).To(BeEmpty())
	g.Expect(b.MayProbe("u")).To(BeFalse())
	g.Expect(b.RateSupply(now, request).IsLimited).To(BeTrue())
}
