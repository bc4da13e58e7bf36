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

// fleet returns a dispatcher before engines of the service "s" and plain
// endpoints of the service "p".
func fleet(engines, plain int) *Dispatcher {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{{Name: "s", Engine: simFigures()}, {Name: "p"}})
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
		Gap: gap, Prompt: tokens, Answer: 460,
	}
}

func call(id string, now time.Time) Job {
	return Job{ID: id, Owner: "vm", Service: "p", Arrived: now, Due: now.Add(150 * time.Millisecond), Deadline: now.Add(time.Second)}
}

// submitAndDecide submits a job and returns what is decided about it.
func submitAndDecide(t *testing.T, d *Dispatcher, now time.Time, j Job) Decision {
	t.Helper()
	d.Submit(now, j)
	decisions := d.Decide(now)
	require.Len(t, decisions, 1)
	require.Equal(t, j.ID, decisions[0].JobID())
	return decisions[0]
}

func submitAndPlace(t *testing.T, d *Dispatcher, now time.Time, j Job) *Placement {
	t.Helper()
	p := submitAndDecide(t, d, now, j).Placement
	require.NotNil(t, p)
	return p
}

// TestPlainCallsGoToLeastOccupiedEndpoint fills plain endpoints evenly, lets the next call
// wait, and places it when a slot is free.
func TestPlainCallsGoToLeastOccupiedEndpoint(t *testing.T) {
	d := fleet(0, 2)
	seen := map[string]int{}
	for _, id := range []string{"1", "2", "3", "4"} {
		seen[submitAndPlace(t, d, start, call(id, start)).Endpoint]++
	}
	require.Equal(t, map[string]int{"pa": 2, "pb": 2}, seen)
	d.Submit(start, call("5", start))
	require.Empty(t, d.Decide(start))
	require.Equal(t, 1, d.Waiting())
	d.Finished(at(10), "3", Served, "")
	decisions := d.Decide(at(10))
	require.Len(t, decisions, 1)
	require.NotNil(t, decisions[0].Placement)
}

// TestCallWithoutEndpointIsRefusedEarly gives up on a call while its caller can still come
// back, and says when.
func TestCallWithoutEndpointIsRefusedEarly(t *testing.T) {
	d := fleet(0, 0)
	d.Submit(start, call("1", start))
	require.Empty(t, d.Decide(at(300)))
	decisions := d.Decide(at(340))
	require.Len(t, decisions, 1)
	require.Equal(t, ReasonNoEndpoint, decisions[0].Refusal.Reason)
	require.Positive(t, decisions[0].Refusal.RetryAfter)
	require.Zero(t, d.Waiting())
}

// TestSubmitIsIdempotent asks twice about one job.
func TestSubmitIsIdempotent(t *testing.T) {
	d := fleet(1, 1)
	submitAndPlace(t, d, start, call("1", start))
	d.Submit(start, call("1", start))
	require.Empty(t, d.Decide(start))
	require.Equal(t, 1, d.Placed())
}

// TestShortPromptsAvoidEngineInLongPrefill places short prompts beside an engine
// that reads for seconds.
func TestShortPromptsAvoidEngineInLongPrefill(t *testing.T) {
	d := fleet(2, 0)
	d.Adopt(start, prompt("long", 200000, start), Placement{Job: "long", Endpoint: "ea"}, false)
	for _, id := range []string{"1", "2", "3"} {
		require.Equal(t, "eb", submitAndPlace(t, d, start, prompt(id, 5000, start)).Endpoint)
	}
}

// TestLongPromptAvoidsDecodingEngines lets several engines read a long prompt rather
// than stretch the pauses of those who write.
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

