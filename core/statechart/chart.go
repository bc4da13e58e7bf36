package statechart

import (
	"bytes"
	"embed"
	"encoding/json"
	"sort"
	"strconv"

	"github.com/pkg/errors"
)

//go:embed charts/*.json
var files embed.FS

type (
	// State names a state.
	State string
	// Event names an event.
	Event string
	// Action names an action, which the user of the chart executes.
	Action string
	// Guard names a condition, which a GuardFunc evaluates.
	Guard string
)

// Edge is the transition that a state makes on an event.
type Edge struct {
	// Guard is the condition for taking the edge; empty if there is none.
	Guard Guard `json:"guard,omitempty"`
	// To is the next state; if empty, the state does not change.
	To State `json:"to,omitempty"`
	// Do lists the actions in the order of execution.
	Do []Action `json:"do,omitempty"`
}

// Node defines one state of a chart.
type Node struct {
	// Final marks a state that handles no events.
	Final bool `json:"final,omitempty"`
	// Ignore lists the events that the state deliberately discards.
	Ignore []Event `json:"ignore,omitempty"`
	// On lists the edges of each event; the first whose guard holds is taken.
	On map[Event][]Edge `json:"on,omitempty"`
}

// Chart is a state chart, as decoded from its JSON file.
type Chart struct {
	Name    string         `json:"name"`
	Doc     string         `json:"doc"`
	Initial State          `json:"initial"`
	Events  []Event        `json:"events"`
	Guards  []Guard        `json:"guards,omitempty"`
	Actions []Action       `json:"actions"`
	States  map[State]Node `json:"states"`
}

// ChartError reports that a chart is invalid or missing, or that a guard is not
// bound.
type ChartError struct {
	Chart  string
	Reason string
}

// Error implements error.
func (e *ChartError) Error() string { return "chart " + e.Chart + ": " + e.Reason }

// Load parses and validates the embedded chart with the name. It returns a
// ChartError if there is none or it is invalid.
func Load(name string) (*Chart, error) {
	data, err := files.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, errors.WithStack(&ChartError{name, "no embedded chart has this name"})
	}
	return Parse(name, data)
}

// MustLoad is like Load but panics on an error. It is meant for charts that are
// part of the program.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of the embedded charts in alphabetical order.
func Names() []string {
	entries, err := files.ReadDir("charts")
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name()[:len(e.Name())-len(".json")])
	}
	return names
}

// Parse decodes and validates a chart, whose name field must equal name. It
// returns a ChartError if the chart is invalid.
func Parse(name string, data []byte) (*Chart, error) {
	var c Chart
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return nil, errors.WithStack(&ChartError{name, err.Error()})
	}
	if c.Name != name {
		return nil, errors.WithStack(&ChartError{name, "is named " + strconv.Quote(c.Name)})
	}
	if reason := c.check(); reason != "" {
		return nil, errors.WithStack(&ChartError{name, reason})
	}
	return &c, nil
}

// SortedStates returns the states in alphabetical order.
func (c *Chart) SortedStates() []State {
	states := make([]State, 0, len(c.States))
	for s := range c.States {
		states = append(states, s)
	}
	sort.Slice(states, func(i, j int) bool { return states[i] < states[j] })
	return states
}
