package process

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
)

// Events and states of the chart process.ini.
const (
	eventConfigured    chart.Event = "configured"
	eventStopAsked     chart.Event = "stop_asked"
	eventLagPassed     chart.Event = "balancer_lag_passed"
	eventCallsFinished chart.Event = "calls_finished"
	eventStopTimeout   chart.Event = "stop_timeout"

	stateReady   chart.State = "ready"
	stateUnready chart.State = "unready"
)

// Life is the state of a process along its chart.
type Life struct {
	log hclog.Logger

	mu      sync.Mutex
	machine *chart.Machine
}

// NewLife returns the life of a process that starts. It returns an error when
// any chart is at fault.
func NewLife(log hclog.Logger) (*Life, error) {
	all, err := chart.LoadAll(charts.Files)
	if err != nil {
		return nil, err
	}
	return &Life{log: log, machine: all["process"].NewMachine()}, nil
}

// fire moves the process along an event; one that its state does not take is
// ignored.
func (l *Life) fire(event chart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.machine.State()
	to, err := l.machine.Fire(event)
	if err != nil {
		return
	}
	l.log.Info("process state", "from", from, "to", to, "event", event)
}

// Configured makes the process ready when it is still starting.
func (l *Life) Configured() {
	l.fire(eventConfigured)
}

// State returns the process's state.
func (l *Life) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// IsReady tells whether the process wants new calls.
func (l *Life) IsReady() bool {
	return l.State() == stateReady
}
