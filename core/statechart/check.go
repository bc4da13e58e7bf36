package statechart

import (
	"fmt"
	"slices"
)

// check returns the reason why the chart is invalid, or an empty string if it is
// valid.
func (c *Chart) check() string {
	if _, ok := c.States[c.Initial]; !ok {
		return fmt.Sprintf("initial state %q does not exist", c.Initial)
	}
	for _, s := range c.SortedStates() {
		if reason := c.checkState(s); reason != "" {
			return reason
		}
	}
	if reason := c.checkUsed(); reason != "" {
		return reason
	}
	return c.checkReachable()
}

func (c *Chart) checkState(s State) string {
	node := c.States[s]
	if node.Final && len(node.On) > 0 {
		return fmt.Sprintf("final state %q has edges", s)
	}
	for ev, edges := range node.On {
		if !slices.Contains(c.Events, ev) {
			return fmt.Sprintf("state %q handles undeclared event %q", s, ev)
		}
		if reason := c.checkEdges(s, ev, edges); reason != "" {
			return reason
		}
	}
	for _, ev := range node.Ignore {
		if !slices.Contains(c.Events, ev) {
			return fmt.Sprintf("state %q ignores undeclared event %q", s, ev)
		}
		if _, handled := node.On[ev]; handled {
			return fmt.Sprintf("state %q both handles and ignores event %q", s, ev)
		}
	}
	if node.Final {
		return ""
	}
	for _, ev := range c.Events {
		_, handled := node.On[ev]
		if !handled && !slices.Contains(node.Ignore, ev) {
			return fmt.Sprintf("state %q does not handle event %q", s, ev)
		}
	}
	return ""
}

func (c *Chart) checkEdges(s State, ev Event, edges []Edge) string {
	if len(edges) == 0 {
		return fmt.Sprintf("state %q has no edge for event %q", s, ev)
	}
	for i, e := range edges {
		if e.Guard == "" && i < len(edges)-1 {
			return fmt.Sprintf("state %q has an edge for event %q that can never be taken", s, ev)
		}
		if _, ok := c.States[e.To]; e.To != "" && !ok {
			return fmt.Sprintf("state %q has an edge to unknown state %q", s, e.To)
		}
		if e.Guard != "" && !slices.Contains(c.Guards, e.Guard) {
			return fmt.Sprintf("state %q uses undeclared guard %q", s, e.Guard)
		}
		for _, a := range e.Do {
			if !slices.Contains(c.Actions, a) {
				return fmt.Sprintf("state %q uses undeclared action %q", s, a)
			}
		}
	}
	if last := edges[len(edges)-1]; last.Guard != "" {
		return fmt.Sprintf("state %q has no unguarded edge for event %q", s, ev)
	}
	return ""
}

// checkUsed looks for guards and actions that are declared twice or never used.
func (c *Chart) checkUsed() string {
	guards := make(map[Guard]int)
	actions := make(map[Action]int)
	for _, node := range c.States {
		for _, edges := range node.On {
			for _, e := range edges {
				guards[e.Guard]++
				for _, a := range e.Do {
					actions[a]++
				}
			}
		}
	}
	if name := firstUnusedOrDuplicate(c.Guards, guards); name != "" {
		return fmt.Sprintf("guard %q is declared twice or used nowhere", name)
	}
	if name := firstUnusedOrDuplicate(c.Actions, actions); name != "" {
		return fmt.Sprintf("action %q is declared twice or used nowhere", name)
	}
	return ""
}

// firstUnusedOrDuplicate returns the first declared name that is a duplicate or
// has no uses, or an empty string.
func firstUnusedOrDuplicate[N ~string](declared []N, uses map[N]int) N {
	seen := make(map[N]bool, len(declared))
	for _, name := range declared {
		if seen[name] || uses[name] == 0 {
			return name
		}
		seen[name] = true
	}
	return ""
}

func (c *Chart) checkReachable() string {
	seen := map[State]bool{c.Initial: true}
	queue := []State{c.Initial}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, edges := range c.States[s].On {
			for _, e := range edges {
				if e.To == "" || seen[e.To] {
					continue
				}
				seen[e.To] = true
				queue = append(queue, e.To)
			}
		}
	}
	for _, s := range c.SortedStates() {
		if !seen[s] {
			return fmt.Sprintf("state %q cannot be reached", s)
		}
	}
	return ""
}
