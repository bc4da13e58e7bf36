package statechart

import (
	"fmt"
	"sort"
	"strings"
)

// Mermaid draws the chart as a Mermaid state diagram. Ignored events are left
// out; final states are marked by an edge to the end.
func Mermaid(c *Chart) string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.Initial)
	for _, l := range c.lines() {
		fmt.Fprintf(&b, "    %s --> %s: %s\n", l.from, l.to, l.label)
	}
	for _, s := range c.SortedStates() {
		if c.States[s].Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s)
		}
	}
	return b.String()
}

// Dot draws the chart in the language of Graphviz.
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
	for _, l := range c.lines() {
		fmt.Fprintf(&b, "    %q -> %q [label=%q];\n", l.from, l.to, l.label)
	}
	b.WriteString("}\n")
	return b.String()
}

// line is one drawn edge.
type line struct {
	from, to State
	label    string
}

// lines lists the edges by state, then by the chart's order of events.
func (c *Chart) lines() []line {
	order := make(map[Event]int, len(c.Events))
	for i, ev := range c.Events {
		order[ev] = i
	}
	var list []line
	for _, s := range c.SortedStates() {
		on := c.States[s].On
		events := make([]Event, 0, len(on))
		for ev := range on {
			events = append(events, ev)
		}
		sort.Slice(events, func(i, j int) bool { return order[events[i]] < order[events[j]] })
		for _, ev := range events {
			for _, e := range on[ev] {
				list = append(list, line{s, e.target(s), e.label(ev)})
			}
		}
	}
	return list
}

// target is the state after the edge.
func (e *Edge) target(from State) State {
	if e.To == "" {
		return from
	}
	return e.To
}

// label is "event [guard] / actions".
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
