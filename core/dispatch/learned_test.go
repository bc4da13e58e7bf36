package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/workcost"
)

const second = time.Second

// learnedPool returns a dispatcher of plain endpoints with the given times of their calls, which it
// has learned from calls in turn.
func learnedPool(t *testing.T, slots int, times ...time.Duration) (*Dispatcher, time.Time) {
	t.Helper()
	cfg := DefaultConfig()
	cfg.LearnCosts = true
	d := New(cfg)
	list := make([]Endpoint, 0, len(times))
	for i := range times {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Service: "p", Slots: slots})
	}
	d.SetEndpoints(start, list)
	now := start
	for i := range 30 * len(times) {
		e := i % len(times)
		adopt(d, now, fmt.Sprint("past", i), e, now)
		d.Finished(now.Add(times[e]), JobKey{ID: fmt.Sprint("past", i)}, Served, "")
		now = now.Add(20 * time.Millisecond)
	}
	// The paces are read again.
	return d, now.Add(paceInterval)
}

// adopt places a call at an endpoint.
func adopt(d *Dispatcher, now time.Time, id string, e int, placedAt time.Time) {
	d.AdoptPlaced(now, placedAt, plainJob(id, now), Placement{Job: id, Endpoint: fmt.Sprint("e", e)}, false)
}

func plainJob(id string, now time.Time) Job {
	return Job{ID: id, Service: "p", Route: "r", Method: "GET", Arrived: now, Due: now.Add(300 * time.Millisecond), Deadline: now.Add(6 * second)}
}

func submitPlain(t *testing.T, d *Dispatcher, now time.Time, job Job) *Placement {
	t.Helper()
	d.Submit(now, job)
	decisions := d.Decide(now)
	require.LessOrEqual(t, len(decisions), 1)
	if len(decisions) == 0 {
		return nil
	}
	require.Nil(t, decisions[0].Refusal)
	return decisions[0].Placement
}

// TestEqualCallsArePlacedAsBefore guards against estimates that change the placement where there is
// nothing to gain: equal endpoints and equal calls.
func TestEqualCallsArePlacedAsBefore(t *testing.T) {
	cfg := DefaultConfig()
	before := New(cfg)
	cfg.LearnCosts = true
	learned := New(cfg)
	list := []Endpoint{{ID: "a", Service: "p", Slots: 3}, {ID: "b", Service: "p", Slots: 2}, {ID: "c", Service: "p", Slots: 3}}
	for _, d := range []*Dispatcher{before, learned} {
		d.SetEndpoints(start, list)
	}
	for step := range 2000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		if id := step - 5; id >= 0 {
			for _, d := range []*Dispatcher{before, learned} {
				d.Finished(now, JobKey{ID: fmt.Sprint(id)}, Served, "")
			}
		}
		a, b := submitPlain(t, before, now, plainJob(fmt.Sprint(step), now)), submitPlain(t, learned, now, plainJob(fmt.Sprint(step), now))
		require.Equal(t, a.Endpoint, b.Endpoint, step)
		if step > 100 {
			require.InEpsilon(t, float64(50*time.Millisecond), float64(b.Expected), 0.05)
		}
	}
}

// TestHeldForABetterEndpoint guards against a call that goes to a slow endpoint with a free slot,
// although waiting for a fast one ends earlier.
func TestHeldForABetterEndpoint(t *testing.T) {
	const usual = 100 * time.Millisecond
	d, now := learnedPool(t, 1, usual, usual, 8*usual)
	for e := range 2 {
		adopt(d, now, fmt.Sprint("busy", e), e, now)
	}
	require.Nil(t, submitPlain(t, d, now, plainJob("held", now)))
	now = now.Add(usual)
	d.Finished(now, JobKey{ID: "busy1"}, Served, "")
	decisions := d.Decide(now)
	require.Len(t, decisions, 1)
	require.Equal(t, "e1", decisions[0].Placement.Endpoint)
	require.InEpsilon(t, float64(usual), float64(decisions[0].Placement.Expected), 0.1)
}

// TestHeldCallGoesToTheSlowEndpointInTheEnd guards against a call that waits for ever for an endpoint
// whose call does not end.
func TestHeldCallGoesToTheSlowEndpointInTheEnd(t *testing.T) {
	const usual = 100 * time.Millisecond
	d, now := learnedPool(t, 1, usual, usual, 4*usual)
	for e := range 2 {
		adopt(d, now, fmt.Sprint("busy", e), e, now)
	}
	job := plainJob("held", now)
	require.Nil(t, submitPlain(t, d, now, job))
	for end := now.Add(job.Deadline.Sub(now) / 3); ; now = now.Add(20 * time.Millisecond) {
		if decisions := d.Decide(now); len(decisions) > 0 {
			require.Equal(t, "e2", decisions[0].Placement.Endpoint)
			break
		}
		require.Less(t, now, end)
	}
}

