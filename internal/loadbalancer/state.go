package loadbalancer

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
)

// Events and states of the state chart upstream.ini.
const (
	eventAnswered      chart.Event = "answered"
	eventFailed        chart.Event = "failed"
	eventDrainSeen     chart.Event = "drain_seen"
	eventWarmedUp      chart.Event = "warmed_up"
	eventProbeAnswered chart.Event = "probe_answered"
	eventSuspected     chart.Event = "suspected"
	eventUnheard       chart.Event = "unheard"

	stateWarming chart.State = "warming"
	stateReady   chart.State = "ready"
	stateSuspect chart.State = "suspect"
	stateLeaving chart.State = "leaving"
	stateGone    chart.State = "gone"
)

// upstreamChart is the state chart of an upstream.
var upstreamChart = mustLoadChart()

// mustLoadChart loads the embedded chart. It panics when the chart is invalid
// or lacks a state that the code relies on.
func mustLoadChart() *chart.Chart {
	c := chart.MustLoad(charts.Files, "upstream.ini")
	known := make(map[chart.State]bool)
	for _, t := range c.Transitions() {
		known[t.From] = true
	}
	for _, state := range []chart.State{stateWarming, stateReady, stateSuspect, stateLeaving, stateGone} {
		if !known[state] {
			panic(errors.Errorf("loadbalancer: chart upstream.ini lacks the state %q", state))
		}
	}
	return c
}

// phase is the state of an upstream as a number, which is cheap to compare.
type phase int

const (
	phaseWarming phase = iota
	phaseReady
	phaseSuspect
	phaseLeaving
	phaseGone
)

func phaseOf(state chart.State) phase {
	switch state {
	case stateReady:
		return phaseReady
	case stateSuspect:
		return phaseSuspect
	case stateLeaving:
		return phaseLeaving
	case stateGone:
		return phaseGone
	default:
		return phaseWarming
	}
}

// fire applies an event to the upstream's state. It ignores events that the
// state does not accept.
func (e *entry) fire(event chart.Event, at time.Duration) {
	previous := e.phase
	state, err := e.machine.Fire(event)
	if err != nil {
		return
	}
	e.phase = phaseOf(state)
	switch {
	case e.phase == phaseSuspect:
		e.scheduleTrial(at, previous)
	case e.phase == phaseWarming && previous != phaseWarming:
		e.startWarmUp(at)
	case e.phase == phaseLeaving && previous != phaseLeaving:
		e.leavingSince = at
		e.lastHeard = at
	}
}

// suspectUnheard turns upstreams that have been leaving or gone for
// unheardTimeout without a probe result into suspects. Without probes nothing
// else would bring them back.
func (b *Balancer) suspectUnheard(at time.Duration) {
	b.nextUnheardCheck = at + unheardCheckInterval
	isChanged := false
	for _, e := range b.ranked {
		if e.isOutOfUse() && !e.leavesForGood() && at-e.lastHeard >= unheardTimeout {
			e.fire(eventUnheard, at)
			isChanged = true
		}
	}
	if isChanged {
		b.selectSubset()
	}
}

// startWarmUp starts the warm-up after a random delay, so that the VMs don't
// return to a recovered upstream at the same moment.
func (e *entry) startWarmUp(at time.Duration) {
	e.warmUpStart = at + time.Duration(e.balancer.random.Float64()*float64(warmUpJitter))
	e.failures = 0
	e.latencyRatio = 1
	e.isSlowSuspect = false
	e.penalty = 0
}

// scheduleTrial sets the time of a suspect's next trial call. A failure that
// comes before the trial is due, such as that of a call sent before the
// suspicion, does not move it.
func (e *entry) scheduleTrial(at time.Duration, previous phase) {
	if previous == phaseSuspect && at < e.trialAt {
		return
	}
	if previous == phaseReady || e.trialDelay == 0 {
		e.trialDelay = minTrialDelay
	} else {
		e.trialDelay = min(2*e.trialDelay, maxTrialDelay)
	}
	e.trialAt = at + time.Duration((1+e.balancer.random.Float64())*float64(e.trialDelay))
}

// isTrialDue reports whether a suspect may get a trial call. There is one trial
// at a time.
func (e *entry) isTrialDue(at time.Duration) bool {
	return at >= e.trialAt && len(e.sendTimes) == 0
}

// finishWarmUp ends the warm-up of an upstream whose warm-up time has passed.
func (e *entry) finishWarmUp(at time.Duration) {
	if at >= e.warmUpStart+e.balancer.options.WarmUp {
		e.fire(eventWarmedUp, at)
	}
}

// warmUpShare returns the share of its usual calls that a warming upstream
// gets.
func (e *entry) warmUpShare(at time.Duration) float64 {
	passed := float64(at-e.warmUpStart) / float64(e.balancer.options.WarmUp)
	minShare := e.balancer.options.MinWarmUpShare
	return minShare + (1-minShare)*min(max(passed, 0), 1)
}

// isOutOfUse reports whether the upstream gets no calls because it is leaving
// or gone.
func (e *entry) isOutOfUse() bool {
	return e.phase == phaseLeaving || e.phase == phaseGone
}

// leavesForGood reports whether the upstream is leaving and comes back with a new start only.
// One that does not tell its start can't be told from a new one at its address.
func (e *entry) leavesForGood() bool {
	return e.isOutOfUse() && e.saysItLeaves && !e.upstream.Started.IsZero()
}

// seeDrain records that the upstream itself says that it is leaving.
func (e *entry) seeDrain(at time.Duration) {
	e.fire(eventDrainSeen, at)
	e.isDrainSeenLocally = true
	e.saysItLeaves = true
}

// recordProbe records the result of a probe that was sent at sentAt. A healthy
// answer does not bring back a leaving upstream during drainHold, or at all if it tells its
// start, nor a suspect that was slow or whose trial is not due.
func (e *entry) recordProbe(at, sentAt time.Duration, healthy bool) {
	e.lastHeard = at
	if e.leavesForGood() {
		return
	}
	if !healthy {
		e.fire(eventFailed, at)
		return
	}
	if e.phase == phaseLeaving && sentAt < e.leavingSince+drainHold {
		return
	}
	if e.phase == phaseSuspect && (e.isSlowSuspect || at < e.trialAt) {
		return
	}
	e.fire(eventProbeAnswered, at)
}
