package reservation

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

func init() {
	_ = flag.Set("rapid.seed", "20260104")
	_ = flag.Set("rapid.nofailfile", "true")
}

// fakeEngine implements the reservation protocol of an engine.
type fakeEngine struct {
	total int64
	held  map[string]wire.Reservation
}

func (e *fakeEngine) free() int64 {
	free := e.total
	for _, r := range e.held {
		free -= r.Tokens
	}
	return free
}

func (e *fakeEngine) reserve(r wire.Reservation) Outcome {
	if _, ok := e.held[r.ID]; ok {
		return Granted
	}
	if e.free() < r.Tokens {
		return Refused
	}
	e.held[r.ID] = r
	return Granted
}

// fakeVM is one incarnation of an entry VM, with its requests.
type fakeVM struct {
	owner    wire.Owner
	alive    bool
	requests map[string]*fakeRequest
}

// fakeRequest is a request and its pending actions.
type fakeRequest struct {
	id        string
	owner     wire.Owner
	group     *Group
	pending   []Action
	lead      string
	streaming bool
}

// model is the state of a model-based test: engines, VMs and their requests.
type model struct {
	engines map[string]*fakeEngine
	vms     []*fakeVM
	next    int
	// naive selects a faulty variant that leaks: a dissolved group does not free
	// the share whose outcome it did not receive, and there is no sweep.
	naive bool
}

func newModel(t *rapid.T) *model {
	m := &model{engines: make(map[string]*fakeEngine)}
	for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
		m.engines[fmt.Sprintf("e%d", i)] = &fakeEngine{
			total: int64(rapid.IntRange(1, 40).Draw(t, "memory")),
			held:  make(map[string]wire.Reservation),
		}
	}
	for range 2 {
		m.startVM()
	}
	return m
}

func (m *model) startVM() {
	m.next++
	vm := &fakeVM{owner: wire.Owner{VM: fmt.Sprintf("vm%d", m.next%2), Incarnation: int64(m.next)}, alive: true, requests: make(map[string]*fakeRequest)}
	m.vms = append(m.vms, vm)
}

func (m *model) candidates() []Candidate {
	out := make([]Candidate, 0, len(m.engines))
	for id, e := range m.engines {
		out = append(out, Candidate{id, e.total})
	}
	slices.SortFunc(out, func(a, b Candidate) int { return byEndpoint(Share{Endpoint: a.ID}, Share{Endpoint: b.ID}) })
	return out
}

// startRequest starts a request on a live VM.
func (m *model) startRequest(t *rapid.T) {
	vm := m.pickVM(t)
	m.next++
	r := &fakeRequest{id: fmt.Sprintf("r%d", m.next)}
	r.owner = vm.owner
	r.owner.Request = r.id
	shares, lead := Plan(int64(rapid.IntRange(1, 60).Draw(t, "need")), m.candidates())
	if shares == nil {
		return
	}
	r.group, r.lead = NewGroup(shares), lead
	r.pending = r.group.Begin()
	vm.requests[r.id] = r
}

func (m *model) pickVM(t *rapid.T) *fakeVM {
	var live []*fakeVM
	for _, vm := range m.vms {
		if vm.alive {
			live = append(live, vm)
		}
	}
	if len(live) == 0 {
		m.startVM()
		return m.vms[len(m.vms)-1]
	}
	return rapid.SampledFrom(live).Draw(t, "vm")
}

// pickRequest draws a live VM and one of its requests; nil when it has none.
func (m *model) pickRequest(t *rapid.T) (*fakeVM, *fakeRequest) {
	vm := m.pickVM(t)
	ids := make([]string, 0, len(vm.requests))
	for id := range vm.requests {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return vm, nil
	}
	slices.Sort(ids)
	return vm, vm.requests[rapid.SampledFrom(ids).Draw(t, "request")]
}

// executeNext executes a request's next action. The message to the engine or its
// response may be lost.
func (m *model) executeNext(t *rapid.T) {
	vm, r := m.pickRequest(t)
	if r == nil {
		return
	}
	if len(r.pending) == 0 {
		m.advance(t, vm, r)
		return
	}
	delivery := rapid.SampledFrom([]string{"ok", "ok", "ok", "request lost", "response lost"}).Draw(t, "delivery")
	action := r.pending[0]
	r.pending = r.pending[1:]
	outcome := Unknown
	if delivery != "request lost" {
		outcome = m.execute(r, action)
	}
	if delivery == "response lost" {
		outcome = Unknown
	}
	if action.Kind == Take {
		r.pending = append(r.pending, r.group.HandleOutcome(outcome)...)
		if m.naive && r.group.Phase() == Dissolved {
			r.pending = slices.DeleteFunc(r.pending, func(a Action) bool { return a.Share == action.Share })
		}
	}
}

