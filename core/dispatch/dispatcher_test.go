package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

var start = time.Unix(1000, 0)

func at(ms float64) time.Time { return start.Add(engine.Duration(ms)) }

// fleet returns a dispatcher with engines of the service "s" and plain
// endpoints of the service "p".
func fleet(engines, plain int) *Dispatcher {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{{Name: "s", Engine: simCostModel()}, {Name: "p"}})
	d.SetEndpoints(start, endpoints(engines, plain))
	return d
}

func endpoints(engines, plain int) []Endpoint {
	list := make([]Endpoint, 0, engines+plain)
	for i := range engines {
		list = append(list, Endpoint{ID: "e" + string(rune('a'+i)), Service: "s", Slots: 16})
	}
	for i := range plain {
		list = append(list, Endpoint{ID: "p" + string(rune('a'+i)), Service: "p", Slots: 2})
	}
	return list
}

func prompt(id string, tokens int, now time.Time) Job {
	goal := 300 * time.Millisecond
	gap := 200 * time.Millisecond
	if tokens > 30000 {
		goal, gap = 3*time.Second, 800*time.Millisecond
	}
	return Job{
		ID: id, Owner: "vm", Service: "s", Arrived: now, Due: now.Add(goal), Deadline: now.Add(15 * time.Second),
		MaxGap: gap, PromptTokens: tokens, AnswerTokens: 460,
	}
}

// testKey returns the key of a job that prompt or call made.
func testKey(id string) JobKey { return JobKey{Owner: "vm", ID: id} }

func call(id string, now time.Time) Job {
	return Job{ID: id, Owner: "vm", Service: "p", Arrived: now, Due: now.Add(150 * time.Millisecond), Deadline: now.Add(time.Second)}
}

// submitAndDecide submits a job and returns the only decision, which must be
// about it.
func submitAndDecide(t *testing.T, d *Dispatcher, now time.Time, j Job) Decision {
	t.Helper()
	d.Submit(now, j)
	decisions := d.Decide(now)
	require.Len(t, decisions, 1)
	require.Equal(t, j.ID, decisions[0].Key().ID)
	return decisions[0]
}

func submitAndPlace(t *testing.T, d *Dispatcher, now time.Time, j Job) *Placement {
	t.Helper()
	p := submitAndDecide(t, d, now, j).Placement
	require.NotNil(t, p)
	return p
}

// Plain calls fill the endpoints evenly. With all slots taken the next call
// waits, and is placed when a slot becomes free.
func TestPlainCallsGoToLeastOccupiedEndpoint(t *testing.T) {
	d := fleet(0, 2)
	seen := map[string]int{}
	for _, id := range []string{"1", "2", "3", "4"} {
		seen[submitAndPlace(t, d, start, call(id, start)).Endpoint]++
	}
	require.Equal(t, map[string]int{"pa": 2, "pb": 2}, seen)
	d.Submit(start, call("5", start))
	require.Empty(t, d.Decide(start))
	require.Equal(t, 1, d.Queued())
	d.Finished(at(10), testKey("3"), Served, "")
	decisions := d.Decide(at(10))
	require.Len(t, decisions, 1)
	require.NotNil(t, decisions[0].Placement)
}

// A call without an endpoint is refused while its caller can still retry, and
// the refusal says when.
func TestCallWithoutEndpointIsRefusedEarly(t *testing.T) {
	d := fleet(0, 0)
	d.Submit(start, call("1", start))
	require.Empty(t, d.Decide(at(300)))
	decisions := d.Decide(at(340))
	require.Len(t, decisions, 1)
	require.Equal(t, ReasonNoEndpoint, decisions[0].Refusal.Reason)
	require.Positive(t, decisions[0].Refusal.RetryAfter)
	require.Zero(t, d.Queued())
}

