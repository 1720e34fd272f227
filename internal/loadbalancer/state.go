package loadbalancer

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
)

// Events and states of the chart upstream.ini.
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

// upstreamChart is the chart of an upstream's states.
var upstreamChart = mustLoadChart()

// mustLoadChart reads the embedded chart. It panics when the chart is at fault
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

// phase is the state of an upstream in a form that is cheap to compare.
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

// fire moves the upstream along an event; one that its state does not take is
// ignored.
func (e *entry) fire(event chart.Event, at time.Duration) {
	was := e.phase
	state, err := e.machine.Fire(event)
	if err != nil {
		return
	}
	e.phase = phaseOf(state)
	switch {
	case e.phase == phaseSuspect:
		e.scheduleTrial(at, was)
	case e.phase == phaseWarming && was != phaseWarming:
		e.startWarmUp(at)
	case e.phase == phaseLeaving && was != phaseLeaving:
		e.leftAt = at
		e.heardAt = at
	}
}

// tryUnheard makes suspects of the upstreams that are out and of which nothing
// was heard for unheardAfter: without probes nothing else brings them back.
func (b *Balancer) tryUnheard(at time.Duration) {
	b.unheardAt = at + unheardCheck
	isChanged := false
	for _, e := range b.ranked {
		if e.isOut() && at-e.heardAt >= unheardAfter {
			e.fire(eventUnheard, at)
			isChanged = true
		}
	}
	if isChanged {
		b.selectSubset()
	}
}

// startWarmUp begins the slow start after a random delay, so that the VMs don't
// return to a recovered upstream at the same moment.
func (e *entry) startWarmUp(at time.Duration) {
	e.warmFrom = at + time.Duration(e.balancer.random.Float64()*float64(warmUpJitter))
	e.failures = 0
	e.pace = 1
	e.isSlow = false
	e.errors = 0
}

// scheduleTrial sets the time of a suspect's next trial call. Answers to calls
// that were sent before the suspicion change nothing.
func (e *entry) scheduleTrial(at time.Duration, was phase) {
	if was == phaseSuspect && at < e.trialAt {
		return
	}
	if was == phaseReady || e.trialAfter == 0 {
		e.trialAfter = firstTrialAfter
	} else {
		e.trialAfter = min(2*e.trialAfter, lastTrialAfter)
	}
	e.trialAt = at + time.Duration((1+e.balancer.random.Float64())*float64(e.trialAfter))
}

// isTrialDue tells whether a suspect may get one call. The next one is due only
// when this one has ended.
func (e *entry) isTrialDue(at time.Duration) bool {
	return at >= e.trialAt && len(e.starts) == 0
}

// advance ends the warm-up of a warming upstream whose time has passed.
func (e *entry) advance(at time.Duration) {
	if at >= e.warmFrom+e.balancer.options.WarmUp {
		e.fire(eventWarmedUp, at)
	}
}

// warmth is the share of its calls that a warming upstream gets.
func (e *entry) warmth(at time.Duration) float64 {
	passed := float64(at-e.warmFrom) / float64(e.balancer.options.WarmUp)
	least := e.balancer.options.MinWarmth
	return least + (1-least)*min(max(passed, 0), 1)
}

// isOut tells whether the upstream gets no calls at all.
func (e *entry) isOut() bool {
	return e.phase == phaseLeaving || e.phase == phaseGone
}

// probed records the answer to a probe that was sent at the given time.
func (e *entry) probed(at, sentAt time.Duration, healthy bool) {
	e.heardAt = at
	if !healthy {
		e.fire(eventFailed, at)
		return
	}
	if e.phase == phaseLeaving && sentAt < e.leftAt+drainHold {
		return
	}
	if e.phase == phaseSuspect && (e.isSlow || at < e.trialAt) {
		return
	}
	e.fire(eventProbeAnswered, at)
}
