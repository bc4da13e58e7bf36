package statechart

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func parseDoor(t require.TestingT) *Chart {
	c, err := Parse("door", []byte(door))
	require.NoError(t, err)
	return c
}

// referenceDoor is a hand-written reference implementation of the chart door.
type referenceDoor struct{ state State }

func (d *referenceDoor) fire(ev Event, hasKey bool) []Action {
	switch {
	case d.state == "open" && ev == "close":
		d.state = "closed"
		return []Action{"creak"}
	case d.state == "closed" && ev == "lock" && hasKey:
		d.state = "locked"
		return []Action{"click", "creak"}
	case d.state == "closed" && ev == "lock":
		return []Action{"creak"}
	case (d.state == "open" || d.state == "closed") && ev == "remove":
		d.state = "gone"
	}
	return nil
}

// TestMachineMatchesReference sends the same random events to a Machine and to the
// reference implementation and compares actions and states.
func TestMachineMatchesReference(t *testing.T) {
	c := parseDoor(t)
	rapid.Check(t, func(t *rapid.T) {
		hasKey := false
		m, err := NewMachine(c, Guards{"has_key": func() bool { return hasKey }})
		require.NoError(t, err)
		reference := referenceDoor{"open"}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			hasKey = rapid.Bool().Draw(t, "has key")
			ev := rapid.SampledFrom(c.Events).Draw(t, "event")
			actions, err := m.Fire(ev)
			require.NoError(t, err)
			require.Equal(t, reference.fire(ev, hasKey), actions)
			require.Equal(t, reference.state, m.State())
			require.Equal(t, reference.state == "gone", m.Done())
		}
	})
}

func TestNewMachineRejectsUnboundGuard(t *testing.T) {
	_, err := NewMachine(parseDoor(t), Guards{})
	var chartErr *ChartError
	require.ErrorAs(t, err, &chartErr)
}

func TestFireReturnsErrorForUnknownEvent(t *testing.T) {
	m, err := NewMachine(parseDoor(t), Guards{"has_key": func() bool { return true }})
	require.NoError(t, err)
	_, err = m.Fire("slam")
	var eventErr *EventError
	require.ErrorAs(t, err, &eventErr)
	require.Equal(t, State("open"), m.State())
}

func TestDiagramsShowEveryEdge(t *testing.T) {
	c := parseDoor(t)
	const mermaid = `stateDiagram-v2
    [*] --> open
    closed --> locked: lock [has_key] / click, creak
    closed --> closed: lock / creak
    closed --> gone: remove
    open --> closed: close / creak
    open --> gone: remove
    gone --> [*]
`
	require.Equal(t, mermaid, Mermaid(c))
	require.Contains(t, Dot(c), `"closed" -> "locked" [label="lock [has_key] / click, creak"];`)
	require.Contains(t, Dot(c), `"gone" [peripheries=2];`)
}