// TestOversizePromptSharesMemoryOfHelpers places a prompt that is larger than an engine
// with shares that its helpers hold, within each engine's room.
func TestOversizePromptSharesMemoryOfHelpers(t *testing.T) {
	d := fleet(8, 0)
	j := prompt("huge", 900000, start)
	p := submitAndPlace(t, d, start, j)
	held := 0
	for _, tokens := range p.Shares {
		held += tokens
	}
	require.LessOrEqual(t, len(p.Shares), len(p.Helpers))
	require.LessOrEqual(t, j.Prompt-held+j.Answer, 450000)
	for _, e := range d.endpoints {
		require.LessOrEqual(t, e.heldTokens, e.engine.MemoryTokens)
	}
	d.Finished(at(1), "huge", Abandoned, "")
	for _, e := range d.endpoints {
		require.Zero(t, e.heldTokens)
	}
}

// TestPromptLargerThanAllMemoryIsRefused answers at once, as waiting won't help.
func TestPromptLargerThanAllMemoryIsRefused(t *testing.T) {
	d := fleet(2, 0)
	require.Equal(t, ReasonTooLarge, submitAndDecide(t, d, start, prompt("1", 1000000, start)).Refusal.Reason)
}

// TestBlamedEndpointIsBackedOff rejects a prompt because of a helper: the next
// one goes elsewhere, and the helper gets work again later.
func TestBlamedEndpointIsBackedOff(t *testing.T) {
	d := fleet(2, 0)
	submitAndPlace(t, d, start, prompt("1", 5000, start))
	d.Finished(at(1), "1", Rejected, "eb")
	for _, id := range []string{"2", "3", "4"} {
		require.Equal(t, "ea", submitAndPlace(t, d, at(2), prompt(id, 5000, at(2))).Endpoint)
	}
	later := at(engine.Ms(d.cfg.RejectBackoff) + 10)
	d.Finished(later, "2", Abandoned, "")
	d.Finished(later, "3", Abandoned, "")
	d.Finished(later, "4", Abandoned, "")
	require.True(t, d.endpoints["eb"].usable(later))
}

// TestBackoffDoublesWithEachFailure doubles the time with each failure in a row,
// and forgets them with an answer.
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

// TestBackedOffEndpointIsUsedIfItIsTheOnlyOne uses the last endpoint although it
// failed.
func TestBackedOffEndpointIsUsedIfItIsTheOnlyOne(t *testing.T) {
	d := fleet(0, 1)
	submitAndPlace(t, d, start, call("1", start))
	d.Finished(at(1), "1", Failed, "")
	require.Equal(t, "pa", submitAndPlace(t, d, at(2), call("2", at(2))).Endpoint)
}

// TestAvoidedEndpointIsUsedIfItIsTheOnlyOne tries a call again at the only endpoint, at
// once.
func TestAvoidedEndpointIsUsedIfItIsTheOnlyOne(t *testing.T) {
	d := fleet(0, 1)
	j := call("1", start)
	j.Avoid = []string{"pa"}
	require.Equal(t, "pa", submitAndPlace(t, d, start, j).Endpoint)
}

// TestBurstOfShortPromptsIsSpread spreads a burst before idle engines, as after all
// VMs were gone: none may wait for the reading of so many others that it is late.
func TestBurstOfShortPromptsIsSpread(t *testing.T) {
	d := fleet(16, 0)
	counts := map[string]int{}
	for i := range 96 {
		counts[submitAndPlace(t, d, start, prompt("j"+string(rune('0'+i)), 5000, start)).Endpoint]++
	}
	f := simFigures()
	for id, n := range counts {
		require.Less(t, float64(n)*f.ReadMs(5000, 1), 300*d.cfg.GapShare, id)
	}
	require.Len(t, counts, 16)
}

// TestJobsAdoptedBeforeServicesAreSet takes in jobs of another VM while this one does
// not know the services yet, and counts them when it does.
func TestJobsAdoptedBeforeServicesAreSet(t *testing.T) {
	d := New(DefaultConfig())
	d.SetEndpoints(start, endpoints(2, 0))
	d.Adopt(start, prompt("1", 5000, start), Placement{Job: "1", Endpoint: "ea"}, false)
	d.Adopt(start, prompt("2", 5000, start), Placement{Job: "2", Endpoint: "ea"}, true)
	d.Began(at(1), "1")
	d.SetServices(at(2), []Service{{Name: "s", Engine: simFigures()}})
	require.Equal(t, 2, d.endpoints["ea"].model.Writers())
	d.Finished(at(3), "1", Served, "")
	d.Finished(at(3), "2", Served, "")
	require.Zero(t, d.endpoints["ea"].model.Writers())
}

