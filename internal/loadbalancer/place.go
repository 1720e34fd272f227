package loadbalancer

import (
	"slices"
	"time"
)

// TimeLeft is the time that a call has left. Both values may be negative.
type TimeLeft struct {
	// Objective is the time left until the latency objective.
	Objective time.Duration
	// Deadline is the time left until the response is worthless.
	Deadline time.Duration
	// Waiting is the number of other calls that wait for an upstream. A call that
	// has lost its objective leaves the slots to them.
	Waiting int
}

// Basis holds the estimates behind the choice of an upstream.
type Basis struct {
	// Load is the estimated number of calls at the upstream.
	Load float64
	// Slowness is how long work takes there, as a multiple of the usual time.
	Slowness float64
	// Age is the age of the upstream's last load report; -1 if there was none.
	Age time.Duration
	// Expected is the expected latency, relative to the median and not to the lower base
	// latency of few samples; 0 while neither is known.
	Expected time.Duration
}

// Typical returns the expected latency at an upstream with the same load that is
// not slow; 0 while the base latency is not known.
func (b Basis) Typical() time.Duration {
	return time.Duration(float64(b.Expected) / max(b.Slowness, 1))
}

// Verdict is the decision on a call at one moment.
type Verdict int

// The verdicts of Place.
const (
	// Send means that the call goes to the chosen upstream.
	Send Verdict = iota
	// Wait means that no upstream is expected to respond within the objective
	// now, but one may as soon as a slot becomes free.
	Wait
	// Refuse means that the objective can't be met and that no upstream with a
	// free slot is expected to respond before the deadline.
	Refuse
)

// Constants of placement.
const (
	// maxQueued is the number of calls that may wait at an upstream for a slot.
	maxQueued = 0
	// loadMargin is the tolerated error of the load estimate, in calls.
	loadMargin = 0.35
	// maxReportAge is the age up to which a load report is recent enough to
	// learn a latency from and to allow a trial call that must not be sent
	// twice.
	maxReportAge = 40 * time.Millisecond
	// penaltyCost is the cost of each call that an upstream's penalty stands for,
	// in units of the base latency.
	penaltyCost = 0.1
	// bytesPerBaseLatency is the number of bytes whose transfer between zones
	// costs as much as one base latency.
	bytesPerBaseLatency = 6 << 10
	// fixedRemoteZoneCost is the cost of an upstream in another zone that does
	// not depend on the number of bytes, in units of the base latency.
	fixedRemoteZoneCost = 0.03
	// latencyMargin is the factor by which an expected latency is raised before
	// it is compared with the objective.
	latencyMargin = 1.15
	// minResponseShare is the share of the base latency that a response needs at
	// least. With less time left, the objective is lost.
	minResponseShare = 0.8
	// deadlineShare is the largest part of the time to the deadline that the
	// expected latency may take.
	deadlineShare = 0.85
)

// Place decides on a call with a latency objective. It is meant for loads near
// and above the capacity: calls don't queue at the upstreams but wait at the VM
// for an upstream with a free slot that is expected to respond in time. A call
// that can no longer meet its objective goes to the slowest free upstream that
// still meets the deadline, which leaves the faster ones to calls that can be
// in time. While such calls wait for a fast upstream it is refused: it would
// occupy a slot of a slow upstream for several times as long as theirs, also after
// the slow phase. An upstream that stands idle and doesn't report that it is slow
// gets the call even if no response in time is expected.
func (b *Balancer) Place(now time.Time, request Request, left TimeLeft) (Choice, Verdict) {
	at := b.since(now)
	if at >= b.nextUnheardCheck {
		b.suspectUnheard(at)
	}
	p := b.collect(at, request, left)
	isObjectiveLost := float64(left.Objective) < minResponseShare*float64(b.latencyModel.base(kindOf(request)))
	mayBeSlow := isObjectiveLost && (left.Waiting == 0 || !p.isAnyFast)
	chosen := p.timely
	if chosen == nil && mayBeSlow {
		chosen = p.late
	}
	if chosen == nil {
		chosen = p.idle.choose(isObjectiveLost, left.Waiting, mayBeSlow)
	}
	if chosen == nil {
		chosen = p.lastResort
	}
	switch {
	case chosen != nil:
		return b.choiceWithBasis(chosen, at, request), Send
	case isObjectiveLost:
		return Choice{}, Refuse
	default:
		return Choice{}, Wait
	}
}

// collect returns the upstreams that come into question for a call.
func (b *Balancer) collect(at time.Duration, request Request, left TimeLeft) placement {
	var p placement
	for _, e := range b.subset {
		p.isAnyFast = p.isAnyFast || e.phase != phaseSuspect && !e.isReportedSlow(at) && e.isPermitted(at)
		if b.isEligible(e, at, request) {
			b.consider(&p, e, at, request, left)
		} else if b.isLastResort(e, at, request) {
			p.lastResort = e
		}
	}
	return p
}

// placement holds the upstreams that come into question for a call.
type placement struct {
	// timely is the one of lowest cost that is expected to respond within the
	// objective, late the slowest one that is expected to meet the deadline.
	timely, late             *entry
	timelyCost, lateExpected float64
	idle                     idleChoice
	// lastResort is a suspect that gets the call when there is no other.
	lastResort *entry
	// isAnyFast means that an upstream, free or not, does not report that it is
	// slow, so that waiting calls may still be answered in time.
	isAnyFast bool
}

