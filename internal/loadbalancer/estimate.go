package loadbalancer

import (
	"math"
	"time"

	"github.com/figfront/figfront/internal/callheader"
)

// recordReport records the load report of a response. The report still counts
// the answered call, which has left the upstream.
func (b *Balancer) recordReport(e *entry, at time.Duration, result Result) {
	load := reportedLoad(result.Report)
	if !result.Shed && !result.Failed {
		load--
	}
	b.recordLoad(e, at, load)
	b.recordSlowness(e, at, result.Report.Slowness)
	othersLoad := min(e.othersLoad, maxMeanLoadPerSlot*e.slots)
	b.meanOthersLoad += othersLoadWeight * (othersLoad - b.meanOthersLoad)
}

// reportedLoad returns the calls that an upstream reports.
func reportedLoad(r callheader.Report) float64 {
	return float64(min(max(r.Running, 0), maxReportedCalls)) + float64(min(max(r.Queued, 0), maxReportedCalls))
}

// maxAnswersWithoutReport is the number of answers without a load report after
// which the upstreams of a service count as reporting none.
const maxAnswersWithoutReport = 20

// countReport records whether an answer carried a load report.
func (b *Balancer) countReport(hasReport bool) {
	if hasReport {
		b.answersWithoutReport = 0
		return
	}
	b.answersWithoutReport++
}

// ReportsLoad reports whether the upstreams report their load. If they don't, a
// probe shows nothing about it, and the VM's own calls in flight are all that is
// known.
func (b *Balancer) ReportsLoad() bool {
	return b.answersWithoutReport < maxAnswersWithoutReport
}

// recordLoad records a reported load. It subtracts the VM's own calls, whose
// number the VM always knows exactly.
func (b *Balancer) recordLoad(e *entry, at time.Duration, load float64) {
	b.reportedAt = at
	e.othersLoad = max(load-float64(e.inFlight()), 0)
	e.reportedAt = at
	if e.othersLoad >= idleLoad {
		e.idleSince = at
	}
}

// estimatedLoad estimates the calls that run and wait at the upstream: those of
// other VMs by the last report, whose weight falls with its age, the VM's own
// calls and the penalty for failures.
func (b *Balancer) estimatedLoad(e *entry, at time.Duration) float64 {
	return b.callLoad(e, at) + e.currentPenalty(at)
}

// callLoad is the part of estimatedLoad that calls cause. When no upstream has
// reported for maxReportLife, the VM's own calls are all that is known.
func (b *Balancer) callLoad(e *entry, at time.Duration) float64 {
	if at-b.reportedAt >= maxReportLife {
		return float64(e.inFlight())
	}
	mean := othersLoadCorrection * b.meanOthersLoad
	others := mean + reportWeight(at-e.reportedAt)*(e.othersLoad-mean)
	return others + float64(e.inFlight())
}

// recordSlowness records the slowness that an upstream reported; 0 means that
// it reported none.
func (b *Balancer) recordSlowness(e *entry, at time.Duration, slowness float64) {
	if !(slowness > 0) {
		return
	}
	slowness = min(max(slowness, minReportedSlowness), maxReportedSlowness)
	if b.meanSlowness == 0 {
		b.meanSlowness = slowness
	}
	b.meanSlowness += meanSlownessWeight * (slowness - b.meanSlowness)
	e.reportedSlowness = slowness
	e.slownessAt = at
	b.slownessAt = at
}

// expectedSlowness estimates the present slowness of the upstream. The weight
// of its last report falls with age in favor of the mean over all upstreams, which
// is forgotten when none has reported any for maxReportLife.
func (b *Balancer) expectedSlowness(e *entry, at time.Duration) float64 {
	if b.meanSlowness == 0 || at-b.slownessAt >= maxReportLife {
		return 1
	}
	if e.reportedSlowness == 0 {
		return b.meanSlowness
	}
	weight := math.Exp(-float64(at-e.slownessAt) / float64(slownessDecay))
	return b.meanSlowness + weight*(e.reportedSlowness-b.meanSlowness)
}

// reportWeight returns the weight of a report by its age. It approximates an
// exponential decay with one division; the error is small as long as the weight
// is large.
func reportWeight(age time.Duration) float64 {
	x := float64(age) * (1 / float64(reportDecay))
	return 1 / (1 + x*(1+x*(1.0/2+x*(1.0/6+x*(1.0/24)))))
}