// TestChangedFiguresKeepJobs changes an engine's figures under its requests.
func TestChangedFiguresKeepJobs(t *testing.T) {
	d := fleet(1, 0)
	d.Adopt(start, prompt("1", 5000, start), Placement{Job: "1", Endpoint: "ea"}, true)
	d.Adopt(start, prompt("2", 100000, start), Placement{Job: "2", Endpoint: "ea"}, false)
	faster := *simFigures()
	faster.StepMs /= 2
	d.SetServices(at(1), []Service{{Name: "s", Engine: &faster}})
	m := d.endpoints["ea"].model
	require.Equal(t, 1, m.Writers())
	require.Positive(t, m.ReadingMs(at(1)))
	d.Finished(at(2), "2", Served, "")
	require.Zero(t, m.ReadingMs(at(2)))
}

// TestDropOwnerRemovesItsJobs forgets what a VM that is gone had, queued and placed.
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
	require.Equal(t, "4", decisions[0].JobID())
}

// TestDropTermsRemovesEarlierTerms tells of an owner's jobs anew: what it had before is
// forgotten, and what it has asked for since is kept.
func TestDropTermsRemovesEarlierTerms(t *testing.T) {
	d := fleet(0, 2)
	submitAndPlace(t, d, start, call("old", start))
	newer := call("new", start)
	newer.Term = 1
	submitAndPlace(t, d, start, newer)
	d.DropTerms(at(1), "vm", "p", 1)
	require.Equal(t, 1, d.Placed())
	require.NotNil(t, d.placed["new"])
}

// TestPlacedJobsExpireAfterDeadline drops a placed job whose end was never told, after
// its deadline.
func TestPlacedJobsExpireAfterDeadline(t *testing.T) {
	d := fleet(0, 1)
	submitAndPlace(t, d, start, call("1", start))
	d.Decide(at(2500))
	require.Equal(t, 1, d.Placed())
	d.Decide(at(4000))
	require.Zero(t, d.Placed())
}

// TestJobStaysPlacedWhenItsEndpointIsRemoved removes an endpoint under a job.
func TestJobStaysPlacedWhenItsEndpointIsRemoved(t *testing.T) {
	d := fleet(1, 0)
	submitAndPlace(t, d, start, prompt("1", 5000, start))
	d.SetEndpoints(at(1), nil)
	d.Began(at(2), "1")
	d.Finished(at(3), "1", Served, "")
	require.Zero(t, d.Placed())
}

// TestModelForecastsPass checks the arithmetic of a pass with a writer and two
// parts to read.
func TestModelForecastsPass(t *testing.T) {
	f := &engine.Figures{Slots: 4, MemoryTokens: 1000, Stride: 10, ChunkTokens: 100, StepMs: 1, ReadTokensPerMs: 10}
	m := engine.NewModel(f)
	m.Write(start, 1, 0)
	first := m.Forecast(at(4), *f.NewPart(200, 1))
	require.InDelta(t, 6+10+20, first.FirstMs, 0.01, "the rest of the pass, and the next one with the part")
	require.InDelta(t, 30, first.PassMs, 0.01)
	require.InDelta(t, 10, first.WithoutMs, 0.01)
	m.Add(at(4), f.NewPart(200, 1))
	require.InDelta(t, 20, m.ReadingMs(at(4)), 0.01)
	require.InDelta(t, 6+10+20+10, m.Forecast(at(4), *f.NewPart(100, 1)).FirstMs, 0.01)
	m.Advance(at(10 + 30))
	require.InDelta(t, 0, m.ReadingMs(at(40)), 0.01)
}

