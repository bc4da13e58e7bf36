package orders

import (
	"math"
	"sort"
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

var chart = statechart.MustLoad("order")

// stateWaiting is that of an endpoint that needs an order and may not have one
// yet.
const stateWaiting = "waiting"

// Reconciler gives the orders of one service. It is not safe for concurrent
// use.
type Reconciler struct {
	cfg       Config
	policy    Policy
	endpoints map[string]*endpoint

	holds   bool
	fencing int64
	began   time.Time
	now     time.Time
	// inFlight is the number of actions not yet answered, by endpoint.
	inFlight map[string]bool
	// loads are the loads that the weight store's rate has left.
	loads   float64
	refills time.Time
}

// New returns a Reconciler that holds no lease and has no endpoints.
func New(cfg Config) *Reconciler {
	return &Reconciler{cfg: cfg, endpoints: make(map[string]*endpoint), inFlight: make(map[string]bool)}
}

// Begin says that the lease is held under the fencing number. All that was
// known of the endpoints is forgotten, as another holder may have ordered them.
func (r *Reconciler) Begin(now time.Time, fencing int64) error {
	r.holds = true
	r.fencing = fencing
	r.began = now
	r.loads = 0
	r.refills = now
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

// End says that the lease is no longer held.
func (r *Reconciler) End() { r.holds = false }

// Holds reports whether the lease is held under that number.
func (r *Reconciler) Holds(fencing int64) bool { return r.holds && r.fencing == fencing }

// SetTargets replaces the endpoints and the policy. A changed target is read at
// once.
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
			e.due = time.Time{}
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
	e := &endpoint{Target: t, checks: t.Checks}
	m, err := statechart.NewMachine(chart, statechart.Guards{
		"may_order":  func() bool { return r.mayOrder(e) },
		"newer_seen": func() bool { return e.checks && e.seen > r.fencing },
	})
	e.machine = m
	return e, err
}

// Tick returns the readings that are due.
func (r *Reconciler) Tick(now time.Time) ([]Action, error) {
	r.now = now
	if !r.holds {
		return nil, nil
	}
	r.refill()
	var actions []Action
	room := r.room()
	for _, id := range r.ids() {
		e := r.endpoints[id]
		if len(r.inFlight) >= r.cfg.InFlight {
			break
		}
		if r.inFlight[id] || now.Before(e.due) {
			continue
		}
		if e.machine.State() == stateWaiting && !e.disturbed {
			if room <= 0 {
				continue
			}
			room--
		}
		more, err := r.fire(e, "due")
		if err != nil {
			return nil, err
		}
		actions = append(actions, more...)
	}
	return actions, nil
}

// room is how many endpoints that wait for an order could get one now. The
// others need not be read.
func (r *Reconciler) room() int {
	if !r.allRead() || r.policy.LoadsPerSecond > 0 && r.loads < 1 {
		return 0
	}
	room := r.allowed() - r.disturbed()
	if r.policy.LoadsPerSecond > 0 {
		return min(room, 1)
	}
	return room
}

// ids lists the endpoints, those that wait longest first.
func (r *Reconciler) ids() []string {
	ids := make([]string, 0, len(r.endpoints))
	for id := range r.endpoints {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := r.endpoints[ids[i]], r.endpoints[ids[j]]
		return a.due.Before(b.due) || a.due.Equal(b.due) && ids[i] < ids[j]
	})
	return ids
}

// Handle takes the answer to an action and returns the actions to carry out.
// An answer under another fencing number is dropped.
func (r *Reconciler) Handle(now time.Time, ev Event) ([]Action, error) {
	r.now = now
	a := ev.answer()
	e := r.endpoints[a.Endpoint]
	if e == nil || !r.Holds(a.Fencing) {
		return nil, nil
	}
	delete(r.inFlight, a.Endpoint)
	r.refill()
	return r.fire(e, r.note(e, ev))
}

// note remembers what the event says and names it for the chart.
func (r *Reconciler) note(e *endpoint, ev Event) statechart.Event {
	switch ev := ev.(type) {
	case Described:
		e.read = true
		e.described = true
		e.seen = ev.Description.Current.Fencing
		e.checks = e.Checks || ev.Description.ChecksFencing
		return e.compare(ev.Description)
	case Unreachable:
		e.read = true
		return "unreachable"
	case Ordered:
		return ev.Outcome.event()
	}
	return "lost"
}

// compare names what the description says.
func (e *endpoint) compare(d wire.Description) statechart.Event {
	e.loading = d.Loading
	switch {
	case d.Loading:
		e.disturbed = true
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

// act carries out a chart's action.
func (r *Reconciler) act(e *endpoint, name statechart.Action) Action {
	switch name {
	case "describe":
		r.inFlight[e.ID] = true
		e.readAt = r.now
		return Describe{Answer{e.ID, r.fencing}}
	case "order":
		r.inFlight[e.ID] = true
		e.disturbed = true
		e.loading = false
		r.spend()
		order := e.Want
		order.Fencing = r.fencing
		return Order{Answer{e.ID, r.fencing}, order}
	case "raise":
		return Raise{max(e.seen, r.fencing)}
	case "settle":
		e.disturbed = e.loading
	case "rest":
		e.due = r.now.Add(r.cfg.RestFor)
	case "wait_out":
		e.due = r.now.Add(r.cfg.Settle)
	case "watch":
		e.due = r.now.Add(r.cfg.WatchEvery)
	case "check_later":
		e.due = r.now.Add(r.cfg.CheckEvery)
	}
	return nil
}

// mayOrder reports whether the endpoint that was just read may get an order.
func (r *Reconciler) mayOrder(e *endpoint) bool {
	if !r.holds || !r.allRead() {
		return false
	}
	if e.readAt.Before(r.began.Add(r.cfg.Settle)) {
		return false
	}
	if r.policy.LoadsPerSecond > 0 && r.loads < 1 {
		return false
	}
	return e.disturbed || r.disturbed() < r.allowed()
}

func (r *Reconciler) allRead() bool {
	for _, e := range r.endpoints {
		if !e.read {
			return false
		}
	}
	return true
}

// disturbed is the number of endpoints that may be out of service because of
// orders.
func (r *Reconciler) disturbed() int {
	n := 0
	grace := r.now.Before(r.began.Add(r.cfg.UnreadGrace))
	for _, e := range r.endpoints {
		if e.disturbed || grace && !e.described {
			n++
		}
	}
	return n
}

// allowed is how many endpoints may be out of service at once.
func (r *Reconciler) allowed() int {
	return max(1, int(math.Floor(r.policy.MaxUnavailable*float64(len(r.endpoints)))))
}

// refill adds what the weight store's rate has given since the last time. At
// most one load is saved up, so that a hand-over adds at most one.
func (r *Reconciler) refill() {
	passed := r.now.Sub(r.refills).Seconds()
	r.refills = r.now
	r.loads = min(1, r.loads+passed*r.policy.LoadsPerSecond)
}

// spend takes one load off what the rate has left.
func (r *Reconciler) spend() {
	if r.policy.LoadsPerSecond > 0 {
		r.loads--
	}
}

// Progress counts the endpoints by whether they serve what they should.
type Progress struct {
	InForce   int
	Pending   int
	Disturbed int
}

// Progress tells how far the service's endpoints are.
func (r *Reconciler) Progress() Progress {
	p := Progress{Disturbed: r.disturbed()}
	for _, e := range r.endpoints {
		if e.machine.State() == "matched" {
			p.InForce++
		} else {
			p.Pending++
		}
	}
	return p
}