func (m *model) execute(r *fakeRequest, a Action) Outcome {
	e := m.engines[a.Share.Endpoint]
	id := r.id + "@" + a.Share.Endpoint
	if a.Kind == Free {
		delete(e.held, id)
		return Granted
	}
	return e.reserve(wire.Reservation{ID: id, Owner: r.owner, Tokens: a.Share.Tokens, Lead: r.lead})
}

// advance moves a request without pending actions on: it starts its stream, ends
// it, or is removed.
func (m *model) advance(t *rapid.T, vm *fakeVM, r *fakeRequest) {
	switch {
	case r.group.Phase() == Held && !r.streaming:
		m.requireHeld(t, r)
		m.setInUse(r, true)
	case r.group.Phase() == Held:
		m.setInUse(r, false)
		r.pending = r.group.Dissolve()
	default:
		delete(vm.requests, r.id)
	}
}

// requireHeld checks that the engines hold all shares of a group in phase Held.
func (m *model) requireHeld(t *rapid.T, r *fakeRequest) {
	for _, s := range r.group.Shares() {
		require.Contains(t, m.engines[s.Endpoint].held, r.id+"@"+s.Endpoint)
	}
}

// setInUse starts or ends the stream at the group's lead engine.
func (m *model) setInUse(r *fakeRequest, inUse bool) {
	r.streaming = inUse
	id := r.id + "@" + r.lead
	held := m.engines[r.lead].held[id]
	held.InUse = inUse
	m.engines[r.lead].held[id] = held
}

// crashVM stops a live VM, which may be at any step of its requests.
func (m *model) crashVM(t *rapid.T) {
	vm := m.pickVM(t)
	m.stopVM(vm)
}

// stopVM marks the VM as dead and ends its streams.
func (m *model) stopVM(vm *fakeVM) {
	vm.alive = false
	for _, r := range vm.requests {
		if r.streaming {
			m.setInUse(r, false)
		}
	}
}

// sweep sweeps one engine and checks that no reservation of a live request is
// freed.
func (m *model) sweep(t require.TestingT, id string) {
	e := m.engines[id]
	held := make([]wire.Reservation, 0, len(e.held))
	for _, r := range e.held {
		held = append(held, r)
	}
	for _, free := range Sweep(held, m.ownership, m.leadInUse) {
		r := e.held[free]
		for _, vm := range m.vms {
			require.NotContains(t, vm.liveRequests(), r.Owner.Request, "swept a reservation of a live request")
		}
		delete(e.held, free)
	}
}

func (v *fakeVM) liveRequests() map[string]*fakeRequest {
	if !v.alive {
		return nil
	}
	return v.requests
}

func (m *model) ownership(o wire.Owner) Ownership {
	for _, vm := range m.vms {
		if vm.owner.VM != o.VM || vm.owner.Incarnation != o.Incarnation {
			continue
		}
		if _, ok := vm.liveRequests()[o.Request]; ok {
			return Owned
		}
	}
	return Orphaned
}

func (m *model) leadInUse(r wire.Reservation) bool {
	return m.engines[r.Lead].held[r.Owner.Request+"@"+r.Lead].InUse
}

// leaked stops all VMs, sweeps every engine once unless the model is naive, and
// returns the memory that is still held, in tokens.
func (m *model) leaked(t require.TestingT) int64 {
	for _, vm := range m.vms {
		m.stopVM(vm)
	}
	leaked := int64(0)
	for id, e := range m.engines {
		if !m.naive {
			m.sweep(t, id)
		}
		leaked += e.total - e.free()
	}
	return leaked
}

func (m *model) run(t *rapid.T) {
	actions := map[string]func(*rapid.T){
		"request":  m.startRequest,
		"step":     m.executeNext,
		"step 2":   m.executeNext,
		"step 3":   m.executeNext,
		"crash VM": m.crashVM,
		"engine":   m.crashEngine,
		"restart":  func(*rapid.T) { m.startVM() },
		"": func(t *rapid.T) {
			for _, e := range m.engines {
				require.GreaterOrEqual(t, e.free(), int64(0), "engine holds more than its total memory")
			}
		},
	}
	if !m.naive {
		actions["sweep"] = func(t *rapid.T) { m.sweep(t, rapid.SampledFrom(m.candidates()).Draw(t, "engine").ID) }
	}
	t.Repeat(actions)
}

// TestReservationsDoNotLeak checks property P2: no reserved memory is leaked when
// VMs crash at any step, requests and responses are lost, engines crash, and groups
// share engines.
func TestReservationsDoNotLeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.run(t)
		require.Zero(t, m.leaked(t))
	})
}

// TestOracleDetectsLeaks checks that the oracle detects the leak of the naive
// variant: groups do not free a share whose response was lost, and there is no
// sweep.
func TestOracleDetectsLeaks(t *testing.T) {
	leaked := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.naive = true
		m.run(t)
		if m.leaked(t) > 0 {
			leaked++
		}
	})
	require.Positive(t, leaked)
}

