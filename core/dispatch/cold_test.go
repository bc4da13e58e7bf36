package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// coldService is a plain service whose endpoints are cold for 3 s and then bear 15
// requests a second.
var coldService = Service{Name: "p", Cold: Cold{For: 3 * time.Second, PerSecond: 15}}

// The bound of the platform on the requests that a cold endpoint may get in any second.
const (
	coldOvershoot = 1.5
	coldSlack     = 5
)

func plainEndpoints(ids ...string) []Endpoint {
	list := make([]Endpoint, 0, len(ids))
	for _, id := range ids {
		list = append(list, Endpoint{ID: id, Service: "p", Slots: 6})
	}
	return list
}

// serveFor submits 300 calls of 10 ms a second for some time, and returns the times of the
// placements at each endpoint.
func serveFor(d *Dispatcher, now time.Time, length time.Duration) map[string][]time.Time {
	placed := make(map[string][]time.Time)
	ends := make(map[string]time.Time)
	const step = time.Second / 300
	for i, end := 0, now.Add(length); now.Before(end); i, now = i+1, now.Add(step) {
		for id, at := range ends {
			if !now.Before(at) {
				d.Finished(now, JobKey{ID: id}, Served, "")
				delete(ends, id)
			}
		}
		d.Submit(now, Job{ID: fmt.Sprint(now.UnixNano()), Service: "p", Arrived: now, Deadline: now.Add(time.Second)})
		for _, decision := range d.Decide(now) {
			if p := decision.Placement; p != nil {
				placed[p.Endpoint] = append(placed[p.Endpoint], now)
				ends[p.Job] = now.Add(10 * time.Millisecond)
			}
		}
	}
	return placed
}

// most returns the largest number of times within any second.
func most(times []time.Time) int {
	n := 0
	for i := range times {
		in := 0
		for _, t := range times[i:] {
			if t.Sub(times[i]) < time.Second {
				in++
			}
		}
		n = max(n, in)
	}
	return n
}

// TestColdEndpointIsSpared lets an endpoint start beside two others under a load of which
// its share is 100 requests a second. It gets what a cold one bears until it is warm.
func TestColdEndpointIsSpared(t *testing.T) {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{coldService})
	d.SetEndpoints(start, plainEndpoints("a", "b"))
	warm := serveFor(d, start, time.Second)
	require.Greater(t, len(warm["a"]), 100, "endpoints that are listed first are not cold")
	now := start.Add(time.Second)
	d.SetEndpoints(now, plainEndpoints("a", "b", "c"))
	cold := serveFor(d, now, coldService.Cold.For)
	require.LessOrEqual(t, most(cold["c"]), int(coldService.Cold.PerSecond*coldOvershoot+coldSlack))
	require.Greater(t, len(cold["c"]), 30, "it gets what it bears")
	now = now.Add(coldService.Cold.For)
	require.Greater(t, len(serveFor(d, now, time.Second)["c"]), 50, "it is warm")
}

// TestStatedAndReturningEndpointsAreCold checks the endpoints that state in the registry
// to be cold, and those that come back after an evacuation.
func TestStatedAndReturningEndpointsAreCold(t *testing.T) {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{coldService})
	list := plainEndpoints("a", "b", "c")
	list[1].ColdUntil = start.Add(2 * time.Second)
	d.SetEndpoints(start, list)
	limit := int(coldService.Cold.PerSecond*coldOvershoot + coldSlack)
	placed := serveFor(d, start, 2*time.Second)
	require.LessOrEqual(t, most(placed["b"]), limit)
	require.Greater(t, most(placed["c"]), limit)
	now := start.Add(2 * time.Second)
	d.SetEndpoints(now, plainEndpoints("a", "b"))
	d.SetEndpoints(now.Add(time.Millisecond), plainEndpoints("a", "b", "c"))
	placed = serveFor(d, now.Add(time.Millisecond), 2*time.Second)
	require.LessOrEqual(t, most(placed["c"]), limit)
	require.Greater(t, most(placed["b"]), limit, "it is warm by now")
}

