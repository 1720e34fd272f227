package chart

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Chart is a checked state chart.
type Chart struct {
	name    string
	initial State
	events  []Event
	states  map[State]*node
}

// node is one state with its transitions.
type node struct {
	final bool
	next  map[Event]State
}

const (
	chartSection = "chart"
	statePrefix  = "state "
	finalKey     = "final"
)

// Load reads the chart in the named file and checks it. The error names the
// file and what is wrong with it.
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

// MustLoad is Load for a chart that the program can't run without. It panics
// when the chart is at fault.
func MustLoad(files fs.FS, name string) *Chart {
	chart, err := Load(files, name)
	if err != nil {
		panic(err)
	}
	return chart
}

// LoadAll reads and checks every chart in files.
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

// Parse reads a chart and checks it.
func Parse(content []byte) (*Chart, error) {
	file, err := ini.Load(content)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	header := file.Section(chartSection)
	c := &Chart{
		name:    header.Key("name").String(),
		initial: State(header.Key("initial").String()),
		states:  make(map[State]*node),
	}
	for _, event := range header.Key("events").Strings(",") {
		c.events = append(c.events, Event(event))
	}
	for _, section := range file.Sections() {
		if state, ok := strings.CutPrefix(section.Name(), statePrefix); ok {
			c.states[State(state)] = readNode(section)
		}
	}
	return c, c.check()
}

func readNode(section *ini.Section) *node {
	n := &node{next: make(map[Event]State)}
	for _, key := range section.Keys() {
		if key.Name() == finalKey {
			n.final = key.MustBool(false)
			continue
		}
		n.next[Event(key.Name())] = State(key.String())
	}
	return n
}

// check returns an error for an unnamed chart, an unknown state, an undeclared
// event, an unreachable state, or a final state that can be left.
func (c *Chart) check() error {
	if c.name == "" {
		return errors.New("the chart has no name")
	}
	if _, ok := c.states[c.initial]; !ok {
		return fmt.Errorf("unknown initial state %q", c.initial)
	}
	for state, n := range c.states {
		if err := c.checkNode(state, n); err != nil {
			return err
		}
	}
	return c.checkReachable()
}

func (c *Chart) checkNode(state State, n *node) error {
	if n.final && len(n.next) > 0 {
		return fmt.Errorf("final state %q has transitions", state)
	}
	for event, next := range n.next {
		if !slices.Contains(c.events, event) {
			return fmt.Errorf("state %q: undeclared event %q", state, event)
		}
		if _, ok := c.states[next]; !ok {
			return fmt.Errorf("state %q: unknown state %q", state, next)
		}
	}
	return nil
}

func (c *Chart) checkReachable() error {
	reached := map[State]bool{c.initial: true}
	pending := []State{c.initial}
	for len(pending) > 0 {
		state := pending[0]
		pending = pending[1:]
		for _, next := range c.states[state].next {
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

// Name returns the chart's name.
func (c *Chart) Name() string {
	return c.name
}

// Transition is one step of a chart.
type Transition struct {
	From  State
	Event Event
	To    State
}

// Transitions returns all steps of the chart, sorted.
func (c *Chart) Transitions() []Transition {
	var all []Transition
	for from, n := range c.states {
		for event, to := range n.next {
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

// Machine is one run of a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the chart's first state.
func (c *Chart) NewMachine() *Machine {
	return &Machine{chart: c, state: c.initial}
}

// State returns the machine's state.
func (m *Machine) State() State {
	return m.state
}

// IsFinal tells whether the machine has ended.
func (m *Machine) IsFinal() bool {
	return m.chart.states[m.state].final
}

// Fire moves the machine along an event. It returns an error, and stays where
// it is, when the state has no transition for the event.
func (m *Machine) Fire(event Event) (State, error) {
	next, ok := m.chart.states[m.state].next[event]
	if !ok {
		return m.state, fmt.Errorf("chart %s: state %q has no transition for %q", m.chart.name, m.state, event)
	}
	m.state = next
	return next, nil
}
