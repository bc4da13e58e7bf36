package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two entry VMs may submit jobs under one ID, as a caller can send the same
// request to both. Each of them is decided, whether the other one is queued,
// placed here or adopted from another dispatcher.
func TestJobsOfTwoOwnersWithOneID(t *testing.T) {
	mine, other := call("1", start), call("1", start)
	other.Owner = "other"
	for name, prepare := range map[string]func(d *Dispatcher){
		"queued": func(d *Dispatcher) { d.Submit(start, mine) },
		"placed": func(d *Dispatcher) { submitAndPlace(t, d, start, mine) },
		"adopted": func(d *Dispatcher) {
			d.Adopt(start, mine, Placement{Job: mine.ID, Endpoint: "pa"}, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := fleet(0, 2)
			prepare(d)
			d.Submit(start, other)
			owners := make([]string, 0, 2)
			for _, decision := range d.Decide(start) {
				require.NotNil(t, decision.Placement)
				owners = append(owners, decision.Owner)
			}
			require.Contains(t, owners, "other")
			require.Equal(t, 2, d.Placed())
		})
	}
}

// A job that is adopted takes its own place in the queue, not that of another
// owner's job with the same ID.
func TestAdoptedJobLeavesOtherOwnersJobQueued(t *testing.T) {
	d := fleet(0, 2)
	mine, other := call("1", start), call("1", start)
	other.Owner = "other"
	d.Submit(start, other)
	d.Adopt(start, mine, Placement{Job: mine.ID, Endpoint: "pa"}, false)
	decisions := d.Decide(start)
	require.Len(t, decisions, 1)
	require.Equal(t, "other", decisions[0].Owner)
}

// An excluded endpoint gets no job, not even as the last one; a job from which all
// endpoints are excluded is refused at once.
func TestExcludedEndpointGetsNoJob(t *testing.T) {
	d := fleet(0, 2)
	j := call("1", start)
	j.Exclude, j.Avoid = []string{"pa"}, []string{"pb"}
	require.Equal(t, "pb", submitAndPlace(t, d, start, j).Endpoint)
	j = call("2", start)
	j.Exclude = []string{"pa", "pb"}
	require.Equal(t, ReasonNoEndpoint, submitAndDecide(t, d, start, j).Refusal.Reason)
}

// A prompt that several engines can hold together is not refused as too large while
// some of them are in back-off.
func TestLargePromptWaitsForEnginesInBackoff(t *testing.T) {
	d := fleet(4, 0)
	for i, id := range []string{"ea", "eb", "ec"} {
		j := prompt("x"+id, 5000, start)
		j.Avoid = []string{"ea", "eb", "ec", "ed"}
		d.Adopt(start, j, Placement{Job: j.ID, Endpoint: id}, false)
		d.Finished(at(float64(i)), testKey(j.ID), Failed, "")
	}
	d.Submit(at(5), prompt("huge", 600000, at(5)))
	require.Empty(t, d.Decide(at(5)))
	require.Equal(t, 1, d.Queued())
	placed := d.Decide(at(2000))
	require.Len(t, placed, 1)
	require.NotNil(t, placed[0].Placement)
}

// A short prompt that was adopted before the services were set counts as one afterwards.
func TestJobAdoptedBeforeServicesCountsAsLight(t *testing.T) {
	d := New(DefaultConfig())
	d.SetEndpoints(start, endpoints(2, 0))
	d.Adopt(start, prompt("1", 5000, start), Placement{Job: "1", Endpoint: "ea"}, false)
	d.Adopt(start, prompt("2", 5000, start), Placement{Job: "2", Endpoint: "ea"}, true)
	d.SetServices(at(1), []Service{{Name: "s", Engine: simCostModel()}})
	m := d.demandOf("s")
	require.Equal(t, 2, m.active)
	require.InDelta(t, simCostModel().PrefillMs(5000, 1), m.backlogMs, 1e-9)
	d.Finished(at(2), testKey("1"), Served, "")
	d.Finished(at(2), testKey("2"), Served, "")
	require.Zero(t, m.active)
	require.Zero(t, m.backlogMs)
}

// An endpoint that is listed again under its ID still has the jobs placed there.
func TestEndpointListedAgainKeepsItsJobs(t *testing.T) {
	d := fleet(1, 1)
	submitAndPlace(t, d, start, prompt("1", 5000, start))
	submitAndPlace(t, d, start, call("2", start))
	d.SetEndpoints(at(1), nil)
	d.SetEndpoints(at(2), endpoints(1, 1))
	for _, id := range []string{"ea", "pa"} {
		require.Equal(t, 1, d.endpoints[id].received, id)
	}
	require.Equal(t, 5460, d.endpoints["ea"].heldTokens)
	d.Finished(at(3), testKey("1"), Served, "")
	d.Finished(at(3), testKey("2"), Served, "")
	for _, id := range []string{"ea", "pa"} {
		require.Zero(t, d.endpoints[id].received, id)
	}
	require.Zero(t, d.endpoints["ea"].heldTokens)
}

// A service that has had no endpoint for a while refuses at once; one that has just
// lost its last endpoint waits for another.
func TestServiceWithoutEndpointsRefusesAtOnce(t *testing.T) {
	d := fleet(0, 1)
	d.SetEndpoints(start, nil)
	first := call("1", start)
	first.Deadline = start.Add(time.Minute)
	d.Submit(start, first)
	require.Empty(t, d.Decide(at(999)), "an endpoint may join")
	refused := d.Decide(at(1000))
	require.Equal(t, ReasonNoEndpoint, refused[0].Refusal.Reason)
	require.Equal(t, time.Second, refused[0].Refusal.RetryAfter)
	second := call("2", at(1001))
	require.Equal(t, ReasonNoEndpoint, submitAndDecide(t, d, at(1001), second).Refusal.Reason)
	d.SetEndpoints(at(1002), endpoints(0, 1))
	require.NotNil(t, submitAndPlace(t, d, at(1003), call("3", at(1003))))
}
