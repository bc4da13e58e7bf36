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

// fakeEngine holds memory as the protocol says.
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

func (e *fakeEngine) take(r wire.Reservation) Outcome {
	if _, ok := e.held[r.ID]; ok {
		return Granted
	}
	if e.free() < r.Tokens {
		return Refused
	}
	e.held[r.ID] = r
	return Granted
}

// fakeVM is one incarnation of an entry VM with its requests.
type fakeVM struct {
	owner    wire.Owner
	alive    bool
	requests map[string]*fakeRequest
}

// fakeRequest is a request and the action that it has still to carry out.
type fakeRequest struct {
	id      string
	owner   wire.Owner
	group   *Group
	todo    []Action
	lead    string
	streams bool
}

// machine is the state of a fuzz run: engines, VMs, and their requests.
type machine struct {
	engines map[string]*fakeEngine
	vms     []*fakeVM
	next    int
	// leaks makes a dissolved group forget what it did not hear of, and skips
	// the sweep: the naive version.
	leaks bool
}

func newMachine(t *rapid.T) *machine {
	m := &machine{engines: make(map[string]*fakeEngine)}
	for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
		m.engines[fmt.Sprintf("e%d", i)] = &fakeEngine{
			total: int64(rapid.IntRange(1, 40).Draw(t, "memory")),
			held:  make(map[string]wire.Reservation),
		}
	}
	for range 2 {
		m.start()
	}
	return m
}

func (m *machine) start() {
	m.next++
	vm := &fakeVM{owner: wire.Owner{VM: fmt.Sprintf("vm%d", m.next%2), Incarnation: int64(m.next)}, alive: true, requests: make(map[string]*fakeRequest)}
	m.vms = append(m.vms, vm)
}

func (m *machine) candidates() []Candidate {
	out := make([]Candidate, 0, len(m.engines))
	for id, e := range m.engines {
		out = append(out, Candidate{id, e.total})
	}
	slices.SortFunc(out, func(a, b Candidate) int { return byEndpoint(Share{Endpoint: a.ID}, Share{Endpoint: b.ID}) })
	return out
}

// request starts a request on a live VM.
func (m *machine) request(t *rapid.T) {
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
	r.todo = r.group.Begin()
	vm.requests[r.id] = r
}

func (m *machine) pickVM(t *rapid.T) *fakeVM {
	var live []*fakeVM
	for _, vm := range m.vms {
		if vm.alive {
			live = append(live, vm)
		}
	}
	if len(live) == 0 {
		m.start()
		return m.vms[len(m.vms)-1]
	}
	return rapid.SampledFrom(live).Draw(t, "vm")
}

// pickRequest draws a request of a live VM; nil when there is none.
func (m *machine) pickRequest(t *rapid.T) (*fakeVM, *fakeRequest) {
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

// step carries out a request's next action, whose order or answer may be lost.
func (m *machine) step(t *rapid.T) {
	vm, r := m.pickRequest(t)
	if r == nil {
		return
	}
	if len(r.todo) == 0 {
		m.settle(t, vm, r)
		return
	}
	fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "order lost", "answer lost"}).Draw(t, "fate")
	action := r.todo[0]
	r.todo = r.todo[1:]
	outcome := Unknown
	if fate != "order lost" {
		outcome = m.carryOut(r, action)
	}
	if fate == "answer lost" {
		outcome = Unknown
	}
	if action.Kind == Take {
		r.todo = append(r.todo, r.group.Answered(outcome)...)
		if m.leaks && r.group.Phase() == Dissolved {
			r.todo = slices.DeleteFunc(r.todo, func(a Action) bool { return a.Share == action.Share })
		}
	}
}

func (m *machine) carryOut(r *fakeRequest, a Action) Outcome {
	e := m.engines[a.Share.Endpoint]
	id := r.id + "@" + a.Share.Endpoint
	if a.Kind == Free {
		delete(e.held, id)
		return Granted
	}
	return e.take(wire.Reservation{ID: id, Owner: r.owner, Tokens: a.Share.Tokens, Lead: r.lead})
}

