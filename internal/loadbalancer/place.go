package loadbalancer

import (
	"slices"
	"time"
)

// TimeLeft is how much time a call has.
type TimeLeft struct {
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// Deadline is the time after which an answer is worth nothing.
	Deadline time.Duration
}

// Basis is what the choice of an upstream rests on.
type Basis struct {
	// Load counts the calls at the upstream.
	Load float64
	// Slowness is how long work takes there, as a multiple of the usual.
	Slowness float64
	// Age is the age of the upstream's last report; negative when there was none.
	Age time.Duration
	// Expected is the expected time until the answer; 0 while it is not known.
	Expected time.Duration
}

// Verdict is the decision on a call at one moment.
type Verdict int

// The verdicts.
const (
	// Send means that the call goes to the upstream of the Choice.
	Send Verdict = iota
	// Wait means that no upstream would answer within the objective now, but one
	// that becomes free may.
	Wait
	// Refuse means that the objective can't be met and no free upstream would
	// answer before the deadline.
	Refuse
)

// Constants of placing.
const (
	// maxQueued is the number of calls that may wait at an upstream for a slot.
	maxQueued = 0
	// loadMargin is by how much the estimated load may be off.
	loadMargin = 0.35
	// knownAge is the age up to which a load counts as known when a latency is
	// learned from.
	knownAge = 40 * time.Millisecond
	// errorPenalty is the cost of an error of an upstream, in units for each call
	// that the error stands for.
	errorPenalty = 0.1
	// bytesPerUnit is the number of bytes that cost as much between zones as one
	// unit of time.
	bytesPerUnit = 6 << 10
	// zonePenalty is the cost of another zone without any bytes, in units.
	zonePenalty = 0.03
	// timelyMargin is by how much an answer may take longer than expected and
	// still be in time.
	timelyMargin = 1.15
	// minAnswerWork is the share of the unit below which no answer comes.
	minAnswerWork = 0.8
	// deadlineShare is the part of the time to the deadline that an expected
	// answer may take.
	deadlineShare = 0.85
)

// Place decides on a call whose answer is worth most within an objective. It
// serves a load near and above the capacity: calls don't queue at upstreams but
// wait at the VM for one with a free slot that is expected to answer in time. A
// call that can no longer be answered in time goes to the slowest free upstream
// that still meets its deadline and so leaves the others to calls in time.
func (b *Balancer) Place(now time.Time, request Request, left TimeLeft) (Choice, Verdict) {
	at := b.since(now)
	if at >= b.unheardAt {
		b.tryUnheard(at)
	}
	var timely, late *entry
	var timelyCost, lateTime float64
	for _, e := range b.entries {
		if !b.mayPlace(e, at, request) {
			continue
		}
		cost := b.placeCost(e, at)
		expected := cost * float64(b.pace.unit)
		if expected > deadlineShare*float64(left.Deadline) {
			continue
		}
		if timelyMargin*expected <= float64(left.Objective) {
			cost += errorPenalty*e.errorLoad(at) + b.zonePenalty(e, request) + tieNoise*b.random.Float64()
			if timely == nil || cost < timelyCost {
				timely, timelyCost = e, cost
			}
		}
		if late == nil || expected > lateTime {
			late, lateTime = e, expected
		}
	}
	isObjectiveLost := float64(left.Objective) < minAnswerWork*float64(b.pace.unit)
	switch {
	case timely != nil:
		return b.placed(timely, at, request), Send
	case !isObjectiveLost:
		return Choice{}, Wait
	case late != nil:
		return b.placed(late, at, request), Send
	default:
		return Choice{}, Refuse
	}
}

// IsFresh tells whether the load of the chosen upstream is known as of less than
// age ago.
func (b *Balancer) IsFresh(now time.Time, choice Choice, age time.Duration) bool {
	e, ok := b.byName[choice.Name]
	return ok && e.isFresh(b.since(now), age)
}

func (e *entry) isFresh(at, age time.Duration) bool {
	return e.reportedAt > 0 && at-e.reportedAt < age
}

// zonePenalty returns the cost of an upstream in another zone than the sender's.
func (b *Balancer) zonePenalty(e *entry, request Request) float64 {
	zone := request.Zone
	if zone == "" {
		zone = b.options.Zone
	}
	if e.upstream.Zone == zone {
		return 0
	}
	return zonePenalty + (float64(request.Bytes)+b.meanAnswer)/bytesPerUnit
}

// Free returns the number of upstreams with a free slot that a call may go to.
func (b *Balancer) Free(now time.Time, request Request) int {
	at := b.since(now)
	free := 0
	for _, e := range b.entries {
		if b.mayPlace(e, at, request) {
			free++
		}
	}
	return free
}

// mayPlace tells whether an upstream may get a call now: it is in use, was not
// tried and is not full.
func (b *Balancer) mayPlace(e *entry, at time.Duration, request Request) bool {
	if e.phase == phaseWarming {
		e.advance(at)
	}
	if e.isOut() || slices.Contains(request.Exclude, e.upstream.Name) {
		return false
	}
	if e.phase == phaseSuspect && !e.mayTry(at, request) {
		return false
	}
	return b.callLoad(e, at)+1 <= e.slots+maxQueued+loadMargin
}

// mayTry tells whether a suspect may get a call. One that can't be sent a second
// time tries it only while the upstream says that it is well.
func (e *entry) mayTry(at time.Duration, request Request) bool {
	return e.isTrialDue(at) && (!request.NoTrial || e.isFresh(at, knownAge))
}

// placeCost returns the expected time until an answer, in units.
func (b *Balancer) placeCost(e *entry, at time.Duration) float64 {
	cost := b.pace.at(b.callLoad(e, at)) * b.expectedSlowness(e, at)
	if at < e.coldUntil {
		cost *= coldSlowness
	}
	if e.phase == phaseWarming {
		cost /= e.warmth(at)
	}
	return cost
}

// placed returns the choice of an upstream with what was known of it.
func (b *Balancer) placed(e *entry, at time.Duration, request Request) Choice {
	choice := e.choice(request)
	choice.Basis = Basis{
		Load:     b.callLoad(e, at),
		Slowness: b.expectedSlowness(e, at),
		Age:      at - e.reportedAt,
		Expected: time.Duration(b.placeCost(e, at) * float64(b.pace.unit)),
	}
	if e.reportedAt == 0 {
		choice.Basis.Age = -1
	}
	choice.isLoadKnown = e.isFresh(at, knownAge) && e.phase == phaseReady && at >= e.coldUntil
	return choice
}

// learnPlaced takes the latency of an answer of an upstream that Place chose.
func (b *Balancer) learnPlaced(choice Choice, latency time.Duration) {
	if choice.isLoadKnown {
		b.pace.learn(choice.Basis.Load, choice.Basis.Slowness, latency)
	}
}

// Unit returns the time in which an upstream without other calls answers at its
// usual speed; 0 before the first answer.
func (b *Balancer) Unit() time.Duration {
	return b.pace.unit
}
