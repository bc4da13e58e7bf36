package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// busyEngine returns a dispatcher whose only engine prefills a long prompt, with a second
// one queued.
func busyEngine(t *testing.T) (*Dispatcher, Job) {
	t.Helper()
	d := fleet(1, 0)
	d.Submit(start, prompt("busy", 200000, start))
	require.Len(t, d.Decide(start), 1)
	waiting := prompt("waiting", 100000, start)
	d.Submit(start, waiting)
	require.Empty(t, d.Decide(at(10)))
	return d, waiting
}

// TestQueuedPromptOfStoppingOwnerIsRefusedAtOnce tells the dispatcher that the owner of a
// queued prompt exits too soon for it: the prompt stayed queued until its deadline, for
// longer than its owner lived.
func TestQueuedPromptOfStoppingOwnerIsRefusedAtOnce(t *testing.T) {
	d, waiting := busyEngine(t)
	waiting.OwnerExit = at(1000)
	d.Submit(at(20), waiting)
	decisions := d.Decide(at(20))
	require.Len(t, decisions, 1)
	require.NotNil(t, decisions[0].Refusal)
	require.Equal(t, ReasonOwnerStopping, decisions[0].Refusal.Reason)
	require.Positive(t, decisions[0].Refusal.RetryAfter)
	require.Zero(t, d.Queued())
}

// TestQueuedPromptThatCanEndBeforeItsOwnerExitsIsPlaced checks that a stop refuses no prompt
// that an engine can still answer in time.
func TestQueuedPromptThatCanEndBeforeItsOwnerExitsIsPlaced(t *testing.T) {
	d, waiting := busyEngine(t)
	waiting.OwnerExit = at(12000)
	d.Submit(at(20), waiting)
	require.Empty(t, d.Decide(at(20)))
	d.Finished(at(500), testKey("busy"), Abandoned, "")
	decisions := d.Decide(at(520))
	require.Len(t, decisions, 1)
	require.NotNil(t, decisions[0].Placement)
}

// TestCallAtAFullPlainServiceIsRefusedBeforeItsOwnerExits checks that a call that waits for a
// slot is refused within a third of the time that its owner has left.
func TestCallAtAFullPlainServiceIsRefusedBeforeItsOwnerExits(t *testing.T) {
	d := New(DefaultConfig())
	d.SetEndpoints(start, []Endpoint{{ID: "e", Service: "p", Slots: 1}})
	for _, id := range []string{"busy", "waiting"} {
		d.Submit(start, Job{ID: id, Service: "p", Arrived: start, Deadline: start.Add(time.Minute)})
	}
	require.Len(t, d.Decide(start), 1)
	d.Submit(start, Job{ID: "waiting", Service: "p", Arrived: start, Deadline: start.Add(time.Minute), OwnerExit: at(6000)})
	require.Empty(t, d.Decide(at(1999)))
	decisions := d.Decide(at(2000))
	require.Len(t, decisions, 1)
	require.Equal(t, ReasonOwnerStopping, decisions[0].Refusal.Reason)
}