// An engine whose first event is overdue does something that the model doesn't
// know of; what comes meanwhile goes elsewhere, and comes back with the event.
func TestOverdueEngineGetsNoNewPrompts(t *testing.T) {
	d := fleet(3, 0)
	first := submitAndPlace(t, d, start, prompt("1", 5000, start))
	late := at(600)
	for _, id := range []string{"2", "3", "4", "5"} {
		require.NotEqual(t, first.Endpoint, submitAndPlace(t, d, late, prompt(id, 5000, late)).Endpoint)
	}
	d.Began(late, "1")
	seen := map[string]bool{}
	for _, id := range []string{"6", "7", "8", "9", "10", "11", "12"} {
		seen[submitAndPlace(t, d, late, prompt(id, 5000, late)).Endpoint] = true
	}
	require.True(t, seen[first.Endpoint])
}

// A long prompt that finds one engine free, which would make it late, waits for
// more of them as long as it can still be on time.
func TestLongPromptWaitsForEnoughEngines(t *testing.T) {
	d := fleet(4, 0)
	for _, id := range []string{"ea", "eb", "ec"} {
		d.Adopt(start, prompt(id, 150000, start), Placement{Job: id, Endpoint: id}, false)
	}
	d.Submit(start, prompt("long", 260000, start))
	require.Empty(t, d.Decide(start))
	require.Empty(t, d.Decide(at(1600)))
	for _, id := range []string{"ea", "eb", "ec"} {
		d.Finished(at(1650), id, Served, "")
	}
	decisions := d.Decide(at(1650))
	require.Len(t, decisions, 1)
	require.NotNil(t, decisions[0].Placement)
	require.Len(t, decisions[0].Placement.Helpers, 3)
}

// A late prompt isn't given to so few engines that its caller leaves before it
// is read.
func TestLatePromptIsPrefilledBeforeItsCallerLeaves(t *testing.T) {
	d := fleet(10, 0)
	for i, id := range []string{"ea", "eb", "ec", "ed", "ee", "ef", "eg", "eh"} {
		for n := range 6 {
			j := prompt(id+string(rune('0'+n)), 3000+i, start)
			d.Adopt(start, j, Placement{Job: j.ID, Endpoint: id}, true)
		}
	}
	j := prompt("huge", 850000, start)
	j.FirstBy = at(12000)
	d.Submit(start, j)
	now := at(5000)
	var decisions []Decision
	for ; len(decisions) == 0 && now.Before(at(12000)); now = now.Add(20 * time.Millisecond) {
		decisions = d.Decide(now)
	}
	require.Len(t, decisions, 1)
	if p := decisions[0].Placement; p != nil {
		require.True(t, now.Add(p.Predicted).Before(j.FirstBy), p.Predicted)
	}
}

// Of calls that wait for a slot the one with the higher priority goes first, and
// among equals the one that came first.
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
		d.Finished(at(1), id, Served, "")
		for _, decision := range d.Decide(at(1)) {
			order = append(order, decision.JobID())
		}
	}
	require.Equal(t, []string{"high", "high too", "low"}, order)
}

// A call of the lowest priority gets a slot in time though others keep coming.
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
		d.Finished(now, busy[0], Served, "")
		decisions := d.Decide(now)
		require.Len(t, decisions, 1)
		if decisions[0].JobID() == "low" {
			require.Less(t, now, low.Due)
			return
		}
		busy = append(busy[1:], decisions[0].JobID())
	}
	t.Fatal("the low-priority call was not placed")
}

// A short prompt costs engines next to nothing, and forecasts of busy ones err: it
// gets the best place there is rather than a refusal.
func TestShortPromptIsPlacedDespiteLateForecast(t *testing.T) {
	d := fleet(1, 0)
	d.Adopt(start, prompt("long", 400000, start), Placement{Job: "long", Endpoint: "ea"}, false)
	j := prompt("short", 3000, start)
	j.FirstBy = at(2000)
	require.Greater(t, submitAndPlace(t, d, start, j).Predicted, 2*time.Second)
}
