package gateway

import (
	"sync"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/outcome"
)

// Events of the chart call.ini.
const (
	eventAdmitted     chart.Event = "admitted"
	eventSent         chart.Event = "sent"
	eventNoneRan      chart.Event = "none_ran"
	eventMayHaveRun   chart.Event = "may_have_run"
	eventToldRan      chart.Event = "told_ran"
	eventToldNotRun   chart.Event = "told_not_run"
	eventToldUnknown  chart.Event = "told_unknown"
	eventToldAccepted chart.Event = "told_accepted"
)

// callChart is the state chart of a call.
var callChart = chart.MustLoad(charts.Files, "call.ini")

// callState tracks the state of a call in callChart. All sends of a call share
// it; it is safe for concurrent use.
type callState struct {
	mu      sync.Mutex
	machine *chart.Machine
	// pending is the number of sends that have begun and have no result yet.
	pending int
}

func newCallState() *callState {
	return &callState{machine: callChart.NewMachine()}
}

// fire applies an event. An event from an abandoned send, after the caller's
// outcome was decided, has no effect.
func (s *callState) fire(event chart.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.machine.Fire(event)
}

// beginSend records that a send begins.
func (s *callState) beginSend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending++
	_, _ = s.machine.Fire(eventSent)
}

// endSend records the outcome of a send.
func (s *callState) endSend(out outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
	switch {
	case out != outcome.NotRun:
		_, _ = s.machine.Fire(eventMayHaveRun)
	case s.pending == 0:
		_, _ = s.machine.Fire(eventNoneRan)
	}
}

// conclude moves the call to a final state and returns the outcome to report to
// the caller: out if the chart allows it, otherwise Unknown. The second result
// is false when out had to be replaced.
func (s *callState) conclude(out outcome.Outcome) (outcome.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine.IsFinal() {
		return out, true
	}
	if _, err := s.machine.Fire(eventForOutcome(out)); err == nil {
		return out, true
	}
	_, _ = s.machine.Fire(eventToldUnknown)
	return outcome.Unknown, false
}

// eventForOutcome returns the event that reports an outcome to the caller.
func eventForOutcome(out outcome.Outcome) chart.Event {
	switch out {
	case outcome.Ran:
		return eventToldRan
	case outcome.NotRun:
		return eventToldNotRun
	case outcome.Accepted:
		return eventToldAccepted
	default:
		return eventToldUnknown
	}
}