// A placed job that is submitted again is neither queued nor placed twice.
func TestSubmitIsIdempotent(t *testing.T) {
	d := fleet(1, 1)
	submitAndPlace(t, d, start, call("1", start))
	d.Submit(start, call("1", start))
	require.Empty(t, d.Decide(start))
	require.Equal(t, 1, d.Placed())
}

// Short prompts must not go to an engine that is in a prefill of seconds.
func TestShortPromptsAvoidEngineInLongPrefill(t *testing.T) {
	d := fleet(2, 0)
	d.Adopt(start, prompt("long", 200000, start), Placement{Job: "long", Endpoint: "ea"}, false)
	for _, id := range []string{"1", "2", "3"} {
		require.Equal(t, "eb", submitAndPlace(t, d, start, prompt(id, 5000, start)).Endpoint)
	}
}

// A long prompt is prefilled by several idle engines, rather than lengthen the
// gaps of the requests that decode at others.
func TestLongPromptAvoidsDecodingEngines(t *testing.T) {
	d := fleet(4, 0)
	for i, id := range []string{"1", "2", "3", "4", "5", "6"} {
		d.Adopt(start, prompt(id, 5000, start), Placement{Job: id, Endpoint: []string{"ea", "eb"}[i%2]}, true)
	}
	p := submitAndPlace(t, d, at(1), prompt("long", 150000, at(1)))
	used := append([]string{p.Endpoint}, p.Helpers...)
	require.NotContains(t, used, "ea")
	require.NotContains(t, used, "eb")
	require.Len(t, used, 2)
}

// A prompt that is larger than an engine's memory is placed with shares at its
// helpers, within the free memory of each engine.
func TestOversizePromptSharesMemoryOfHelpers(t *testing.T) {
	d := fleet(8, 0)
	j := prompt("huge", 900000, start)
	p := submitAndPlace(t, d, start, j)
	held := 0
	for _, tokens := range p.Shares {
		held += tokens
	}
	require.LessOrEqual(t, len(p.Shares), len(p.Helpers))
	require.LessOrEqual(t, j.PromptTokens-held+j.AnswerTokens, 450000)
	for _, e := range d.endpoints {
		require.LessOrEqual(t, e.heldTokens, e.engine.MemoryTokens)
	}
	d.Finished(at(1), testKey("huge"), Abandoned, "")
	for _, e := range d.endpoints {
		require.Zero(t, e.heldTokens)
	}
}

// A prompt that exceeds the memory of all engines is refused immediately, as
// waiting wouldn't help.
func TestPromptLargerThanAllMemoryIsRefused(t *testing.T) {
	d := fleet(2, 0)
	require.Equal(t, ReasonTooLarge, submitAndDecide(t, d, start, prompt("1", 1000000, start)).Refusal.Reason)
}

// A prompt is rejected because of a helper: the next ones go elsewhere, and the
// helper gets work again after its back-off.
func TestBlamedEndpointIsBackedOff(t *testing.T) {
	d := fleet(2, 0)
	submitAndPlace(t, d, start, prompt("1", 5000, start))
	d.Finished(at(1), testKey("1"), Rejected, "eb")
	for _, id := range []string{"2", "3", "4"} {
		require.Equal(t, "ea", submitAndPlace(t, d, at(2), prompt(id, 5000, at(2))).Endpoint)
	}
	later := at(engine.Ms(d.cfg.RejectBackoff) + 10)
	d.Finished(later, testKey("2"), Abandoned, "")
	d.Finished(later, testKey("3"), Abandoned, "")
	d.Finished(later, testKey("4"), Abandoned, "")
	require.True(t, d.endpoints["eb"].usable(later))
}

// The back-off doubles with each consecutive failure, and is reset by an
// answer.
func TestBackoffDoublesWithEachFailure(t *testing.T) {
	d := fleet(1, 0)
	e := d.endpoints["ea"]
	now := start
	for _, want := range []time.Duration{d.cfg.FailureBackoff, 2 * d.cfg.FailureBackoff, 4 * d.cfg.FailureBackoff} {
		e.backOff(now, d.cfg.FailureBackoff, d.cfg.MaxBackoff)
		require.Equal(t, now.Add(want), e.backoffUntil)
		now = e.backoffUntil
	}
	e.recordSuccess()
	require.True(t, e.usable(now))
	require.Zero(t, e.failures)
}