// cost returns the expected time until a response, in units of one call's
// service time.
func (b *Balancer) cost(e *entry, at time.Duration) float64 {
	load := b.estimatedLoad(e, at)
	wait := waitPerCall * load
	if excess := load + 1 - e.slots; excess > 0 {
		wait += excess
	}
	cost := 1 + wait*e.inverseSlots
	if len(e.sendTimes) > 0 {
		cost *= b.waitFactor(e, at)
	}
	if e.phase == phaseWarming {
		cost /= e.warmUpShare(at)
	}
	cost *= b.expectedSlowness(e, at)
	return cost + e.zoneCost + tieBreakNoise*b.random.Float64()
}

// waitFactor returns a factor for the cost of an upstream with own calls in
// flight. The longer the oldest call has been waiting, the more likely the
// upstream is in a slow phase.
func (b *Balancer) waitFactor(e *entry, at time.Duration) float64 {
	if b.meanLatency == 0 {
		return 1
	}
	return 1 + float64(at-e.sendTimes[0])/float64(b.meanLatency)
}

// recordLatency records the latency of a response. If the choice came with an
// expected latency, the upstream's latency ratio is relative to that: slowness
// that the upstream had reported must not make it a suspect.
func (b *Balancer) recordLatency(e *entry, at time.Duration, choice Choice, latency time.Duration) {
	if b.meanLatency == 0 {
		b.meanLatency = latency
	}
	ratio := b.relativeLatency(latency)
	b.meanLatency += time.Duration(meanLatencyWeight * (ratio - 1) * float64(b.meanLatency))
	if expected := choice.Basis.Expected; expected > 0 {
		ratio = min(float64(latency)/float64(expected), maxLatencyRatio)
	}
	e.recordLatencyRatio(at, ratio)
}

// recordCancelled records a cancelled send as a lower bound of a latency. It
// only ever raises the latency ratio.
func (b *Balancer) recordCancelled(e *entry, at, elapsed time.Duration) {
	if b.meanLatency == 0 {
		return
	}
	if ratio := b.relativeLatency(elapsed); ratio > e.latencyRatio {
		e.recordLatencyRatio(at, ratio)
	}
}

// relativeLatency returns a latency as a multiple of the mean latency, limited
// to maxLatencyRatio.
func (b *Balancer) relativeLatency(latency time.Duration) float64 {
	return min(float64(latency)/float64(max(b.meanLatency, 1)), maxLatencyRatio)
}

// recordLatencyRatio updates the latency ratio. An upstream that is slow over
// several responses becomes a suspect, whatever it reports. A trial call with
// an ordinary latency clears it.
func (e *entry) recordLatencyRatio(at time.Duration, ratio float64) {
	e.latencyRatio += latencyRatioWeight * (ratio - e.latencyRatio)
	isTrialPassed := e.phase == phaseSuspect && ratio < suspectLatencyRatio
	switch {
	case isTrialPassed:
		e.fire(eventAnswered, at)
	case e.latencyRatio > suspectLatencyRatio:
		e.isSlowSuspect = true
		e.fire(eventSuspected, at)
	}
}

// recordBulkResponse records a response to a bulk call. It clears a suspect
// whose suspicion came from failures, but not one that was slow.
func (e *entry) recordBulkResponse(at time.Duration) {
	e.failures = 0
	if e.phase == phaseSuspect && !e.isSlowSuspect {
		e.fire(eventAnswered, at)
	}
}

// currentPenalty returns what is left of the penalty.
func (e *entry) currentPenalty(at time.Duration) float64 {
	if e.penalty == 0 {
		return 0
	}
	return e.penalty * math.Exp2(-float64(at-e.penaltyAt)/float64(penaltyHalfLife))
}

func (e *entry) addPenalty(at time.Duration) {
	e.penalty = e.currentPenalty(at) + failurePenalty
	e.penaltyAt = at
}

// recordFailure records a failure. A single failure does not make a suspect of
// a ready upstream.
func (e *entry) recordFailure(at time.Duration) {
	e.addPenalty(at)
	e.failures++
	if e.failures >= suspectFailures || e.phase != phaseReady {
		e.fire(eventFailed, at)
	}
}
