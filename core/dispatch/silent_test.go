package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// placeBurst submits short prompts at the same time, and returns the IDs of those that each endpoint
// got.
func placeBurst(d *Dispatcher, now time.Time, name string, n int) map[string][]string {
	placed := make(map[string][]string)
	for i := range n {
		d.Submit(now, prompt(name+strconv.Itoa(i), 3000, now))
	}
	for _, decision := range d.Decide(now) {
		if p := decision.Placement; p != nil {
			placed[p.Endpoint] = append(placed[p.Endpoint], p.Job)
		}
	}
	return placed
}

// TestSilentEndpointGetsOneJobAtATime guards against an engine that hangs and looks idle, as its callers
// leave, so that it gets as many prompts again as it has slots. The load is a steady one of short
// prompts, whose callers leave after two seconds.
func TestSilentEndpointGetsOneJobAtATime(t *testing.T) {
	d := fleet(4, 0)
	d.cfg.LearnCosts = true
	const hanging = "ea"
	finish := func(now time.Time, placed map[string][]string) {
		for endpoint, ids := range placed {
			for _, id := range ids {
				if endpoint != hanging {
					d.FirstEvent(now, testKey(id))
					d.Finished(now, testKey(id), Served, "")
				}
			}
		}
	}
	placed := placeBurst(d, start, "first", 16)
	require.NotEmpty(t, placed[hanging])
	finish(at(300), placed)
	left := at(2000)
	for _, id := range placed[hanging] {
		d.Finished(left, testKey(id), Abandoned, "")
	}
	placed = placeBurst(d, left, "second", 16)
	require.Empty(t, placed[hanging], "it is in back-off")
	finish(left.Add(300*time.Millisecond), placed)
	later := left.Add(d.cfg.FailureBackoff)
	placed = placeBurst(d, later, "third", 40)
	require.Len(t, placed[hanging], 1)
	finish(later.Add(300*time.Millisecond), placed)

	d.FirstEvent(later.Add(time.Second), testKey(placed[hanging][0]))
	placed = placeBurst(d, later.Add(time.Second), "fourth", 40)
	require.Greater(t, len(placed[hanging]), 1, "it answers again")
}

// TestSilentEndpointOfAPlainServiceGetsOneJobAtATime guards against a choice by learned costs that takes
// an endpoint for a usual one while it has the call that shows whether it answers again.
func TestSilentEndpointOfAPlainServiceGetsOneJobAtATime(t *testing.T) {
	d := fleet(0, 2)
	d.cfg.LearnCosts = true
	d.costs = newCosts(d.cfg)
	for i := range 20 {
		id, now := "past"+strconv.Itoa(i), at(float64(10*i))
		submitAndPlace(t, d, now, call(id, now))
		d.Finished(now.Add(5*time.Millisecond), testKey(id), Served, "")
	}
	const silent = "pa"
	p := submitAndPlace(t, d, at(1000), call("lost", at(1000)))
	require.Equal(t, silent, p.Endpoint)
	d.Finished(at(2000), testKey("lost"), Abandoned, "")

	now := at(2000).Add(d.cfg.FailureBackoff)
	placed := make(map[string]int)
	for i := range 4 {
		d.Submit(now, call("next"+strconv.Itoa(i), now))
	}
	for _, decision := range d.Decide(now) {
		if decision.Placement != nil {
			placed[decision.Placement.Endpoint]++
		}
	}
	require.Equal(t, 1, placed[silent])
}

// TestEarlyLeaversSayNothingOfTheirEndpoint guards against an engine that counts as silent because callers
// leave before their answers are due, or just after that.
func TestEarlyLeaversSayNothingOfTheirEndpoint(t *testing.T) {
	for _, afterMs := range []float64{10, 300} {
		d := fleet(1, 0)
		d.cfg.LearnCosts = true
		for endpoint, ids := range placeBurst(d, start, "first", 4) {
			require.Equal(t, "ea", endpoint)
			for _, id := range ids {
				d.Finished(at(afterMs), testKey(id), Abandoned, "")
			}
		}
		require.True(t, d.endpoints["ea"].usable(at(afterMs)))
	}
}