// The only endpoint gets work although it has failed and is in back-off.
func TestBackedOffEndpointIsUsedIfItIsTheOnlyOne(t *testing.T) {
	d := fleet(0, 1)
	submitAndPlace(t, d, start, call("1", start))
	d.Finished(at(1), testKey("1"), Failed, "")
	require.Equal(t, "pa", submitAndPlace(t, d, at(2), call("2", at(2))).Endpoint)
}

// A call that failed at the only endpoint is retried there immediately.
func TestAvoidedEndpointIsUsedIfItIsTheOnlyOne(t *testing.T) {
	d := fleet(0, 1)
	j := call("1", start)
	j.Avoid = []string{"pa"}
	require.Equal(t, "pa", submitAndPlace(t, d, start, j).Endpoint)
}

// A burst arrives at idle engines, as after an outage of all VMs. No prompt may
// be late because it waits for the prefill of too many others.
func TestBurstOfShortPromptsIsSpread(t *testing.T) {
	d := fleet(16, 0)
	counts := map[string]int{}
	for i := range 96 {
		counts[submitAndPlace(t, d, start, prompt("j"+string(rune('0'+i)), 5000, start)).Endpoint]++
	}
	f := simCostModel()
	for id, n := range counts {
		require.Less(t, float64(n)*f.PrefillMs(5000, 1), 300*d.cfg.GapShare, id)
	}
	require.Len(t, counts, 16)
}

// Jobs of another VM are adopted before the services are configured here. They
// must enter the model when the configuration arrives.
func TestJobsAdoptedBeforeServicesAreSet(t *testing.T) {
	d := New(DefaultConfig())
	d.SetEndpoints(start, endpoints(2, 0))
	d.Adopt(start, prompt("1", 5000, start), Placement{Job: "1", Endpoint: "ea"}, false)
	d.Adopt(start, prompt("2", 5000, start), Placement{Job: "2", Endpoint: "ea"}, true)
	d.FirstEvent(at(1), testKey("1"))
	d.SetServices(at(2), []Service{{Name: "s", Engine: simCostModel()}})
	require.Equal(t, 2, d.endpoints["ea"].model.Decoding())
	d.Finished(at(3), testKey("1"), Served, "")
	d.Finished(at(3), testKey("2"), Served, "")
	require.Zero(t, d.endpoints["ea"].model.Decoding())
}

// The cost model of an engine changes while it has jobs: they stay in its model.
func TestChangedCostModelKeepsJobs(t *testing.T) {
	d := fleet(1, 0)
	d.Adopt(start, prompt("1", 5000, start), Placement{Job: "1", Endpoint: "ea"}, true)
	d.Adopt(start, prompt("2", 100000, start), Placement{Job: "2", Endpoint: "ea"}, false)
	faster := *simCostModel()
	faster.StepMs /= 2
	d.SetServices(at(1), []Service{{Name: "s", Engine: &faster}})
	m := d.endpoints["ea"].model
	require.Equal(t, 1, m.Decoding())
	require.Positive(t, m.PendingPrefillMs(at(1)))
	d.Finished(at(2), testKey("2"), Served, "")
	require.Zero(t, m.PendingPrefillMs(at(2)))
}

// The queued and placed jobs of a VM that has left are removed, and those of
// others are kept.
func TestDropOwnerRemovesItsJobs(t *testing.T) {
	d := fleet(0, 1)
	submitAndPlace(t, d, start, call("1", start))
	submitAndPlace(t, d, start, call("2", start))
	d.Submit(start, call("3", start))
	other := call("4", start)
	other.Owner = "other"
	d.Submit(start, other)
	d.DropOwner(at(1), "vm")
	require.Zero(t, d.Placed())
	decisions := d.Decide(at(1))
	require.Len(t, decisions, 1)
	require.Equal(t, "4", decisions[0].Key().ID)
}

