package statechart

import (
	"fmt"
	"sort"
	"strings"
)

// Mermaid returns the chart as a Mermaid state diagram. Ignored events are
// omitted; each final state has an edge to the end marker.
func Mermaid(c *Chart) string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.Initial)
	for _, e := range c.diagramEdges() {
		fmt.Fprintf(&b, "    %s --> %s: %s\n", e.from, e.to, e.label)
	}
	for _, s := range c.SortedStates() {
		if c.States[s].Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s)
		}
	}
	return b.String()
}

// Dot returns the chart in the DOT language of Graphviz. Ignored events are
// omitted; final states have a double border.
func Dot(c *Chart) string {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %q {\n    rankdir=LR;\n    node [shape=box, style=rounded];\n", c.Name)
	b.WriteString("    start [shape=point];\n")
	for _, s := range c.SortedStates() {
		if c.States[s].Final {
			fmt.Fprintf(&b, "    %q [peripheries=2];\n", s)
		}
	}
	fmt.Fprintf(&b, "    start -> %q;\n", c.Initial)
	for _, e := range c.diagramEdges() {
		fmt.Fprintf(&b, "    %q -> %q [label=%q];\n", e.from, e.to, e.label)
	}
	b.WriteString("}\n")
	return b.String()
}

// diagramEdge is an edge of a diagram.
type diagramEdge struct {
	from, to State
	label    string
}

// diagramEdges returns the edges ordered by state name, then by the chart's order
// of events.
func (c *Chart) diagramEdges() []diagramEdge {
	order := make(map[Event]int, len(c.Events))
	for i, ev := range c.Events {
		order[ev] = i
	}
	var list []diagramEdge
	for _, s := range c.SortedStates() {
		on := c.States[s].On
		events := make([]Event, 0, len(on))
		for ev := range on {
			events = append(events, ev)
		}
		sort.Slice(events, func(i, j int) bool { return order[events[i]] < order[events[j]] })
		for _, ev := range events {
			for _, e := range on[ev] {
				list = append(list, diagramEdge{s, e.target(s), e.label(ev)})
			}
		}
	}
	return list
}

// target returns the state after the edge is taken in the state from.
func (e *Edge) target(from State) State {
	if e.To == "" {
		return from
	}
	return e.To
}

// label returns the text "event [guard] / action, action".
func (e *Edge) label(ev Event) string {
	text := string(ev)
	if e.Guard != "" {
		text += " [" + string(e.Guard) + "]"
	}
	for i, a := range e.Do {
		sep := ", "
		if i == 0 {
			sep = " / "
		}
		text += sep + string(a)
	}
	return text
}
