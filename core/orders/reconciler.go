package orders

import (
	"math"
	"sort"
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

var chart = statechart.MustLoad("order")

// stateWaiting is the chart state of an endpoint that needs an order that may not
// be sent yet.
const stateWaiting = "waiting"

// Reconciler decides the orders for one service. It is not safe for concurrent
// use.
type Reconciler struct {
	cfg       Config
	policy    Policy
	endpoints map[string]*endpoint

	holds   bool
	fencing int64
	beganAt time.Time
	now     time.Time
	// inFlight is the set of endpoints with an action in flight.
	inFlight map[string]bool
	// loadTokens is the number of loads that the rate limit allows now;
	// refilledAt is when it was last refilled.
	loadTokens float64
	refilledAt time.Time
}

// New returns a Reconciler without a lease and without endpoints.
func New(cfg Config) *Reconciler {
	return &Reconciler{cfg: cfg, endpoints: make(map[string]*endpoint), inFlight: make(map[string]bool)}
}

// Begin starts reconciling with the lease's fencing number. It resets the state
// of all endpoints, because another holder may have sent them orders.
func (r *Reconciler) Begin(now time.Time, fencing int64) error {
	r.holds = true
	r.fencing = fencing
	r.beganAt = now
	r.loadTokens = 0
	r.refilledAt = now
	clear(r.inFlight)
	for id, e := range r.endpoints {
		fresh, err := r.newEndpoint(e.Target)
		if err != nil {
			return err
		}
		r.endpoints[id] = fresh
	}
	return nil
}

// End stops reconciling after the lease has ended.
func (r *Reconciler) End() { r.holds = false }

// Holds reports whether the lease is held with the fencing number.
func (r *Reconciler) Holds(fencing int64) bool { return r.holds && r.fencing == fencing }

// SetTargets replaces the endpoints and the policy. An endpoint whose target has
// changed is due for a read immediately.
func (r *Reconciler) SetTargets(targets []Target, policy Policy) error {
	r.policy = policy
	keep := make(map[string]bool, len(targets))
	for _, t := range targets {
		keep[t.ID] = true
		e := r.endpoints[t.ID]
		if e == nil {
			fresh, err := r.newEndpoint(t)
			if err != nil {
				return err
			}
			r.endpoints[t.ID] = fresh
			continue
		}
		if !serves(e.Want, t.Want) {
			e.nextRead = time.Time{}
		}
		e.Target = t
	}
	for id := range r.endpoints {
		if !keep[id] {
			delete(r.endpoints, id)
			delete(r.inFlight, id)
		}
	}
	return nil
}

func (r *Reconciler) newEndpoint(t Target) (*endpoint, error) {
	e := &endpoint{Target: t, checksFencing: t.ChecksFencing}
	m, err := statechart.NewMachine(chart, statechart.Guards{
		"may_order":  func() bool { return r.mayOrder(e) },
		"newer_seen": func() bool { return e.checksFencing && e.seenFencing > r.fencing },
	})
	e.machine = m
	return e, err
}

// Tick returns the reads that are due.
func (r *Reconciler) Tick(now time.Time) ([]Action, error) {
	r.now = now
	if !r.holds {
		return nil, nil
	}
	r.refillLoadTokens()
	var actions []Action
	capacity := r.orderCapacity()
	for _, id := range r.idsByNextRead() {
		e := r.endpoints[id]
		if len(r.inFlight) >= r.cfg.MaxInFlight {
			break
		}
		if r.inFlight[id] || now.Before(e.nextRead) {
			continue
		}
		if e.machine.State() == stateWaiting && !e.disrupted {
			if capacity <= 0 {
				continue
			}
			capacity--
		}
		more, err := r.fire(e, "due")
		if err != nil {
			return nil, err
		}
		actions = append(actions, more...)
	}
	return actions, nil
}

// orderCapacity returns how many of the endpoints that wait for an order could
// get one now. The others need not be read.
func (r *Reconciler) orderCapacity() int {
	if !r.allReadAttempted() || r.policy.LoadsPerSecond > 0 && r.loadTokens < 1 {
		return 0
	}
	capacity := r.maxDisrupted() - r.disruptedCount()
	if r.policy.LoadsPerSecond > 0 {
		return min(capacity, 1)
	}
	return capacity
}

// idsByNextRead returns the IDs of the endpoints, sorted by the time of their next
// read.
func (r *Reconciler) idsByNextRead() []string {
	ids := make([]string, 0, len(r.endpoints))
	for id := range r.endpoints {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := r.endpoints[ids[i]], r.endpoints[ids[j]]
		return a.nextRead.Before(b.nextRead) || a.nextRead.Equal(b.nextRead) && ids[i] < ids[j]
	})
	return ids
}

