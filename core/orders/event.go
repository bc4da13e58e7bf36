package orders

import (
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Answer names the action that an event answers.
type Answer struct {
	Endpoint string
	// Fencing is the number under which the action was asked for.
	Fencing int64
}

func (a Answer) answer() Answer { return a }

// Event answers an action.
type Event interface{ answer() Answer }

// Described answers a Describe.
type Described struct {
	Answer
	Description wire.Description
}

// Unreachable answers a Describe that failed.
type Unreachable struct{ Answer }

// Ordered answers an Order.
type Ordered struct {
	Answer
	Outcome Outcome
}

// Outcome tells how an order ended.
type Outcome int

// The outcomes of an order. OutcomeRefused and OutcomeStale prove that the
// endpoint did not take it.
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

// Action is something to carry out.
type Action interface{ action() }

// Describe asks for a reading of the endpoint's state.
type Describe struct{ Answer }

// Order asks for an order to be given, if the lease still allows it.
type Order struct {
	Answer
	Order wire.Order
}

// Raise asks for a fencing number above the one given.
type Raise struct{ Above int64 }

func (Describe) action() {}
func (Order) action()    {}
func (Raise) action()    {}
