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
	eventMayHaveRun   chart.Event = "may_have_run"
	eventToldRan      chart.Event = "told_ran"
	eventToldNotRun   chart.Event = "told_not_run"
	eventToldUnknown  chart.Event = "told_unknown"
	eventToldAccepted chart.Event = "told_accepted"
)

// callChart is the chart of a call's states.
var callChart = chart.MustLoad(charts.Files, "call.ini")

// callState follows a call along its chart. The sends of a call share it; it is
// safe for concurrent use.
type callState struct {
	mu      sync.Mutex
	machine *chart.Machine
}

func newCallState() *callState {
	return &callState{machine: callChart.NewMachine()}
}

// fire moves the call along an event. One that comes after the caller was told
// the outcome, from a send that was given up, changes nothing.
func (s *callState) fire(event chart.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.machine.Fire(event)
}

// tell moves the call to its end and returns the outcome that the caller may be
// told: the given one where the chart allows it, otherwise Unknown. The second
// result is false when it had to be replaced.
func (s *callState) tell(out outcome.Outcome) (outcome.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine.IsFinal() {
		return out, true
	}
	if _, err := s.machine.Fire(toldEvent(out)); err == nil {
		return out, true
	}
	_, _ = s.machine.Fire(eventToldUnknown)
	return outcome.Unknown, false
}

func toldEvent(out outcome.Outcome) chart.Event {
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