// Handle processes the result of an action and returns the actions to perform.
// Results with another fencing number are ignored.
func (r *Reconciler) Handle(now time.Time, ev Event) ([]Action, error) {
	r.now = now
	a := ev.actionID()
	e := r.endpoints[a.Endpoint]
	if e == nil || !r.Holds(a.Fencing) {
		return nil, nil
	}
	delete(r.inFlight, a.Endpoint)
	r.refillLoadTokens()
	return r.fire(e, r.onEvent(e, ev))
}

// onEvent stores the event's data and returns the matching chart event.
func (r *Reconciler) onEvent(e *endpoint, ev Event) statechart.Event {
	switch ev := ev.(type) {
	case Described:
		e.readAttempted = true
		e.described = true
		e.seenFencing = ev.Description.Current.Fencing
		e.checksFencing = e.ChecksFencing || ev.Description.ChecksFencing
		return e.compare(ev.Description)
	case Unreachable:
		e.readAttempted = true
		return "unreachable"
	case Ordered:
		return ev.Outcome.event()
	}
	return "lost"
}

// compare compares the description with the target and returns the chart event.
func (e *endpoint) compare(d wire.Description) statechart.Event {
	e.loading = d.Loading
	switch {
	case d.Loading:
		e.disrupted = true
		if serves(d.Current, e.Want) {
			return "loading"
		}
		return "differs"
	case serves(d.Current, e.Want):
		return "in_force"
	}
	return "differs"
}

func (r *Reconciler) fire(e *endpoint, ev statechart.Event) ([]Action, error) {
	names, err := e.machine.Fire(ev)
	if err != nil {
		return nil, err
	}
	var actions []Action
	for _, name := range names {
		if a := r.act(e, name); a != nil {
			actions = append(actions, a)
		}
	}
	return actions, nil
}

// act performs an action of the state chart. It returns the action for the
// driver, or nil if the driver has nothing to do.
func (r *Reconciler) act(e *endpoint, name statechart.Action) Action {
	switch name {
	case "describe":
		r.inFlight[e.ID] = true
		e.readStartedAt = r.now
		return Describe{ActionID{e.ID, r.fencing}}
	case "order":
		r.inFlight[e.ID] = true
		e.disrupted = true
		e.loading = false
		r.takeLoadToken()
		order := e.Want
		order.Fencing = r.fencing
		return Order{ActionID{e.ID, r.fencing}, order}
	case "raise":
		return Raise{max(e.seenFencing, r.fencing)}
	case "settle":
		e.disrupted = e.loading
	case "rest":
		e.nextRead = r.now.Add(r.cfg.RereadDelay)
	case "wait_out":
		e.nextRead = r.now.Add(r.cfg.SettleTime)
	case "watch":
		e.nextRead = r.now.Add(r.cfg.WatchEvery)
	case "check_later":
		e.nextRead = r.now.Add(r.cfg.CheckEvery)
	}
	return nil
}

// mayOrder reports whether an order may be sent to the endpoint that was just
// read.
func (r *Reconciler) mayOrder(e *endpoint) bool {
	if !r.holds || !r.allReadAttempted() {
		return false
	}
	if e.readStartedAt.Before(r.beganAt.Add(r.cfg.SettleTime)) {
		return false
	}
	if r.policy.LoadsPerSecond > 0 && r.loadTokens < 1 {
		return false
	}
	return e.disrupted || r.disruptedCount() < r.maxDisrupted()
}

func (r *Reconciler) allReadAttempted() bool {
	for _, e := range r.endpoints {
		if !e.readAttempted {
			return false
		}
	}
	return true
}

// disruptedCount returns the number of endpoints that may be out of service
// because of orders.
func (r *Reconciler) disruptedCount() int {
	n := 0
	grace := r.now.Before(r.beganAt.Add(r.cfg.UnreadGrace))
	for _, e := range r.endpoints {
		if e.disrupted || grace && !e.described {
			n++
		}
	}
	return n
}

// maxDisrupted returns how many endpoints may be out of service at the same time.
func (r *Reconciler) maxDisrupted() int {
	return max(1, int(math.Floor(r.policy.MaxUnavailable*float64(len(r.endpoints)))))
}

// refillLoadTokens adds the loads that the rate limit has allowed since the last
// refill. At most one accumulates, so that a hand-over adds at most one load.
func (r *Reconciler) refillLoadTokens() {
	passed := r.now.Sub(r.refilledAt).Seconds()
	r.refilledAt = r.now
	r.loadTokens = min(1, r.loadTokens+passed*r.policy.LoadsPerSecond)
}

// takeLoadToken takes one load from the rate limit, if the policy has one.
func (r *Reconciler) takeLoadToken() {
	if r.policy.LoadsPerSecond > 0 {
		r.loadTokens--
	}
}