// settle moves a request on that has nothing to do: it streams, or ends.
func (m *machine) settle(t *rapid.T, vm *fakeVM, r *fakeRequest) {
	switch {
	case r.group.Phase() == Held && !r.streams:
		m.requireHeld(t, r)
		m.use(r, true)
	case r.group.Phase() == Held:
		m.use(r, false)
		r.todo = r.group.Dissolve()
	default:
		delete(vm.requests, r.id)
	}
}

// requireHeld checks that a group that says so holds all its shares.
func (m *machine) requireHeld(t *rapid.T, r *fakeRequest) {
	for _, s := range r.group.Shares() {
		require.Contains(t, m.engines[s.Endpoint].held, r.id+"@"+s.Endpoint)
	}
}

// use starts or ends the stream at the group's lead.
func (m *machine) use(r *fakeRequest, inUse bool) {
	r.streams = inUse
	id := r.id + "@" + r.lead
	held := m.engines[r.lead].held[id]
	held.InUse = inUse
	m.engines[r.lead].held[id] = held
}

// die ends a VM at any step; its streams are cut.
func (m *machine) die(t *rapid.T) {
	vm := m.pickVM(t)
	m.kill(vm)
}

func (m *machine) kill(vm *fakeVM) {
	vm.alive = false
	for _, r := range vm.requests {
		if r.streams {
			m.use(r, false)
		}
	}
}

// sweep looks at one engine, and checks that no live request lost anything.
func (m *machine) sweep(t require.TestingT, id string) {
	e := m.engines[id]
	held := make([]wire.Reservation, 0, len(e.held))
	for _, r := range e.held {
		held = append(held, r)
	}
	for _, free := range Sweep(held, m.ownership, m.leadInUse) {
		r := e.held[free]
		for _, vm := range m.vms {
			require.NotContains(t, vm.liveRequests(), r.Owner.Request, "freed what a live request holds")
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

func (m *machine) ownership(o wire.Owner) Ownership {
	for _, vm := range m.vms {
		if vm.owner.VM != o.VM || vm.owner.Incarnation != o.Incarnation {
			continue
		}
		if _, ok := vm.liveRequests()[o.Request]; ok {
			return Owned
		}
	}
	return Abandoned
}

func (m *machine) leadInUse(r wire.Reservation) bool {
	return m.engines[r.Lead].held[r.Owner.Request+"@"+r.Lead].InUse
}

// leaked is the memory that is still held after all owners are gone and one
// sweep.
func (m *machine) leaked(t require.TestingT) int64 {
	for _, vm := range m.vms {
		m.kill(vm)
	}
	leaked := int64(0)
	for id, e := range m.engines {
		if !m.leaks {
			m.sweep(t, id)
		}
		leaked += e.total - e.free()
	}
	return leaked
}

func (m *machine) run(t *rapid.T) {
	actions := map[string]func(*rapid.T){
		"request": m.request,
		"step":    m.step,
		"step 2":  m.step,
		"step 3":  m.step,
		"die":     m.die,
		"engine":  m.engineDies,
		"restart": func(*rapid.T) { m.start() },
		"": func(t *rapid.T) {
			for _, e := range m.engines {
				require.GreaterOrEqual(t, e.free(), int64(0), "more held than there is")
			}
		},
	}
	if !m.leaks {
		actions["sweep"] = func(t *rapid.T) { m.sweep(t, rapid.SampledFrom(m.candidates()).Draw(t, "engine").ID) }
	}
	t.Repeat(actions)
}

// TestNoMemoryIsLost is P2: VMs die at every step, orders and answers are lost,
// groups overlap.
func TestNoMemoryIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		m.run(t)
		require.Zero(t, m.leaked(t))
	})
}

