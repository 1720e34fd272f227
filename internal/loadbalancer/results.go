package loadbalancer

import (
	"time"
)

// Sent records that a call is sent to the chosen upstream.
func (b *Balancer) Sent(now time.Time, choice Choice) {
	if e, ok := b.byName[choice.Name]; ok {
		at := b.since(now)
		e.addSend(at, choice.Bulk)
		e.rate.Take(at)
	}
}

// Done records how a send ended. Each Sent needs exactly one Done or Cancelled.
func (b *Balancer) Done(now time.Time, choice Choice, result Result) {
	e, ok := b.byName[choice.Name]
	if !ok {
		return
	}
	at := b.since(now)
	result.Latency = boundedLatency(result.Latency)
	e.removeSend(at, at-result.Latency, choice.Bulk)
	b.meanResponseBytes += responseBytesWeight * (float64(min(max(result.Bytes, 0), maxBytes)) - b.meanResponseBytes)
	if !result.Failed && !result.Shed {
		b.countReport(result.HasReport)
	}
	if result.HasReport {
		b.recordReport(e, at, result)
	}
	b.recordResult(e, at, choice, result)
	if result.StatesRate {
		b.RecordRate(now, RateNotice{Upstream: choice.Name, Rate: result.Rate})
	}
	if result.Draining {
		e.seeDrain(at)
	}
	if e.isOutOfUse() {
		b.selectSubset()
	}
}

func (b *Balancer) recordResult(e *entry, at time.Duration, choice Choice, result Result) {
	switch {
	case result.Shed:
		e.addPenalty(at)
	case result.Failed:
		e.recordFailure(at)
	case choice.Bulk:
		e.recordBulkResponse(at)
		b.recordPlacedLatency(at, choice, result.Latency)
	default:
		e.failures = 0
		b.recordLatency(e, at, choice, result.Latency)
		b.recordPlacedLatency(at, choice, result.Latency)
	}
}

// Cancelled records that a send was given up after the elapsed time, because
// the caller left or a hedge won.
func (b *Balancer) Cancelled(now time.Time, choice Choice, elapsed time.Duration) {
	e, ok := b.byName[choice.Name]
	if !ok {
		return
	}
	at := b.since(now)
	elapsed = boundedLatency(elapsed)
	e.removeSend(at, at-elapsed, choice.Bulk)
	if !choice.Bulk {
		b.recordCancelled(e, at, elapsed)
	}
}

// Abandoned records that a send ended after the elapsed time for a reason that says nothing
// about the upstream.
func (b *Balancer) Abandoned(now time.Time, choice Choice, elapsed time.Duration) {
	if e, ok := b.byName[choice.Name]; ok {
		at := b.since(now)
		e.removeSend(at, at-boundedLatency(elapsed), choice.Bulk)
	}
}

// boundedLatency returns a latency that was measured by another VM within its bounds.
func boundedLatency(latency time.Duration) time.Duration {
	return min(max(latency, 0), maxLatency)
}

// Probed records the result of a probe. A probe without an answer is recorded
// as not Healthy, and so is one that another upstream has answered, which has its address.
func (b *Balancer) Probed(now time.Time, name string, result ProbeResult) {
	e, ok := b.byName[name]
	if !ok {
		return
	}
	at := b.since(now)
	isOther := result.Upstream != "" && result.Upstream != name
	if isOther {
		result = ProbeResult{Sent: result.Sent}
	}
	b.recordProbedRate(now, e, result.Rate)
	if result.IsHealthy {
		b.countReport(result.HasReport)
	}
	if result.HasReport {
		b.recordLoad(e, at, reportedLoad(result.Report))
		b.recordSlowness(e, at, result.Report.Slowness)
	}
	wasOut := e.isOutOfUse()
	if result.Draining && result.Upstream == name {
		e.seeDrain(at)
	}
	e.recordProbe(at, result.Sent.Sub(b.start), result.IsHealthy)
	if wasOut != e.isOutOfUse() {
		b.selectSubset()
	}
}