// TestCallsWaitForColdEndpoints lets all endpoints of a service be cold: calls are held
// until one may get them, or refused when a third of their time has passed.
func TestCallsWaitForColdEndpoints(t *testing.T) {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{coldService})
	list := plainEndpoints("a")
	list[0].ColdUntil = start.Add(3 * time.Second)
	d.SetEndpoints(start, list)
	const burst = 20
	for i := range burst {
		d.Submit(start, Job{ID: fmt.Sprint(i), Service: "p", Arrived: start, Deadline: start.Add(3 * time.Second)})
	}
	placed, refused := 0, 0
	for now := start; now.Before(start.Add(1100 * time.Millisecond)); now = now.Add(20 * time.Millisecond) {
		for _, decision := range d.Decide(now) {
			if decision.Refusal != nil {
				refused++
				continue
			}
			placed++
			d.Finished(now, decision.Key(), Served, "")
		}
	}
	require.Equal(t, burst, placed+refused)
	require.InDelta(t, 15, placed, 5)
	require.Zero(t, d.Queued())
}

// coldEngines is a service of engines that are cold for 3 s and then bear 15 requests a second.
var coldEngines = Service{Name: "s", Engine: simCostModel(), Cold: Cold{For: 3 * time.Second, PerSecond: 15}}

// TestHelpersCountForColdEngines guards against parts of prompts that are not counted for the helpers:
// cold engines would get more than they bear, as each long prompt could take all of them.
func TestHelpersCountForColdEngines(t *testing.T) {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{coldEngines})
	list := make([]Endpoint, 0, 6)
	for i := range 6 {
		e := Endpoint{ID: fmt.Sprint("e", i), Service: "s", Slots: 16}
		if i > 0 {
			e.ColdUntil = start.Add(coldEngines.Cold.For)
		}
		list = append(list, e)
	}
	d.SetEndpoints(start, list)
	arrivals := make(map[string][]time.Time)
	helped := 0
	for i, now := 0, start; now.Before(start.Add(coldEngines.Cold.For)); i, now = i+1, now.Add(10*time.Millisecond) {
		d.Submit(now, prompt(fmt.Sprint(i), 200000, now))
		for _, decision := range d.Decide(now) {
			p := decision.Placement
			if p == nil {
				continue
			}
			helped += len(p.Helpers)
			for _, id := range p.endpoints() {
				arrivals[id] = append(arrivals[id], now)
			}
			d.Finished(now, decision.Key(), Served, "")
		}
	}
	require.Positive(t, helped)
	for _, e := range list[1:] {
		require.LessOrEqual(t, most(arrivals[e.ID]), int(coldEngines.Cold.PerSecond*coldOvershoot+coldSlack), e.ID)
	}
}

// TestEndpointsThatComeBackToAnEmptyServiceAreCold guards against endpoints that are warm at once after
// an evacuation of the only failure domain of a service is taken back, as they join no others.
func TestEndpointsThatComeBackToAnEmptyServiceAreCold(t *testing.T) {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{coldService})
	d.SetEndpoints(start, plainEndpoints("a", "b"))
	d.SetEndpoints(start.Add(time.Second), nil)
	now := start.Add(2 * time.Second)
	d.SetEndpoints(now, plainEndpoints("a", "b"))
	placed := serveFor(d, now, coldService.Cold.For)
	for _, id := range []string{"a", "b"} {
		require.LessOrEqual(t, most(placed[id]), int(coldService.Cold.PerSecond*coldOvershoot+coldSlack), id)
	}
}

// TestNextIncarnationIsCold guards against a warm endpoint that has started again so soon that the
// registry lists its next incarnation in the place of the last one, and without the time for which it is
// cold.
func TestNextIncarnationIsCold(t *testing.T) {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{coldService})
	list := plainEndpoints("a", "b", "c")
	list[0].Started = 1
	d.SetEndpoints(start, list)
	list[0].Started = 2
	now := start.Add(time.Second)
	d.SetEndpoints(now, list)
	placed := serveFor(d, now, coldService.Cold.For)
	limit := int(coldService.Cold.PerSecond*coldOvershoot + coldSlack)
	require.LessOrEqual(t, most(placed["a"]), limit)
	require.Greater(t, most(placed["b"]), limit, "it goes on as before")
}