// crashEngine drops all reservations of an engine; live requests with a share there
// dissolve their group.
func (m *model) crashEngine(t *rapid.T) {
	id := rapid.SampledFrom(m.candidates()).Draw(t, "engine").ID
	m.engines[id].held = make(map[string]wire.Reservation)
	for _, vm := range m.vms {
		for _, r := range vm.liveRequests() {
			isMember := slices.ContainsFunc(r.group.Shares(), func(s Share) bool { return s.Endpoint == id })
			if !isMember || r.group.Phase() == Dissolved {
				continue
			}
			if r.streaming && r.lead != id {
				m.setInUse(r, false)
			}
			r.streaming = false
			r.pending = r.group.Dissolve()
		}
	}
}

// blockingGroup is a naive group that can deadlock: it keeps the shares that it
// holds and retries a refused one.
type blockingGroup struct {
	id     string
	shares []Share
	held   int
}

func (w *blockingGroup) reserveNext(engines map[string]*fakeEngine) {
	if w.held == len(w.shares) {
		return
	}
	s := w.shares[w.held]
	if engines[s.Endpoint].reserve(wire.Reservation{ID: w.id + "@" + s.Endpoint, Tokens: s.Tokens}) == Granted {
		w.held++
	}
}

// TestGroupsDoNotDeadlock interleaves the steps of two groups that need the same
// engines. Each must end up with all its shares or none, whatever the order of
// steps. Two blocking groups that reserve in opposite orders deadlock in at least
// one of the same interleavings, so the interleavings can provoke a deadlock.
func TestGroupsDoNotDeadlock(t *testing.T) {
	deadlocked := 0
	rapid.Check(t, func(t *rapid.T) {
		engines := map[string]*fakeEngine{}
		for _, id := range []string{"e0", "e1"} {
			engines[id] = &fakeEngine{total: 10, held: make(map[string]wire.Reservation)}
		}
		turns := rapid.SliceOfN(rapid.IntRange(0, 1), 40, 40).Draw(t, "turns")
		blocking := []*blockingGroup{{"a", []Share{{"e0", 6}, {"e1", 6}}, 0}, {"b", []Share{{"e1", 6}, {"e0", 6}}, 0}}
		for _, i := range turns {
			blocking[i].reserveNext(engines)
		}
		if blocking[0].held == 1 && blocking[1].held == 1 {
			deadlocked++
		}
		require.True(t, interleave(turns), "a group neither holds all its shares nor is dissolved")
	})
	require.Positive(t, deadlocked)
}

// interleave runs two groups over two engines with memory for one of them, in the
// given order of steps. It reports whether both are held or dissolved at the end.
func interleave(turns []int) bool {
	m := &model{engines: map[string]*fakeEngine{}}
	for _, id := range []string{"e0", "e1"} {
		m.engines[id] = &fakeEngine{total: 10, held: make(map[string]wire.Reservation)}
	}
	requests := make([]*fakeRequest, 0, 2)
	for _, id := range []string{"a", "b"} {
		shares, lead := Plan(12, m.candidates())
		r := &fakeRequest{id: id, group: NewGroup(shares), lead: lead}
		r.pending = r.group.Begin()
		requests = append(requests, r)
	}
	for _, i := range append(turns, 0, 0, 0, 0, 1, 1, 1, 1) {
		r := requests[i]
		if len(r.pending) == 0 {
			continue
		}
		a := r.pending[0]
		r.pending = r.pending[1:]
		if outcome := m.execute(r, a); a.Kind == Take {
			r.pending = append(r.pending, r.group.HandleOutcome(outcome)...)
		}
	}
	return requests[0].group.Phase() != Taking && requests[1].group.Phase() != Taking
}

func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		candidates := m.candidates()
		need := int64(rapid.IntRange(1, 170).Draw(t, "need"))
		shares, lead := Plan(need, candidates)
		sum, all, capacity := int64(0), int64(0), int64(0)
		sizes := make([]int64, 0, len(candidates))
		for _, c := range candidates {
			all += c.Memory
			sizes = append(sizes, c.Memory)
		}
		if all < need {
			require.Nil(t, shares)
			return
		}
		slices.Sort(sizes)
		fewest := 0
		for i := len(sizes) - 1; capacity < need; i-- {
			capacity += sizes[i]
			fewest++
		}
		require.Len(t, shares, fewest)
		require.True(t, slices.IsSortedFunc(shares, byEndpoint))
		for _, s := range shares {
			require.LessOrEqual(t, s.Tokens, m.engines[s.Endpoint].total)
			require.GreaterOrEqual(t, s.Tokens, int64(0))
			sum += s.Tokens
		}
		require.Equal(t, need, sum)
		require.True(t, slices.ContainsFunc(shares, func(s Share) bool { return s.Endpoint == lead }))
	})
}