// TestProbesOneAtATime guards against an endpoint that was slow once and gets no call again, and
// against callers that are late for the sake of probes.
func TestProbesOneAtATime(t *testing.T) {
	const usual = 50 * time.Millisecond
	d, now := learnedPool(t, 2, usual, usual, usual, 3*usual, 3*usual)
	now = now.Add(2 * probeInterval)
	late := plainJob("tight", now)
	late.Due = now.Add(150 * time.Millisecond)
	require.NotContains(t, []string{"e3", "e4"}, submitPlain(t, d, now, late).Endpoint)
	require.Contains(t, []string{"e3", "e4"}, submitPlain(t, d, now, plainJob("probe", now)).Endpoint)
	require.NotContains(t, []string{"e3", "e4"}, submitPlain(t, d, now, plainJob("other", now)).Endpoint)
}

// TestCostsOfAdoptedJobs guards against learning from a job whose placement time is not known, as
// after a change of the holder.
func TestCostsOfAdoptedJobs(t *testing.T) {
	for known, want := range map[bool]time.Duration{true: 100 * time.Millisecond, false: 0} {
		cfg := DefaultConfig()
		cfg.LearnCosts = true
		d := New(cfg)
		d.SetEndpoints(start, []Endpoint{{ID: "e0", Service: "p", Slots: 2}})
		placedAt := time.Time{}
		if known {
			placedAt = start
		}
		adopt(d, start.Add(90*time.Millisecond), "j", 0, placedAt)
		d.Finished(start.Add(100*time.Millisecond), JobKey{ID: "j"}, Served, "")
		require.InDelta(t, float64(want), float64(d.costs.Cost(start, kindOf(&Job{Service: "p"})).Mean), float64(time.Microsecond))
	}
}

// TestOnlyServedCallsAreObserved guards against estimates that are based on calls that did not end.
func TestOnlyServedCallsAreObserved(t *testing.T) {
	cfg := DefaultConfig()
	cfg.LearnCosts = true
	d := New(cfg)
	d.SetEndpoints(start, []Endpoint{{ID: "e0", Service: "p", Slots: 2}})
	for i, o := range []Outcome{Abandoned, Rejected, Failed} {
		adopt(d, start, fmt.Sprint(i), 0, start)
		d.Finished(start.Add(second), JobKey{ID: fmt.Sprint(i)}, o, "")
	}
	require.Zero(t, d.Costs(start.Add(second), "p"))
}

// TestOwnerExitWithCosts guards against a call of a stopping VM that is placed where it doesn't end
// in time, and one that is refused by the mean of dearer kinds.
func TestOwnerExitWithCosts(t *testing.T) {
	const usual = 50 * time.Millisecond
	d, now := learnedPool(t, 2, usual, usual)
	for i := range 40 {
		heavy := plainJob(fmt.Sprint("heavy", i), now)
		heavy.Route = "heavy"
		d.AdoptPlaced(now, now.Add(-second), heavy, Placement{Job: heavy.ID, Endpoint: fmt.Sprint("e", i%2)}, false)
		d.Finished(now, heavy.Key(), Served, "")
	}
	light, heavy := plainJob("light", now), plainJob("heavy", now)
	heavy.Route = "heavy"
	light.OwnerExit, heavy.OwnerExit = now.Add(400*time.Millisecond), now.Add(400*time.Millisecond)
	require.NotNil(t, submitPlain(t, d, now, light))
	d.Submit(now, heavy)
	decisions := d.Decide(now)
	require.Len(t, decisions, 1)
	require.Equal(t, ReasonOwnerStopping, decisions[0].Refusal.Reason)
	require.False(t, d.EndsInTime(now, heavy, Placement{Expected: second}))
}

// TestRefusalByCosts guards against a call that is held although the calls before it leave it no
// time, and a retry time that is too early.
func TestRefusalByCosts(t *testing.T) {
	const usual = 200 * time.Millisecond
	d, now := learnedPool(t, 1, usual, usual)
	for e := range 2 {
		adopt(d, now, fmt.Sprint("busy", e), e, now)
	}
	for i := range 10 {
		d.Submit(now, plainJob(fmt.Sprint("held", i), now))
	}
	require.Empty(t, d.Decide(now))
	hurried := plainJob("hurried", now)
	hurried.Deadline = now.Add(second)
	d.Submit(now, hurried)
	decisions := d.Decide(now)
	require.Len(t, decisions, 1)
	require.InDelta(t, 1.2, decisions[0].Refusal.RetryAfter.Seconds(), 0.15)
}

// TestMergedCostsDecide guards against a new holder that places by count until it has learned itself.
func TestMergedCostsDecide(t *testing.T) {
	const usual = 50 * time.Millisecond
	old, now := learnedPool(t, 2, usual, usual, usual, 5*usual)
	cfg := DefaultConfig()
	cfg.LearnCosts = true
	d := New(cfg)
	d.SetEndpoints(now, []Endpoint{{ID: "e0", Service: "p", Slots: 2}, {ID: "e3", Service: "p", Slots: 2}})
	d.AddCosts(now, "p", "old", old.Costs(now, "p"))
	require.Equal(t, "e0", submitPlain(t, d, now, plainJob("1", now)).Endpoint)
	p := submitPlain(t, d, now, plainJob("2", now))
	require.Equal(t, "e0", p.Endpoint)
	require.InEpsilon(t, float64(usual), float64(p.Expected), 0.1)
	require.Equal(t, workcost.Summary{}, New(DefaultConfig()).Costs(now, "p"))
}