// TestOracleCatchesLeaks runs groups that forget a share whose answer was lost,
// without a sweep.
func TestOracleCatchesLeaks(t *testing.T) {
	leaked := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		m.leaks = true
		m.run(t)
		if m.leaked(t) > 0 {
			leaked++
		}
	})
	require.Positive(t, leaked)
}

// engineDies loses all that an engine holds; the requests that asked it hear of
// it.
func (m *machine) engineDies(t *rapid.T) {
	id := rapid.SampledFrom(m.candidates()).Draw(t, "engine").ID
	m.engines[id].held = make(map[string]wire.Reservation)
	for _, vm := range m.vms {
		for _, r := range vm.liveRequests() {
			isMember := slices.ContainsFunc(r.group.Shares(), func(s Share) bool { return s.Endpoint == id })
			if !isMember || r.group.Phase() == Dissolved {
				continue
			}
			if r.streams && r.lead != id {
				m.use(r, false)
			}
			r.streams = false
			r.todo = r.group.Dissolve()
		}
	}
}

// waiting is the naive group: it keeps what it holds, and asks again for what it
// was refused.
type waiting struct {
	id     string
	shares []Share
	held   int
}

func (w *waiting) step(engines map[string]*fakeEngine) {
	if w.held == len(w.shares) {
		return
	}
	s := w.shares[w.held]
	if engines[s.Endpoint].take(wire.Reservation{ID: w.id + "@" + s.Endpoint, Tokens: s.Tokens}) == Granted {
		w.held++
	}
}

// TestGroupsDoNotBlockEachOther lets two groups that want the same engines take
// turns at every step: each has all its shares or gave all back in the end, and
// the waiting groups block each other for some order of turns.
func TestGroupsDoNotBlockEachOther(t *testing.T) {
	blocked := 0
	rapid.Check(t, func(t *rapid.T) {
		engines := map[string]*fakeEngine{}
		for _, id := range []string{"e0", "e1"} {
			engines[id] = &fakeEngine{total: 10, held: make(map[string]wire.Reservation)}
		}
		turns := rapid.SliceOfN(rapid.IntRange(0, 1), 40, 40).Draw(t, "turns")
		naive := []*waiting{{"a", []Share{{"e0", 6}, {"e1", 6}}, 0}, {"b", []Share{{"e1", 6}, {"e0", 6}}, 0}}
		for _, i := range turns {
			naive[i].step(engines)
		}
		if naive[0].held == 1 && naive[1].held == 1 {
			blocked++
		}
		require.True(t, takeTurns(turns), "neither group ended")
	})
	require.Positive(t, blocked)
}

// takeTurns runs two groups over two engines that hold one of them. It reports
// whether both came to an end.
func takeTurns(turns []int) bool {
	m := &machine{engines: map[string]*fakeEngine{}}
	for _, id := range []string{"e0", "e1"} {
		m.engines[id] = &fakeEngine{total: 10, held: make(map[string]wire.Reservation)}
	}
	requests := make([]*fakeRequest, 0, 2)
	for _, id := range []string{"a", "b"} {
		shares, lead := Plan(12, m.candidates())
		r := &fakeRequest{id: id, group: NewGroup(shares), lead: lead}
		r.todo = r.group.Begin()
		requests = append(requests, r)
	}
	for _, i := range append(turns, 0, 0, 0, 0, 1, 1, 1, 1) {
		r := requests[i]
		if len(r.todo) == 0 {
			continue
		}
		a := r.todo[0]
		r.todo = r.todo[1:]
		if outcome := m.carryOut(r, a); a.Kind == Take {
			r.todo = append(r.todo, r.group.Answered(outcome)...)
		}
	}
	return requests[0].group.Phase() != Taking && requests[1].group.Phase() != Taking
}

func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		candidates := m.candidates()
		need := int64(rapid.IntRange(1, 170).Draw(t, "need"))
		shares, lead := Plan(need, candidates)
		sum, all, best := int64(0), int64(0), int64(0)
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
		for i := len(sizes) - 1; best < need; i-- {
			best += sizes[i]
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
