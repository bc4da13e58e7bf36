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
	// Action names an action, carried out by the chart's owner.
	Action string
	// Guard names a condition, answered by the chart's owner.
	Guard string
)

// Edge is what a state does on an event.
type Edge struct {
	// Guard must hold for the edge to be taken; empty for always.
	Guard Guard `json:"guard,omitempty"`
	// To is the next state; empty to stay.
	To State `json:"to,omitempty"`
	// Do lists the actions, in order.
	Do []Action `json:"do,omitempty"`
}

// Node is one state of a chart.
type Node struct {
	// Final states handle no events.
	Final bool `json:"final,omitempty"`
	// Ignore lists the events that the state drops on purpose.
	Ignore []Event `json:"ignore,omitempty"`
	// On has the edges of an event; the first whose guard holds is taken.
	On map[Event][]Edge `json:"on,omitempty"`
}

// Chart is one state chart.
type Chart struct {
	Name    string         `json:"name"`
	Doc     string         `json:"doc"`
	Initial State          `json:"initial"`
	Events  []Event        `json:"events"`
	Guards  []Guard        `json:"guards,omitempty"`
	Actions []Action       `json:"actions"`
	States  map[State]Node `json:"states"`
}

// ChartError says what is wrong with a chart.
type ChartError struct {
	Chart  string
	Reason string
}

// Error implements error.
func (e *ChartError) Error() string { return "chart " + e.Chart + ": " + e.Reason }

// Load reads and checks the embedded chart of that name.
func Load(name string) (*Chart, error) {
	data, err := files.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, errors.WithStack(&ChartError{name, "no such file"})
	}
	return Parse(name, data)
}

// MustLoad is Load for charts that are part of the program.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names lists the embedded charts.
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

// Parse reads and checks a chart.
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

// SortedStates lists the states in the order of their names.
func (c *Chart) SortedStates() []State {
	states := make([]State, 0, len(c.States))
	for s := range c.States {
		states = append(states, s)
	}
	sort.Slice(states, func(i, j int) bool { return states[i] < states[j] })
	return states
}
