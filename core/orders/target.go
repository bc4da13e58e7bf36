package orders

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Target is an endpoint and what it is to serve.
type Target struct {
	ID string
	// Want is the order without its fencing number.
	Want wire.Order
	// Checks says that the configuration holds the endpoint to refuse orders
	// with an old fencing number. The endpoint's own description may say so too.
	Checks bool
}

// endpoint is what the Reconciler knows of one target.
type endpoint struct {
	Target
	machine *statechart.Machine
	// due is when the endpoint is read again; zero at once.
	due time.Time
	// read says that its state was read, or that it could not be, under this
	// fencing number.
	read bool
	// described says that it was read under this fencing number.
	described bool
	// readAt is when the last reading was asked for.
	readAt time.Time
	// disturbed says that it may be out of service because of an order.
	disturbed bool
	// loading is what the last description said.
	loading bool
	checks  bool
	// seen is the fencing number that the endpoint has seen.
	seen int64
}

// serves reports whether the order in force is the one wanted, whoever gave it.
func serves(current, want wire.Order) bool {
	a := slices.Sorted(slices.Values(current.Adapters))
	b := slices.Sorted(slices.Values(want.Adapters))
	return current.Model == want.Model && current.Version == want.Version &&
		current.Role == want.Role && slices.Equal(a, b)
}