// TestEndpointThatComesBackOftenStaysWithinItsBound guards against another burst each time an endpoint
// is unlisted and listed again, several times in a second, as with an evacuation that is taken back and
// declared again.
func TestEndpointThatComesBackOftenStaysWithinItsBound(t *testing.T) {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{coldService})
	d.SetEndpoints(start, plainEndpoints("a", "b", "c"))
	const times = 12
	arrivals := make([]time.Time, 0, times)
	now := start.Add(time.Second)
	for range times {
		d.SetEndpoints(now, plainEndpoints("a", "b"))
		d.SetEndpoints(now.Add(time.Millisecond), plainEndpoints("a", "b", "c"))
		arrivals = append(arrivals, serveFor(d, now.Add(time.Millisecond), 150*time.Millisecond)["c"]...)
		now = now.Add(160 * time.Millisecond)
	}
	require.LessOrEqual(t, most(arrivals), int(coldService.Cold.PerSecond*coldOvershoot+coldSlack))
	require.Greater(t, len(arrivals), 8, "it gets what it bears")
}

// TestColdBoundHoldsOverChangesOfTheHolder guards against another burst at a cold endpoint with each
// change of the holder. It moves the placement of a service in quick succession over several dispatchers, as when many VMs are lost, while an evacuation is taken back and one
// endpoint states that it is cold again. Dispatchers that have never known the holder let no burst
// through either.
func TestColdBoundHoldsOverChangesOfTheHolder(t *testing.T) {
	for _, known := range []bool{true, false} {
		testChangesOfTheHolder(t, known)
	}
}

// testChangesOfTheHolder is TestColdBoundHoldsOverChangesOfTheHolder, where known tells whether
// the dispatchers know the holder before they become it.
func testChangesOfTheHolder(t *testing.T, known bool) {
	t.Helper()
	const holders = 8
	list := make([]*Dispatcher, 0, holders)
	for range holders {
		d := New(DefaultConfig())
		d.SetServices(start, []Service{coldService})
		d.SetEndpoints(start, plainEndpoints("a", "b", "c"))
		list = append(list, d)
	}
	now := start.Add(time.Second)
	back := plainEndpoints("a", "b", "c")
	back[0].ColdUntil = now.Add(coldService.Cold.For)
	arrivals := make(map[string][]time.Time)
	for i, d := range list {
		for _, d := range list {
			if i%2 == 0 {
				d.SetEndpoints(now, plainEndpoints("a", "b"))
			}
			d.SetEndpoints(now, back)
			if known {
				d.SetHolder(now, "p", false)
			}
		}
		d.SetHolder(now, "p", true)
		for id, times := range serveFor(d, now, 200*time.Millisecond) {
			arrivals[id] = append(arrivals[id], times...)
		}
		now = now.Add(200 * time.Millisecond)
	}
	limit := int(coldService.Cold.PerSecond*coldOvershoot + coldSlack)
	require.LessOrEqual(t, most(arrivals["a"]), limit)
	require.LessOrEqual(t, most(arrivals["c"]), limit)
	require.Greater(t, len(arrivals["c"]), 8, "it gets what it bears")
}

// TestEvacuationWhileCallsWaitForColdEndpoints guards against calls that wait for turns of a cold endpoint
// and still go there after its domain has been evacuated. They go to another domain that is listed by then.
func TestEvacuationWhileCallsWaitForColdEndpoints(t *testing.T) {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{coldService})
	list := plainEndpoints("a")
	list[0].ColdUntil = start.Add(time.Minute)
	d.SetEndpoints(start, list)
	const calls = 12
	for i := range calls {
		d.Submit(start, Job{ID: fmt.Sprint(i), Service: "p", Arrived: start, Deadline: start.Add(3 * time.Second)})
	}
	placed := len(d.Decide(start))
	require.Positive(t, placed)
	require.Equal(t, calls-placed, d.Queued())
	d.SetEndpoints(start, nil)
	now := start.Add(200 * time.Millisecond)
	require.Empty(t, d.Decide(now))
	d.SetEndpoints(now, plainEndpoints("b"))
	for ; d.Queued() > 0; now = now.Add(20 * time.Millisecond) {
		for _, decision := range d.Decide(now) {
			require.NotNil(t, decision.Placement)
			require.Equal(t, "b", decision.Placement.Endpoint)
			d.Finished(now, decision.Key(), Served, "")
		}
	}
}