// When a VM reports its jobs again, those of earlier terms are removed, and
// those submitted since are kept.
func TestDropTermsRemovesEarlierTerms(t *testing.T) {
	d := fleet(0, 2)
	submitAndPlace(t, d, start, call("old", start))
	newer := call("new", start)
	newer.Term = 1
	submitAndPlace(t, d, start, newer)
	d.DropTerms(at(1), "vm", "p", 1)
	require.Equal(t, 1, d.Placed())
	require.NotNil(t, d.placed[testKey("new")])
}

// A placed job whose end is never reported is removed after its deadline.
func TestPlacedJobsExpireAfterDeadline(t *testing.T) {
	d := fleet(0, 1)
	submitAndPlace(t, d, start, call("1", start))
	d.Decide(at(2500))
	require.Equal(t, 1, d.Placed())
	d.Decide(at(4000))
	require.Zero(t, d.Placed())
}

// An endpoint is removed while it has a job: the job stays placed until it
// finishes.
func TestJobStaysPlacedWhenItsEndpointIsRemoved(t *testing.T) {
	d := fleet(1, 0)
	submitAndPlace(t, d, start, prompt("1", 5000, start))
	d.SetEndpoints(at(1), nil)
	d.FirstEvent(at(2), testKey("1"))
	d.Finished(at(3), testKey("1"), Served, "")
	require.Zero(t, d.Placed())
}

// Checks the arithmetic of a pass with one decoding request and two parts to
// prefill.
func TestModelForecastsPass(t *testing.T) {
	f := &engine.CostModel{Slots: 4, MemoryTokens: 1000, Stride: 10, ChunkTokens: 100, StepMs: 1, PrefillTokensPerMs: 10}
	m := engine.NewModel(f)
	m.AddDecoding(start, 1, 0)
	first := m.Forecast(at(4), *f.NewPrefillPart(200, 1))
	require.InDelta(t, 6+10+20, first.FirstMs, 0.01, "the rest of the pass, and the next one with the part")
	require.InDelta(t, 30, first.MeanPassMs, 0.01)
	require.InDelta(t, 10, first.BaselinePassMs, 0.01)
	m.Add(at(4), f.NewPrefillPart(200, 1))
	require.InDelta(t, 20, m.PendingPrefillMs(at(4)), 0.01)
	require.InDelta(t, 6+10+20+10, m.Forecast(at(4), *f.NewPrefillPart(100, 1)).FirstMs, 0.01)
	m.Advance(at(10 + 30))
	require.InDelta(t, 0, m.PendingPrefillMs(at(40)), 0.01)
}

// An engine whose first event is overdue has work that its model doesn't
// include. New prompts go elsewhere until the event comes.
func TestOverdueEngineGetsNoNewPrompts(t *testing.T) {
	d := fleet(3, 0)
	first := submitAndPlace(t, d, start, prompt("1", 5000, start))
	late := at(600)
	for _, id := range []string{"2", "3", "4", "5"} {
		require.NotEqual(t, first.Endpoint, submitAndPlace(t, d, late, prompt(id, 5000, late)).Endpoint)
	}
	d.FirstEvent(late, testKey("1"))
	seen := map[string]bool{}
	for _, id := range []string{"6", "7", "8", "9", "10", "11", "12"} {
		seen[submitAndPlace(t, d, late, prompt(id, 5000, late)).Endpoint] = true
	}
	require.True(t, seen[first.Endpoint])
}