// consider adds an eligible upstream to a placement.
func (b *Balancer) consider(p *placement, e *entry, at time.Duration, request Request, left TimeLeft) {
	cost := b.placementCost(e, at)
	p.idle.add(b, e, at, left, cost+b.placementZoneCost(e, request))
	expected := cost * float64(b.latencyModel.base(kindOf(request)))
	if expected > deadlineShare*float64(left.Deadline) {
		return
	}
	if latencyMargin*expected <= float64(left.Objective) {
		cost += penaltyCost*e.currentPenalty(at) + b.placementZoneCost(e, request) + tieBreakNoise*b.random.Float64()
		if p.timely == nil || cost < p.timelyCost {
			p.timely, p.timelyCost = e, cost
		}
	}
	if p.late == nil || expected > p.lateExpected {
		p.late, p.lateExpected = e, expected
	}
}

// IsFresh reports whether the last load report of the chosen upstream is
// younger than age.
func (b *Balancer) IsFresh(now time.Time, choice Choice, age time.Duration) bool {
	e, ok := b.byName[choice.Name]
	return ok && e.isFresh(b.since(now), age)
}

func (e *entry) isFresh(at, age time.Duration) bool {
	return e.reportedAt > 0 && at-e.reportedAt < age
}

// placementZoneCost returns the extra cost of an upstream outside the sender's
// zone, in units of the base latency.
func (b *Balancer) placementZoneCost(e *entry, request Request) float64 {
	zone := request.Zone
	if zone == "" {
		zone = b.options.Zone
	}
	if e.upstream.Zone == zone {
		return 0
	}
	return fixedRemoteZoneCost + (float64(request.Bytes)+b.meanResponseBytes)/bytesPerBaseLatency
}

// Free returns the number of upstreams that have a free slot and are allowed
// for the call.
func (b *Balancer) Free(now time.Time, request Request) int {
	at := b.since(now)
	free := 0
	for _, e := range b.subset {
		if b.isEligible(e, at, request) {
			free++
		}
	}
	return free
}

// isEligible reports whether an upstream may get the call now: it is in use,
// not excluded, not full, and not a suspect unless a trial is allowed.
func (b *Balancer) isEligible(e *entry, at time.Duration, request Request) bool {
	if e.phase == phaseWarming {
		e.finishWarmUp(at)
	}
	if e.isOutOfUse() || slices.Contains(request.Exclude, e.upstream.Name) {
		return false
	}
	if e.phase == phaseSuspect && !e.isTrialAllowed(at, request) || !e.isPermitted(at) {
		return false
	}
	return b.placementLoad(e, at)+1 <= e.slots+maxQueued+loadMargin
}

// isTrialAllowed reports whether a suspect may get the call as its trial call. A
// call that must not be sent twice may go to it only if its last load report is
// recent.
func (e *entry) isTrialAllowed(at time.Duration, request Request) bool {
	return e.isTrialDue(at) && (!request.NoTrial || e.isFresh(at, maxReportAge))
}

// isLastResort reports whether a call that must not be sent twice may go to a suspect
// for lack of other upstreams: the trial is long due, and neither another call nor a
// probe has ended the suspicion.
func (b *Balancer) isLastResort(e *entry, at time.Duration, request Request) bool {
	return e.phase == phaseSuspect && e.isTrialDue(at-maxTrialDelay) && !slices.Contains(request.Exclude, e.upstream.Name) &&
		e.isPermitted(at) && b.placementLoad(e, at)+1 <= e.slots+maxQueued+loadMargin
}

// placementCost returns the expected latency, in units of the base latency.
func (b *Balancer) placementCost(e *entry, at time.Duration) float64 {
	cost := b.latencyModel.latencyAt(b.placementLoad(e, at)) * b.expectedSlowness(e, at)
	if at < e.coldUntil {
		cost *= coldSlowness
	}
	if e.phase == phaseWarming {
		cost /= e.warmUpShare(at)
	}
	return cost
}

// choiceWithBasis returns the choice of an upstream with the estimates behind it.
func (b *Balancer) choiceWithBasis(e *entry, at time.Duration, request Request) Choice {
	choice := e.choice(request)
	choice.Basis = Basis{
		Load:     b.placementLoad(e, at),
		Slowness: b.expectedSlowness(e, at),
		Age:      at - e.reportedAt,
		Expected: time.Duration(b.placementCost(e, at) * float64(b.latencyModel.bases[choice.kind].median)),
	}
	if e.reportedAt == 0 {
		choice.Basis.Age = -1
	}
	isLoadKnown := e.isFresh(at, maxReportAge) || !b.ReportsLoad()
	choice.isLoadKnown = isLoadKnown && e.phase == phaseReady && at >= e.coldUntil
	return choice
}

// recordPlacedLatency records the latency of a response from an upstream that
// Place chose.
func (b *Balancer) recordPlacedLatency(at time.Duration, choice Choice, latency time.Duration) {
	if choice.isLoadKnown {
		b.latencyModel.observe(at, choice.kind, choice.Basis.Load, choice.Basis.Slowness, latency)
	}
}

// BaseLatency returns the latency of an upstream without other calls at its usual
// speed, over all kinds of calls. It is 0 before the first responses.
func (b *Balancer) BaseLatency() time.Duration {
	return b.latencyModel.overall.value
}

// BaseEstimate is the base latency of a kind of calls and what it rests on.
type BaseEstimate struct {
	Latency time.Duration
	// Age is the time since the last sample. Samples is the number of samples.
	Age     time.Duration
	Samples int
}

// BaseEstimate returns the base latency for calls of the kind of a request: lookups, calls
// that must not be sent twice, and bulk calls differ in how much work they are.
func (b *Balancer) BaseEstimate(now time.Time, request Request) BaseEstimate {
	base := &b.latencyModel.bases[kindOf(request)]
	return BaseEstimate{Latency: base.value, Age: b.since(now) - base.sampledAt, Samples: len(base.samples)}
}
