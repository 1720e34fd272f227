package loadbalancer

import (
	"math"
	"time"
)

// learnReport takes over the load report of an answer. The answered call is in
// it, but no longer at the upstream.
func (b *Balancer) learnReport(e *entry, at time.Duration, result Result) {
	load := float64(result.Report.Running + result.Report.Queued)
	if !result.Shed && !result.Failed {
		load--
	}
	e.learnLoad(at, load)
	b.learnSlowness(e, at, result.Report.Slowness)
	b.background += backgroundWeight * (e.others - b.background)
}

// learnLoad takes over a load. The VM's own calls are taken out of it, because
// the VM knows them at any time.
func (e *entry) learnLoad(at time.Duration, load float64) {
	e.others = max(load-float64(e.inFlight()), 0)
	e.reportedAt = at
}

// load estimates the calls that run and wait at the upstream: those of others
// by the last report, which counts less with age, the VM's own, and what
// failures stand for.
func (b *Balancer) load(e *entry, at time.Duration) float64 {
	return b.callLoad(e, at) + e.errorLoad(at)
}

// callLoad is the part of load that calls make up.
func (b *Balancer) callLoad(e *entry, at time.Duration) float64 {
	mean := backgroundFactor * b.background
	others := mean + decay(at-e.reportedAt)*(e.others-mean)
	return others + float64(e.inFlight())
}

// learnSlowness takes over how slow an upstream says it is; 0 says nothing.
func (b *Balancer) learnSlowness(e *entry, at time.Duration, slowness float64) {
	if slowness <= 0 {
		return
	}
	if b.meanSlowness == 0 {
		b.meanSlowness = slowness
	}
	b.meanSlowness += meanSlownessWeight * (slowness - b.meanSlowness)
	e.reportedSlowness = slowness
	e.slownessAt = at
}

// expectedSlowness returns how long work takes at the upstream by its last
// report, which gives way to the mean with age.
func (b *Balancer) expectedSlowness(e *entry, at time.Duration) float64 {
	if b.meanSlowness == 0 {
		return 1
	}
	if e.reportedSlowness == 0 {
		return b.meanSlowness
	}
	weight := math.Exp(-float64(at-e.slownessAt) / float64(slownessLife))
	return b.meanSlowness + weight*(e.reportedSlowness-b.meanSlowness)
}

// decay returns the weight of a report by its age. It follows the exponential
// function closely while that is large and costs one division.
func decay(age time.Duration) float64 {
	x := float64(age) * (1 / float64(reportLife))
	return 1 / (1 + x*(1+x*(1.0/2+x*(1.0/6+x*(1.0/24)))))
}

// cost returns the expected time until an answer, in units of one call's
// service time.
func (b *Balancer) cost(e *entry, at time.Duration) float64 {
	load := b.load(e, at)
	wait := partialLoad * load
	if excess := load + 1 - e.slots; excess > 0 {
		wait += excess
	}
	cost := 1 + wait*e.perSlot
	if len(e.starts) > 0 {
		cost *= b.slowness(e, at)
	}
	if e.phase == phaseWarming {
		cost /= e.warmth(at)
	}
	cost *= b.expectedSlowness(e, at)
	return cost + e.zoneCost + tieNoise*b.random.Float64()
}

// slowness multiplies the cost of an upstream that has kept a call of this VM
// waiting: the older the call, the likelier a slow phase.
func (b *Balancer) slowness(e *entry, at time.Duration) float64 {
	if b.typical == 0 {
		return 1
	}
	return 1 + float64(at-e.starts[0])/float64(b.typical)
}

// learnLatency records the latency of an answer. The pace of an upstream that was
// chosen with an expectation is measured by that: it is no fault of an upstream
// that it had said that it is slow.
func (b *Balancer) learnLatency(e *entry, at time.Duration, choice Choice, latency time.Duration) {
	if b.typical == 0 {
		b.typical = latency
	}
	ratio := b.ratio(latency)
	b.typical += time.Duration(typicalWeight * (ratio - 1) * float64(b.typical))
	if expected := choice.Basis.Expected; expected > 0 {
		ratio = min(float64(latency)/float64(expected), maxPace)
	}
	e.learnPace(at, ratio)
}

// learnCancelled takes the time of a cancelled send as a latency that was at
// least as long. It counts only against the upstream.
func (b *Balancer) learnCancelled(e *entry, at, elapsed time.Duration) {
	if b.typical == 0 {
		return
	}
	if ratio := b.ratio(elapsed); ratio > e.pace {
		e.learnPace(at, ratio)
	}
}

// ratio returns a latency as a multiple of the typical one, at most maxPace.
func (b *Balancer) ratio(latency time.Duration) float64 {
	return min(float64(latency)/float64(max(b.typical, 1)), maxPace)
}

// learnPace adds an answer to the pace. An upstream that is slow over several
// answers becomes a suspect whatever it reports; a trial call with an ordinary
// latency clears it.
func (e *entry) learnPace(at time.Duration, ratio float64) {
	e.pace += paceWeight * (ratio - e.pace)
	isTrialPassed := e.phase == phaseSuspect && ratio < suspectPace
	switch {
	case isTrialPassed:
		e.fire(eventAnswered, at)
	case e.pace > suspectPace:
		e.isSlow = true
		e.fire(eventSuspected, at)
	}
}

// answeredBulk records an answer whose latency tells of its size. It clears an
// upstream that failures made a suspect, but not one that was slow.
func (e *entry) answeredBulk(at time.Duration) {
	e.failures = 0
	if e.phase == phaseSuspect && !e.isSlow {
		e.fire(eventAnswered, at)
	}
}

// errorLoad returns what is left of the load that failures stand for.
func (e *entry) errorLoad(at time.Duration) float64 {
	if e.errors == 0 {
		return 0
	}
	return e.errors * math.Exp2(-float64(at-e.errorsAt)/float64(errorHalfLife))
}

func (e *entry) addError(at time.Duration) {
	e.errors = e.errorLoad(at) + errorLoad
	e.errorsAt = at
}

// failed records a failure. One failure alone makes no suspect of an upstream
// that has proved itself.
func (e *entry) failed(at time.Duration) {
	e.addError(at)
	e.failures++
	if e.failures >= suspectFailures || e.phase != phaseReady {
		e.fire(eventFailed, at)
	}
}
