package orders

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Target is an endpoint with its target state.
type Target struct {
	ID string
	// Want is the order without its fencing number.
	Want wire.Order
	// ChecksFencing says that, according to the configuration, the endpoint refuses
	// orders with an old fencing number. The endpoint's description may also say
	// so.
	ChecksFencing bool
}

// endpoint is the Reconciler's state of one target.
type endpoint struct {
	Target
	machine *statechart.Machine
	// nextRead is when the endpoint is read again; zero means immediately.
	nextRead time.Time
	// readAttempted says that a read of the state has succeeded or failed with
	// the current fencing number.
	readAttempted bool
	// described says that a read has succeeded with the current fencing number.
	described bool
	// readStartedAt is when the last read was requested.
	readStartedAt time.Time
	// disrupted says that the endpoint may be out of service because of an
	// order.
	disrupted bool
	// loading says that the endpoint was loading at the last description and has
	// not been sent an order since.
	loading       bool
	checksFencing bool
	// seenFencing is the fencing number in the endpoint's last description.
	seenFencing int64
}

// serves reports whether the order in force has the wanted content, regardless of
// its fencing number.
func serves(current, want wire.Order) bool {
	a := slices.Sorted(slices.Values(current.Adapters))
	b := slices.Sorted(slices.Values(want.Adapters))
	return current.Model == want.Model && current.Version == want.Version &&
		current.Role == want.Role && slices.Equal(a, b)
}
