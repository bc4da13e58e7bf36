package statechart

import (
	"slices"

	"github.com/pkg/errors"
)

// GuardFunc answers a guard; it must not change anything.
type GuardFunc func() bool

// Guards binds the guards of a chart.
type Guards map[Guard]GuardFunc

// EventError says that a state got an event that it does not know.
type EventError struct {
	Chart string
	State State
	Event Event
}

// Error implements error.
func (e *EventError) Error() string {
	return "chart " + e.Chart + ": state " + string(e.State) + " got event " + string(e.Event)
}

// Machine is one run of a chart. It is not safe for concurrent use.
type Machine struct {
	chart  *Chart
	guards Guards
	state  State
}

// NewMachine returns a Machine in the chart's initial state. It fails when a
// guard of the chart is not bound.
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

// Done reports whether the state is final.
func (m *Machine) Done() bool { return m.chart.States[m.state].Final }

// Fire handles the event: it changes the state and returns the actions to carry
// out, in order. A final state and an ignored event give none.
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
