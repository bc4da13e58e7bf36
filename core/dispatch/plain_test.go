package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainPool returns a dispatcher with one plain endpoint of two slots, whose calls have
// taken 100 ms so far, with both slots taken.
func plainPool(t *testing.T) (*Dispatcher, time.Time) {
	t.Helper()
	d := New(DefaultConfig())
	d.SetEndpoints(start, []Endpoint{{ID: "e", Service: "p", Slots: 2}})
	now := start
	for i := range 20 {
		d.Submit(now, Job{ID: fmt.Sprint("past", i), Service: "p", Arrived: now, Deadline: now.Add(time.Second)})
		require.Len(t, d.Decide(now), 1)
		now = now.Add(100 * time.Millisecond)
		d.Finished(now, JobKey{ID: fmt.Sprint("past", i)}, Served, "")
	}
	for i := range 2 {
		d.Submit(now, Job{ID: fmt.Sprint("busy", i), Service: "p", Arrived: now, Deadline: now.Add(time.Second)})
		require.Len(t, d.Decide(now), 1)
	}
	return d, now
}

// TestFullPlainServiceRefusesAtOnceWhatCanNotBeServed lets a burst of calls meet a full
// plain service: those that can be served by the mean time of its calls are held, and
// the others are refused at once, with the time after which a slot may be free.
func TestFullPlainServiceRefusesAtOnceWhatCanNotBeServed(t *testing.T) {
	d, now := plainPool(t)
	const burst, deadline = 30, 600 * time.Millisecond
	for i := range burst {
		d.Submit(now, Job{ID: fmt.Sprint("j", i), Service: "p", Arrived: now, Deadline: now.Add(deadline)})
	}
	decisions := d.Decide(now)
	// Two slots serve ten calls in the 500 ms that leave 100 ms for the call itself.
	require.Equal(t, 10, d.Queued())
	require.Len(t, decisions, burst-10)
	for _, decision := range decisions {
		require.NotNil(t, decision.Refusal)
		require.Equal(t, ReasonTooLate, decision.Refusal.Reason)
		require.GreaterOrEqual(t, decision.Refusal.RetryAfter, 500*time.Millisecond)
	}
	d.Finished(now.Add(50*time.Millisecond), JobKey{ID: "busy0"}, Served, "")
	decisions = d.Decide(now.Add(50 * time.Millisecond))
	require.Len(t, decisions, 1)
	require.Equal(t, "j0", decisions[0].Placement.Job)
}

// TestRefusalOfALongQueueTellsItsLength checks that a caller is told to come back when
// the queue before it will have been served.
func TestRefusalOfALongQueueTellsItsLength(t *testing.T) {
	d, now := plainPool(t)
	const waiting = 40
	for i := range waiting {
		d.Submit(now, Job{ID: fmt.Sprint("j", i), Service: "p", Arrived: now, Deadline: now.Add(time.Minute)})
	}
	require.Empty(t, d.Decide(now))
	d.Submit(now, Job{ID: "hurried", Service: "p", Arrived: now, Deadline: now.Add(time.Second)})
	decisions := d.Decide(now)
	require.Len(t, decisions, 1)
	require.Equal(t, "hurried", decisions[0].Refusal.Job)
	require.InDelta(t, 2.0, decisions[0].Refusal.RetryAfter.Seconds(), 0.2)
}

// TestFullPlainServiceWithoutHistoryHolds checks that calls are held until a third of
// their time while nothing is known of how long calls take.
func TestFullPlainServiceWithoutHistoryHolds(t *testing.T) {
	d := New(DefaultConfig())
	d.SetEndpoints(start, []Endpoint{{ID: "e", Service: "p", Slots: 1}})
	for i := range 2 {
		d.Submit(start, Job{ID: fmt.Sprint(i), Service: "p", Arrived: start, Deadline: start.Add(3 * time.Second)})
	}
	require.Len(t, d.Decide(start), 1)
	require.Empty(t, d.Decide(start.Add(999*time.Millisecond)))
	require.Len(t, d.Decide(start.Add(time.Second)), 1)
}
