package statechart

import (
	"slices"

	"github.com/pkg/errors"
)

// GuardFunc evaluates a guard. It must have no side effects.
type GuardFunc func() bool

// Guards maps the guards of a chart to their functions.
type Guards map[Guard]GuardFunc

// EventError reports an event that the state neither handles nor ignores.
type EventError struct {
	Chart string
	State State
	Event Event
}

// Error implements error.
func (e *EventError) Error() string {
	return "chart " + e.Chart + ": state " + string(e.State) + " got event " + string(e.Event)
}

// Machine is an instance of a chart with its current state. It is not safe for
// concurrent use.
type Machine struct {
	chart  *Chart
	guards Guards
	state  State
}

// NewMachine returns a Machine in the chart's initial state. It returns a
// ChartError if guards lacks a guard of the chart.
func NewMachine(c *Chart, guards Guards) (*Machine, error) {
	for _, g := range c.Guards {
		if guards[g] == nil {
			return nil, errors.WithStack(&ChartError{c.Name, "guard " + string(g) + " is not bound"})
		}
	}
	return &Machine{chart: c, guards: guards, state: c.Initial}, nil
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Done reports whether the current state is final.
func (m *Machine) Done() bool { return m.chart.States[m.state].Final }

// Fire processes the event: it changes the state and returns the actions to
// execute, in order. In a final state and for an ignored event it returns none.
// It returns an EventError if the state neither handles nor ignores the event.
func (m *Machine) Fire(ev Event) ([]Action, error) {
	node := m.chart.States[m.state]
	if node.Final || slices.Contains(node.Ignore, ev) {
		return nil, nil
	}
	for _, e := range node.On[ev] {
		if e.Guard != "" && !m.guards[e.Guard]() {
			continue
		}
		if e.To != "" {
			m.state = e.To
		}
		return e.Do, nil
	}
	return nil, errors.WithStack(&EventError{m.chart.Name, m.state, ev})
}
