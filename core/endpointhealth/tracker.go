// Package endpointhealth decides whether an endpoint gets new work: not while
// it leaves or fails, and little at first after it has come back. The
// endpoint_leaving chart has the states.
package endpointhealth

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
)

// The names of the endpoint_leaving chart.
const (
	evReported statechart.Event = "reported"
	evReturned statechart.Event = "returned"
	evMarked   statechart.Event = "marked"
	evFailed   statechart.Event = "failed"
	evRamped   statechart.Event = "ramped"

	doTell statechart.Action = "tell"
	doRamp statechart.Action = "ramp"

	// StateUp and the others are the chart's states.
	StateUp        statechart.State = "up"
	StateSuspect   statechart.State = "suspect"
	StateLeaving   statechart.State = "leaving"
	StateReturning statechart.State = "returning"
)

const (
	// RampTime is how long an endpoint that came back takes to its full share.
	RampTime = 20 * time.Second
	// firstShare is the share of the work that it gets at first.
	firstShare = 0.1
	// maxMarks bounds the incarnations of one endpoint whose marks are kept.
	maxMarks = 4
)

// Mark says that an endpoint leaves, in one incarnation. Endpoints that tell no
// incarnation have an empty one.
type Mark struct {
	Endpoint    string
	Incarnation string
}

// endpoint is one endpoint as this VM sees it.
type endpoint struct {
	machine     *statechart.Machine
	incarnation string
	// marks are the incarnations that leave or left, the latest last.
	marks     []string
	rampStart time.Time
}

// Tracker keeps the state of all endpoints. It is not safe for concurrent use.
type Tracker struct {
	chart     *statechart.Chart
	endpoints map[string]*endpoint
}

// NewTracker returns a Tracker that knows no endpoint; an unknown one is up.
func NewTracker() *Tracker {
	return &Tracker{chart: statechart.MustLoad("endpoint_leaving"), endpoints: make(map[string]*endpoint)}
}

// Reported takes an endpoint's own report: its incarnation, and whether it says
// that it leaves. It returns the mark to tell the other VMs, if there is one.
func (t *Tracker) Reported(now time.Time, id, incarnation string, leaving bool) (Mark, bool) {
	e := t.get(id)
	if incarnation != e.incarnation {
		t.changed(now, e, incarnation)
	}
	if leaving {
		return t.Marked(now, Mark{id, e.incarnation})
	}
	if !e.marked(e.incarnation) {
		t.fire(now, e, evReported)
	}
	return Mark{}, false
}

// changed takes an endpoint's new incarnation.
func (t *Tracker) changed(now time.Time, e *endpoint, incarnation string) {
	first := e.incarnation == ""
	left := e.machine.State() == StateLeaving && first
	e.incarnation = incarnation
	switch {
	case e.marked(incarnation):
		t.fire(now, e, evMarked)
	case !first, left:
		t.fire(now, e, evReturned)
	}
}

// Marked takes a mark, of this VM or another. It returns the mark, and whether
// it is new and concerns the present incarnation or an unknown one.
func (t *Tracker) Marked(now time.Time, m Mark) (Mark, bool) {
	e := t.get(m.Endpoint)
	if e.marked(m.Incarnation) {
		return m, false
	}
	e.marks = append(e.marks, m.Incarnation)
	if len(e.marks) > maxMarks {
		e.marks = e.marks[1:]
	}
	if e.incarnation != "" && m.Incarnation != e.incarnation {
		return m, false
	}
	for _, a := range t.fire(now, e, evMarked) {
		if a == doTell {
			return m, true
		}
	}
	return m, false
}

// Listed takes the platform's word that the endpoint leaves. The list lags, so
// it counts for an endpoint that has not come back since: one that ramps up or
// has a known later incarnation is left alone.
func (t *Tracker) Listed(now time.Time, id string) (Mark, bool) {
	e := t.get(id)
	if e.machine.State() == StateReturning || len(e.marks) > 0 && !e.marked(e.incarnation) {
		return Mark{}, false
	}
	return t.Marked(now, Mark{id, e.incarnation})
}

// Failed notes that the endpoint did not answer.
func (t *Tracker) Failed(now time.Time, id string) { t.fire(now, t.get(id), evFailed) }

// State is the endpoint's state.
func (t *Tracker) State(id string) statechart.State {
	if e := t.endpoints[id]; e != nil {
		return e.machine.State()
	}
	return StateUp
}

// Leaving reports whether the endpoint leaves.
func (t *Tracker) Leaving(id string) bool { return t.State(id) == StateLeaving }

// Share is the part of its usual work that the endpoint gets, from 0 to 1.
func (t *Tracker) Share(now time.Time, id string) float64 {
	e := t.endpoints[id]
	if e == nil {
		return 1
	}
	switch e.machine.State() {
	case StateLeaving, StateSuspect:
		return 0
	case StateReturning:
		share := firstShare + (1-firstShare)*now.Sub(e.rampStart).Seconds()/RampTime.Seconds()
		if share < 1 {
			return share
		}
		t.fire(now, e, evRamped)
	}
	return 1
}

// Keep forgets the endpoints that the function does not want.
func (t *Tracker) Keep(keep func(id string) bool) {
	for id := range t.endpoints {
		if !keep(id) {
			delete(t.endpoints, id)
		}
	}
}

func (t *Tracker) get(id string) *endpoint {
	e := t.endpoints[id]
	if e == nil {
		// The chart has no guards, so it always starts.
		machine, err := statechart.NewMachine(t.chart, nil)
		if err != nil {
			panic(err)
		}
		e = &endpoint{machine: machine}
		t.endpoints[id] = e
	}
	return e
}

func (t *Tracker) fire(now time.Time, e *endpoint, ev statechart.Event) []statechart.Action {
	actions, err := e.machine.Fire(ev)
	if err != nil {
		// The loader has checked that each state knows each event.
		panic(err)
	}
	for _, a := range actions {
		if a == doRamp {
			e.rampStart = now
		}
	}
	return actions
}

func (e *endpoint) marked(incarnation string) bool {
	for _, m := range e.marks {
		if m == incarnation {
			return true
		}
	}
	return false
}
