package orders

import (
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// ActionID identifies the action whose result an event reports.
type ActionID struct {
	Endpoint string
	// Fencing is the fencing number with which the action was requested.
	Fencing int64
}

func (a ActionID) actionID() ActionID { return a }

// Event is the result of an action.
type Event interface{ actionID() ActionID }

// Described is the result of a successful Describe.
type Described struct {
	ActionID
	Description wire.Description
}

// Unreachable reports that a Describe failed.
type Unreachable struct{ ActionID }

// Ordered is the result of an Order.
type Ordered struct {
	ActionID
	Outcome Outcome
}

// Outcome is the outcome of an order.
type Outcome int

// The outcomes of an order. OutcomeLost means that the endpoint may have accepted
// the order, OutcomeRefused and OutcomeStale that it certainly did not.
const (
	OutcomeLost Outcome = iota
	OutcomeTaken
	OutcomeRefused
	OutcomeStale
)

func (o Outcome) event() statechart.Event {
	switch o {
	case OutcomeTaken:
		return "taken"
	case OutcomeRefused:
		return "refused"
	case OutcomeStale:
		return "stale"
	}
	return "lost"
}

// Action is an output of a Reconciler that the driver performs.
type Action interface{ action() }

// Describe reads the endpoint's state.
type Describe struct{ ActionID }

// Order sends an order, unless the lease ends before the order's timeout.
type Order struct {
	ActionID
	Order wire.Order
}

// Raise requests a fencing number greater than Above.
type Raise struct{ Above int64 }

func (Describe) action() {}
func (Order) action()    {}
func (Raise) action()    {}
