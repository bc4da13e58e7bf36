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

// naiveDoor is the door written out by hand.
type naiveDoor struct{ state State }

func (d *naiveDoor) fire(ev Event, hasKey bool) []Action {
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

// TestMachineAgreesWithTheNaiveDoor fires random events at both.
func TestMachineAgreesWithTheNaiveDoor(t *testing.T) {
	c := parseDoor(t)
	rapid.Check(t, func(t *rapid.T) {
		hasKey := false
		m, err := NewMachine(c, Guards{"has_key": func() bool { return hasKey }})
		require.NoError(t, err)
		naive := naiveDoor{"open"}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			hasKey = rapid.Bool().Draw(t, "has key")
			ev := rapid.SampledFrom(c.Events).Draw(t, "event")
			actions, err := m.Fire(ev)
			require.NoError(t, err)
			require.Equal(t, naive.fire(ev, hasKey), actions)
			require.Equal(t, naive.state, m.State())
			require.Equal(t, naive.state == "gone", m.Done())
		}
	})
}

func TestAnUnboundGuardIsRefused(t *testing.T) {
	_, err := NewMachine(parseDoor(t), Guards{})
	var wrong *ChartError
	require.ErrorAs(t, err, &wrong)
}

func TestAnUnknownEventIsAnError(t *testing.T) {
	m, err := NewMachine(parseDoor(t), Guards{"has_key": func() bool { return true }})
	require.NoError(t, err)
	_, err = m.Fire("slam")
	var wrong *EventError
	require.ErrorAs(t, err, &wrong)
	require.Equal(t, State("open"), m.State())
}

func TestDrawingsShowEveryEdge(t *testing.T) {
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
