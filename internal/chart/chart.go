package chart

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// Chart is a validated state machine definition. It is immutable and safe for
// concurrent use.
type Chart struct {
	name    string
	initial State
	events  []Event
	states  map[State]*stateNode
}

// stateNode is one state with its outgoing transitions.
type stateNode struct {
	isFinal     bool
	transitions map[Event]State
}

const (
	chartSection = "chart"
	statePrefix  = "state "
	finalKey     = "final"
)

// Load reads and validates the chart in the named file. Its errors contain the
// file name.
func Load(files fs.FS, name string) (*Chart, error) {
	content, err := fs.ReadFile(files, name)
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	chart, err := Parse(content)
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	return chart, nil
}

// MustLoad is like Load but panics on an error. It is meant for charts that are
// embedded in the program.
func MustLoad(files fs.FS, name string) *Chart {
	chart, err := Load(files, name)
	if err != nil {
		panic(err)
	}
	return chart
}

// LoadAll reads and validates every *.ini file in files. The result is keyed by
// the name of the chart.
func LoadAll(files fs.FS) (map[string]*Chart, error) {
	names, err := fs.Glob(files, "*.ini")
	if err != nil {
		return nil, errors.Wrap(err, "list charts")
	}
	all := make(map[string]*Chart, len(names))
	for _, name := range names {
		chart, err := Load(files, name)
		if err != nil {
			return nil, err
		}
		all[chart.name] = chart
	}
	return all, nil
}

// Parse parses and validates a chart.
func Parse(content []byte) (*Chart, error) {
	file, err := ini.Load(content)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	header := file.Section(chartSection)
	c := &Chart{
		name:    header.Key("name").String(),
		initial: State(header.Key("initial").String()),
		states:  make(map[State]*stateNode),
	}
	for _, event := range header.Key("events").Strings(",") {
		c.events = append(c.events, Event(event))
	}
	for _, section := range file.Sections() {
		if state, ok := strings.CutPrefix(section.Name(), statePrefix); ok {
			c.states[State(state)] = parseState(section)
		}
	}
	return c, c.validate()
}

func parseState(section *ini.Section) *stateNode {
	n := &stateNode{transitions: make(map[Event]State)}
	for _, key := range section.Keys() {
		if key.Name() == finalKey {
			n.isFinal = key.MustBool(false)
			continue
		}
		n.transitions[Event(key.Name())] = State(key.String())
	}
	return n
}

// validate returns an error if the chart has no name, an unknown state, an
// undeclared event, an unreachable state, or a final state with transitions.
func (c *Chart) validate() error {
	if c.name == "" {
		return errors.New("the chart has no name")
	}
	if _, ok := c.states[c.initial]; !ok {
		return fmt.Errorf("unknown initial state %q", c.initial)
	}
	for state, n := range c.states {
		if err := c.validateState(state, n); err != nil {
			return err
		}
	}
	return c.validateReachability()
}

func (c *Chart) validateState(state State, n *stateNode) error {
	if n.isFinal && len(n.transitions) > 0 {
		return fmt.Errorf("final state %q has transitions", state)
	}
	for event, next := range n.transitions {
		if !slices.Contains(c.events, event) {
			return fmt.Errorf("state %q: undeclared event %q", state, event)
		}
		if _, ok := c.states[next]; !ok {
			return fmt.Errorf("state %q: unknown state %q", state, next)
		}
	}
	return nil
}

func (c *Chart) validateReachability() error {
	reached := map[State]bool{c.initial: true}
	pending := []State{c.initial}
	for len(pending) > 0 {
		state := pending[0]
		pending = pending[1:]
		for _, next := range c.states[state].transitions {
			if !reached[next] {
				reached[next] = true
				pending = append(pending, next)
			}
		}
	}
	for state := range c.states {
		if !reached[state] {
			return fmt.Errorf("unreachable state %q", state)
		}
	}
	return nil
}

// Name returns the name of the chart.
func (c *Chart) Name() string {
	return c.name
}

// Transition is one transition of a chart.
type Transition struct {
	From  State
	Event Event
	To    State
}

// Transitions returns all transitions, sorted by From and then by Event.
func (c *Chart) Transitions() []Transition {
	var all []Transition
	for from, n := range c.states {
		for event, to := range n.transitions {
			all = append(all, Transition{From: from, Event: event, To: to})
		}
	}
	slices.SortFunc(all, func(a, b Transition) int {
		byFrom := strings.Compare(string(a.From), string(b.From))
		if byFrom != 0 {
			return byFrom
		}
		return strings.Compare(string(a.Event), string(b.Event))
	})
	return all
}

// Machine is an instance of a chart with a current state. It is not safe for
// concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a Machine in the initial state of the chart.
func (c *Chart) NewMachine() *Machine {
	return &Machine{chart: c, state: c.initial}
}

// State returns the current state.
func (m *Machine) State() State {
	return m.state
}

// IsFinal reports whether the current state is final.
func (m *Machine) IsFinal() bool {
	return m.chart.states[m.state].isFinal
}

// Fire applies an event and returns the new state. If the current state has no
// transition for the event, it returns an error and the state does not change.
func (m *Machine) Fire(event Event) (State, error) {
	next, ok := m.chart.states[m.state].transitions[event]
	if !ok {
		return m.state, fmt.Errorf("chart %s: state %q has no transition for %q", m.chart.name, m.state, event)
	}
	m.state = next
	return next, nil
}
