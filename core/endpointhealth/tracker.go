// Package endpointhealth determines what share of its usual work an endpoint gets:
// none while it is leaving or suspected to have failed, and a share that grows to
// the full one after it has returned in a new incarnation. The states are those of
// the endpoint_leaving state chart.
package endpointhealth

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
)

// The events, actions and states of the endpoint_leaving chart.
const (
	evReported statechart.Event = "reported"
	evReturned statechart.Event = "returned"
	evMarked   statechart.Event = "marked"
	evFailed   statechart.Event = "failed"
	evRamped   statechart.Event = "ramped"

	doTell statechart.Action = "tell"
	doRamp statechart.Action = "ramp"

	// StateUp is the state of an endpoint that gets its full share of the work. The
	// other states are described in the chart.
	StateUp        statechart.State = "up"
	StateSuspect   statechart.State = "suspect"
	StateLeaving   statechart.State = "leaving"
	StateReturning statechart.State = "returning"
)

const (
	// RampDuration is the time in which the share of a returned endpoint grows to the
	// full one.
	RampDuration = 20 * time.Second
	// initialShare is the share of its usual work that a returned endpoint gets at
	// first.
	initialShare = 0.1
	// maxMarks bounds the marks kept per endpoint, one for each incarnation.
	maxMarks = 4
)

// Mark states that an endpoint is leaving in one incarnation. The incarnation is
// empty for an endpoint that reports none.
type Mark struct {
	Endpoint    string
	Incarnation string
}

// endpoint is the state that this VM keeps about one endpoint.
type endpoint struct {
	machine     *statechart.Machine
	incarnation string
	// marks are the incarnations that have been marked as leaving, in the order in
	// which the marks arrived.
	marks     []string
	rampStart time.Time
}

// Tracker tracks the states of all endpoints. It is not safe for concurrent use.
type Tracker struct {
	chart     *statechart.Chart
	endpoints map[string]*endpoint
}

// NewTracker returns a Tracker without endpoints. An endpoint that it does not track
// counts as up.
func NewTracker() *Tracker {
	return &Tracker{chart: statechart.MustLoad("endpoint_leaving"), endpoints: make(map[string]*endpoint)}
}

// Reported handles an endpoint's own report: its incarnation and whether it is
// leaving. It returns a mark and true if the mark is to be sent to the other VMs.
func (t *Tracker) Reported(now time.Time, id, incarnation string, leaving bool) (Mark, bool) {
	e := t.getOrCreate(id)
	if incarnation != e.incarnation {
		t.incarnationChanged(now, e, incarnation)
	}
	if leaving {
		return t.Marked(now, Mark{id, e.incarnation})
	}
	if !e.isMarked(e.incarnation) {
		t.fire(now, e, evReported)
	}
	return Mark{}, false
}

// incarnationChanged handles a report with a different incarnation. The endpoint
// has returned if an earlier incarnation is known, or if it was marked before any
// was known; if the new incarnation is marked itself, the endpoint is leaving.
func (t *Tracker) incarnationChanged(now time.Time, e *endpoint, incarnation string) {
	wasUnknown := e.incarnation == ""
	wasLeaving := e.machine.State() == StateLeaving && wasUnknown
	e.incarnation = incarnation
	switch {
	case e.isMarked(incarnation):
		t.fire(now, e, evMarked)
	case !wasUnknown, wasLeaving:
		t.fire(now, e, evReturned)
	}
}

// Marked handles a mark set by this VM or another. It returns the mark, and whether
// it is to be sent to the other VMs: it must be new, concern the current
// incarnation or an endpoint whose incarnation is unknown, and make the endpoint
// leaving.
func (t *Tracker) Marked(now time.Time, m Mark) (Mark, bool) {
	e := t.getOrCreate(m.Endpoint)
	if e.isMarked(m.Incarnation) {
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

// Listed handles an endpoint that the platform's list shows as leaving. As the list
// may be stale, it is ignored for an endpoint that may have returned since: one
// that is ramping up, or one that has marks, but none for its current incarnation.
// The results are those of Marked.
func (t *Tracker) Listed(now time.Time, id string) (Mark, bool) {
	e := t.getOrCreate(id)
	if e.machine.State() == StateReturning || len(e.marks) > 0 && !e.isMarked(e.incarnation) {
		return Mark{}, false
	}
	return t.Marked(now, Mark{id, e.incarnation})
}

// Failed handles an endpoint that did not answer.
func (t *Tracker) Failed(now time.Time, id string) { t.fire(now, t.getOrCreate(id), evFailed) }

// State returns the endpoint's state, StateUp for an unknown endpoint.
func (t *Tracker) State(id string) statechart.State {
	if e := t.endpoints[id]; e != nil {
		return e.machine.State()
	}
	return StateUp
}

// Leaving reports whether the endpoint is leaving.
func (t *Tracker) Leaving(id string) bool { return t.State(id) == StateLeaving }

// Share returns the share of its usual work that the endpoint gets, from 0 to 1.
// It ends the ramp of a returned endpoint once the share has reached 1.
func (t *Tracker) Share(now time.Time, id string) float64 {
	e := t.endpoints[id]
	if e == nil {
		return 1
	}
	switch e.machine.State() {
	case StateLeaving, StateSuspect:
		return 0
	case StateReturning:
		share := initialShare + (1-initialShare)*now.Sub(e.rampStart).Seconds()/RampDuration.Seconds()
		if share < 1 {
			return share
		}
		t.fire(now, e, evRamped)
	}
	return 1
}

// Retain drops the endpoints for which keep returns false.
func (t *Tracker) Retain(keep func(id string) bool) {
	for id := range t.endpoints {
		if !keep(id) {
			delete(t.endpoints, id)
		}
	}
}

// getOrCreate returns the endpoint and starts to track it if need be.
func (t *Tracker) getOrCreate(id string) *endpoint {
	e := t.endpoints[id]
	if e == nil {
		// Creating the machine can only fail for missing guards, and this chart has
		// none.
		machine, err := statechart.NewMachine(t.chart, nil)
		if err != nil {
			panic(err)
		}
		e = &endpoint{machine: machine}
		t.endpoints[id] = e
	}
	return e
}

// fire passes an event to the endpoint's state machine and returns the resulting
// actions. For doRamp it starts the ramp.
func (t *Tracker) fire(now time.Time, e *endpoint, ev statechart.Event) []statechart.Action {
	actions, err := e.machine.Fire(ev)
	if err != nil {
		// The loader has verified that each state handles or ignores each event.
		panic(err)
	}
	for _, a := range actions {
		if a == doRamp {
			e.rampStart = now
		}
	}
	return actions
}

// isMarked reports whether the incarnation is marked as leaving.
func (e *endpoint) isMarked(incarnation string) bool {
	for _, m := range e.marks {
		if m == incarnation {
			return true
		}
	}
	return false
}
