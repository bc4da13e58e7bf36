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

// TestLateCallOfStoppingOwner places calls of an owner that is about to exit at a plain
// service with free slots: one that might still be in progress then is refused, as it would be
// cut off.
func TestLateCallOfStoppingOwner(t *testing.T) {
	const unknown = 0
	for _, c := range []struct {
		usual, deadline, left time.Duration
		placed                bool
	}{
		{unknown, time.Second, 2 * time.Second, true},
		{unknown, 5 * time.Second, 4 * time.Second, true},
		{unknown, 15 * time.Second, 2 * time.Second, false},
		{200 * time.Millisecond, 15 * time.Second, 2 * time.Second, true},
		{6 * time.Second, 15 * time.Second, 2 * time.Second, false},
		{200 * time.Millisecond, 15 * time.Second, 300 * time.Millisecond, false},
	} {
		d := fleet(0, 1)
		if c.usual > 0 {
			d.Submit(start, Job{ID: "past", Service: "p", Arrived: start, Deadline: start.Add(time.Minute)})
			require.Len(t, d.Decide(start), 1)
			d.Finished(start.Add(c.usual), JobKey{ID: "past"}, Served, "")
		}
		now := start.Add(time.Minute)
		d.Submit(now, Job{ID: "late", Service: "p", Arrived: now, Deadline: now.Add(c.deadline), OwnerExit: now.Add(c.left)})
		decisions := d.Decide(now)
		require.Len(t, decisions, 1, c)
		require.Equal(t, c.placed, decisions[0].Placement != nil, c)
		if !c.placed {
			require.Equal(t, ReasonOwnerStopping, decisions[0].Refusal.Reason, c)
		}
	}
}

// TestLatePromptOfStoppingOwner checks the same for prompts, of which it is predicted how
// long they take on an engine that is in full use.
func TestLatePromptOfStoppingOwner(t *testing.T) {
	for _, c := range []struct {
		tokens int
		left   time.Duration
		placed bool
	}{
		{5000, 2 * time.Second, true},
		{5000, 700 * time.Millisecond, false},
		{200000, 7 * time.Second, true},
		{200000, time.Second, false},
	} {
		d := fleet(4, 0)
		job := prompt("late", c.tokens, start)
		job.OwnerExit = start.Add(c.left)
		d.Submit(start, job)
		decisions := d.Decide(start)
		require.Len(t, decisions, 1, c)
		require.Equal(t, c.placed, decisions[0].Placement != nil, c)
	}
}

// TestStopGoesByTheUsualLengthOfAnswers checks that a late prompt is placed which ends in time
// as answers usually do, although its caller would take a much longer one.
func TestStopGoesByTheUsualLengthOfAnswers(t *testing.T) {
	for _, known := range []bool{false, true} {
		d := fleet(4, 0)
		if known {
			past := prompt("past", 5000, start)
			past.AnswerTokens = 3000
			d.Submit(start, past)
			require.Len(t, d.Decide(start), 1)
			d.FirstEvent(at(50), testKey("past"))
			d.Finished(at(1550), testKey("past"), Served, "")
		}
		now := at(2000)
		job := prompt("late", 5000, now)
		job.AnswerTokens, job.OwnerExit = 3000, now.Add(4*time.Second)
		d.Submit(now, job)
		decisions := d.Decide(now)
		require.Len(t, decisions, 1)
		require.Equal(t, known, decisions[0].Placement != nil)
	}
}