// A long prompt that finds a single engine free, which would make it late,
// waits for more engines as long as it can still be on time.
func TestLongPromptWaitsForEnoughEngines(t *testing.T) {
	d := fleet(4, 0)
	for _, id := range []string{"ea", "eb", "ec"} {
		d.Adopt(start, prompt(id, 150000, start), Placement{Job: id, Endpoint: id}, false)
	}
	d.Submit(start, prompt("long", 260000, start))
	require.Empty(t, d.Decide(start))
	require.Empty(t, d.Decide(at(1600)))
	for _, id := range []string{"ea", "eb", "ec"} {
		d.Finished(at(1650), testKey(id), Served, "")
	}
	decisions := d.Decide(at(1650))
	require.Len(t, decisions, 1)
	require.NotNil(t, decisions[0].Placement)
	require.Len(t, decisions[0].Placement.Helpers, 3)
}

// A late prompt must not be placed at so few engines that its caller
// disconnects before it has been prefilled.
func TestLatePromptIsPrefilledBeforeItsCallerLeaves(t *testing.T) {
	d := fleet(10, 0)
	for i, id := range []string{"ea", "eb", "ec", "ed", "ee", "ef", "eg", "eh"} {
		for n := range 6 {
			j := prompt(id+string(rune('0'+n)), 3000+i, start)
			d.Adopt(start, j, Placement{Job: j.ID, Endpoint: id}, true)
		}
	}
	j := prompt("huge", 850000, start)
	j.FirstEventBy = at(12000)
	d.Submit(start, j)
	now := at(5000)
	var decisions []Decision
	for ; len(decisions) == 0 && now.Before(at(12000)); now = now.Add(20 * time.Millisecond) {
		decisions = d.Decide(now)
	}
	require.Len(t, decisions, 1)
	if p := decisions[0].Placement; p != nil {
		require.True(t, now.Add(p.Predicted).Before(j.FirstEventBy), p.Predicted)
	}
}

// Of calls that wait for a slot, the one with the higher priority goes first,
// and among equals the one that arrived first.
func TestHigherPriorityGoesFirst(t *testing.T) {
	d := fleet(0, 1)
	submitAndPlace(t, d, start, call("1", start))
	submitAndPlace(t, d, start, call("2", start))
	for i, id := range []string{"low", "high", "high too"} {
		j := call(id, start)
		j.Priority = []int{2, 1, 1}[i]
		d.Submit(start, j)
	}
	require.Empty(t, d.Decide(start))
	order := make([]string, 0, 3)
	for _, id := range []string{"1", "2", "high"} {
		d.Finished(at(1), testKey(id), Served, "")
		for _, decision := range d.Decide(at(1)) {
			order = append(order, decision.Key().ID)
		}
	}
	require.Equal(t, []string{"high", "high too", "low"}, order)
}

// A call of the lowest priority gets a slot by its goal although others keep
// arriving.
func TestLowPriorityIsNotStarved(t *testing.T) {
	d := fleet(0, 1)
	submitAndPlace(t, d, start, call("a", start))
	submitAndPlace(t, d, start, call("b", start))
	low := call("low", start)
	low.Priority = 3
	d.Submit(start, low)
	busy := []string{"a", "b"}
	for n := range 20 {
		now := at(float64(10 * (n + 1)))
		d.Submit(now, call("n"+strconv.Itoa(n), now))
		d.Finished(now, testKey(busy[0]), Served, "")
		decisions := d.Decide(now)
		require.Len(t, decisions, 1)
		if decisions[0].Key().ID == "low" {
			require.Less(t, now, low.Due)
			return
		}
		busy = append(busy[1:], decisions[0].Key().ID)
	}
	t.Fatal("the low-priority call was not placed")
}

// A short prompt takes next to no engine time, and forecasts of busy engines
// err: it gets the best available engine rather than a refusal.
func TestShortPromptIsPlacedDespiteLateForecast(t *testing.T) {
	d := fleet(1, 0)
	d.Adopt(start, prompt("long", 400000, start), Placement{Job: "long", Endpoint: "ea"}, false)
	j := prompt("short", 3000, start)
	j.FirstEventBy = at(2000)
	require.Greater(t, submitAndPlace(t, d, start, j).Predicted, 2*time.Second)
}
