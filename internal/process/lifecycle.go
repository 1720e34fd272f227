package process

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/drain"
)

// Events and states of the state machine in charts/process.ini.
const (
	eventConfigured    chart.Event = "configured"
	eventStopRequested chart.Event = "stop_asked"
	eventLagPassed     chart.Event = "balancer_lag_passed"
	eventCallsFinished chart.Event = "calls_finished"
	eventStopTimeout   chart.Event = "stop_timeout"

	stateReady   chart.State = "ready"
	stateUnready chart.State = "unready"
)

// Lifecycle tracks the state of a process with the state machine in
// charts/process.ini. It is safe for concurrent use.
type Lifecycle struct {
	log hclog.Logger

	mu      sync.Mutex
	machine *chart.Machine
	// stop is the window of the stop; nil before it begins.
	stop *drain.Window
}

// NewLifecycle returns a Lifecycle in the state starting. It returns an error if any
// of the state charts is invalid.
func NewLifecycle(log hclog.Logger) (*Lifecycle, error) {
	all, err := chart.LoadAll(charts.Files)
	if err != nil {
		return nil, err
	}
	return &Lifecycle{log: log, machine: all["process"].NewMachine()}, nil
}

// fire applies an event and logs the transition. An event that the current state
// does not accept is ignored.
func (l *Lifecycle) fire(event chart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.machine.State()
	to, err := l.machine.Fire(event)
	if err != nil {
		return
	}
	l.log.Info("process state changed", "from", from, "to", to, "event", event)
}

// Configured makes the process ready if it is starting; in any other state it does
// nothing.
func (l *Lifecycle) Configured() {
	l.fire(eventConfigured)
}

// State returns the current state.
func (l *Lifecycle) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// IsReady reports whether the process accepts new calls.
func (l *Lifecycle) IsReady() bool {
	return l.State() == stateReady
}

// beginStop records the window of the stop that begins.
func (l *Lifecycle) beginStop(w drain.Window) {
	l.mu.Lock()
	l.stop = &w
	l.mu.Unlock()
	l.fire(eventStopRequested)
}

// StopWindow returns the window of the planned stop; false if the process was not asked to
// stop.
func (l *Lifecycle) StopWindow() (drain.Window, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stop == nil {
		return drain.Window{}, false
	}
	return *l.stop, true
}
