package loadbalancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// oddHistory is a random history of a balancer whose clock goes back at times, and which is told
// whatever upstreams and other VMs may tell.
type oddHistory struct {
	*loadbalancer.Balancer
	t     *rapid.T
	now   time.Time
	names []string
	sends []loadbalancer.Choice
}

func newOddHistory(t *rapid.T) *oddHistory {
	h := &oddHistory{
		Balancer: loadbalancer.New(loadbalancer.Options{VM: "vm", Zone: "a"}, rand.New(rand.NewPCG(1, 2))),
		t:        t, now: time.Unix(1000, 0),
	}
	h.setUpstreams(t)
	return h
}

// setUpstreams replaces the upstreams.
func (h *oddHistory) setUpstreams(t *rapid.T) {
	var upstreams []loadbalancer.Upstream
	h.names = nil
	for i := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
		name := fmt.Sprintf("u%d", i)
		h.names = append(h.names, name)
		upstreams = append(upstreams, loadbalancer.Upstream{
			Name: name, Address: name, Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
			Slots:      rapid.SampledFrom([]int{1, 2, 4, 1 << 16}).Draw(t, "slots"),
			WarmupLeft: rapid.SampledFrom([]time.Duration{0, time.Second, 24 * time.Hour}).Draw(t, "warm-up"),
			Started:    time.UnixMilli(rapid.SampledFrom([]int64{0, 900_000, 32_503_680_000_000}).Draw(t, "started")),
		})
	}
	h.SetUpstreams(h.now, upstreams)
}

// step moves the clock, in either direction.
func (h *oddHistory) step(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "step")) * time.Millisecond)
}

// report draws a load report.
func (h *oddHistory) report(t *rapid.T) callheader.Report {
	counts := []int{0, 1, 2, 7, 1 << 20, math.MaxInt64, -1, math.MinInt64}
	return callheader.Report{
		Running:  rapid.SampledFrom(counts).Draw(t, "running"),
		Queued:   rapid.SampledFrom(counts).Draw(t, "queued"),
		Slowness: rapid.SampledFrom([]float64{0, 1, 1.5, 1 << 20, 1e300, math.Inf(1), math.NaN(), -1}).Draw(t, "slowness"),
	}
}

func (h *oddHistory) probe(t *rapid.T) {
	h.Probed(h.now, rapid.SampledFrom(h.names).Draw(t, "probed"), loadbalancer.ProbeResult{
		Sent: h.now.Add(-time.Second), IsHealthy: rapid.Bool().Draw(t, "healthy"),
		HasReport: rapid.Bool().Draw(t, "has report"), Report: h.report(t),
		Rate: callheader.Rate{IsNamed: rapid.Bool().Draw(t, "names a rate"), PerSecond: h.rate(t)},
	})
}

// rate draws a named rate, in calls per second.
func (h *oddHistory) rate(t *rapid.T) float64 {
	return rapid.SampledFrom([]float64{0, 1e-300, 0.5, 20, 1e12, math.MaxFloat64}).Draw(t, "rate")
}

func (h *oddHistory) learnRate(t *rapid.T) {
	h.RecordRate(h.now, loadbalancer.RateNotice{
		Upstream: rapid.SampledFrom(h.names).Draw(t, "rated"), Rate: callheader.Rate{IsNamed: true, PerSecond: h.rate(t)},
		Age: rapid.SampledFrom([]time.Duration{0, time.Second, 24 * time.Hour}).Draw(t, "age"),
	})
	h.SetRateShare(h.now, rapid.SampledFrom([]float64{1, 0.5, 1.0 / 4096}).Draw(t, "share"))
}

// end ends a send.
func (h *oddHistory) end(t *rapid.T) {
	if len(h.sends) == 0 {
		t.Skip("nothing in flight")
	}
	ended := h.sends[0]
	h.sends = h.sends[1:]
	took := rapid.SampledFrom([]time.Duration{0, 1, 80 * time.Millisecond, time.Hour, math.MaxInt64, -time.Second, math.MinInt64}).Draw(t, "took")
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		h.Cancelled(h.now, ended, took)
	case 1:
		h.Abandoned(h.now, ended, took)
	default:
		h.Done(h.now, ended, loadbalancer.Result{
			Latency: took, Bytes: rapid.SampledFrom([]int{0, 5000, math.MaxInt64, -1}).Draw(t, "bytes"),
			Failed: rapid.Bool().Draw(t, "failed"), Shed: rapid.Bool().Draw(t, "shed"), Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0,
			HasReport: rapid.Bool().Draw(t, "has report"), Report: h.report(t),
		})
	}
}

// place places a call and checks what the choice rests on.
func (h *oddHistory) place(t *rapid.T) {
	request := loadbalancer.Request{
		Zone: "a", Bulk: rapid.Bool().Draw(t, "bulk"), NoTrial: rapid.Bool().Draw(t, "no trial"), AnyZone: true,
		Bytes: rapid.SampledFrom([]int{0, 1 << 40}).Draw(t, "bytes"),
	}
	times := []time.Duration{-24 * time.Hour, -1, 0, 500 * time.Millisecond, 24 * time.Hour}
	left := loadbalancer.TimeLeft{
		Objective: rapid.SampledFrom(times).Draw(t, "objective"), Deadline: rapid.SampledFrom(times).Draw(t, "deadline"),
		Waiting: rapid.IntRange(0, 3).Draw(t, "waiting"),
	}
	choice, verdict := h.Place(h.now, request, left)
	if verdict == loadbalancer.Send {
		h.check(choice.Basis)
		h.Sent(h.now, choice)
		h.sends = append(h.sends, choice)
	}
	h.Pick(h.now, request)
	h.Candidates(h.now, request, 3)
	h.checkState(request)
}

// check checks the estimates behind a choice.
func (h *oddHistory) check(b loadbalancer.Basis) {
	isLoad := b.Load >= 0 && !math.IsInf(b.Load, 0)
	isSlowness := b.Slowness > 0 && !math.IsInf(b.Slowness, 0)
	if !isLoad || !isSlowness || b.Expected < 0 || b.Typical() < 0 || b.Age < -1 {
		h.t.Fatalf("%+v", b)
	}
}

// checkState checks what refusals are told with.
func (h *oddHistory) checkState(request loadbalancer.Request) {
	supply := h.RateSupply(h.now, request)
	isSupply := supply.First >= 0 && supply.PerSecond >= 0 && !math.IsInf(supply.PerSecond, 0)
	estimate := h.BaseEstimate(h.now, request)
	if !isSupply || estimate.Latency < 0 || estimate.Age < 0 || h.BaseLatency() < 0 || h.Free(h.now, request) > len(h.names) {
		h.t.Fatalf("%+v, %+v", supply, estimate)
	}
}

// TestNothingThatIsToldMakesAnEstimateUnusable guards against panics, and estimates that are no
// numbers or below zero.
func TestNothingThatIsToldMakesAnEstimateUnusable(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		h := newOddHistory(t)
		t.Repeat(map[string]func(*rapid.T){
			"step": h.step, "probe": h.probe, "rate": h.learnRate, "end": h.end, "place": h.place, "upstreams": h.setUpstreams,
		})
	})
}
