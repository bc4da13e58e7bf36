package orders

import "time"

// Config configures a Reconciler.
type Config struct {
	// OrderTimeout is the timeout of one order. The holder sends no order if its
	// lease may end within that time.
	OrderTimeout time.Duration
	// DescribeTimeout is the timeout of one read of an endpoint's state.
	DescribeTimeout time.Duration
	// SettleTime is how long an endpoint may take to execute an order after its
	// sender has timed out. A new holder waits this long before its first order.
	// Every holder waits this long after an order of unknown outcome before it
	// reads the endpoint again.
	SettleTime time.Duration
	// UnreadGrace is how long after the start of a lease an endpoint that the
	// new holder cannot read counts as disrupted by a previous holder's order.
	UnreadGrace time.Duration
	// CheckEvery is the interval between reads of an endpoint in its target
	// state.
	CheckEvery time.Duration
	// WatchEvery is the interval between reads of an endpoint that is loading.
	WatchEvery time.Duration
	// RereadDelay is the time until an endpoint is read again after a failed read, a
	// refused or stale order, or while it waits for an order.
	RereadDelay time.Duration
	// MaxInFlight is the maximum number of reads and orders in flight.
	MaxInFlight int
}

// DefaultConfig returns the configuration used by VMs.
func DefaultConfig() Config {
	return Config{
		OrderTimeout:    3 * time.Second,
		DescribeTimeout: time.Second,
		SettleTime:      6 * time.Second,
		UnreadGrace:     30 * time.Second,
		CheckEvery:      90 * time.Second,
		WatchEvery:      time.Second,
		RereadDelay:     3 * time.Second,
		MaxInFlight:     8,
	}
}

// Policy limits the changes to a service, as configured.
type Policy struct {
	// MaxUnavailable is the maximum share of the endpoints that may be out of
	// service at the same time, from 0 to 1. One endpoint is always allowed.
	MaxUnavailable float64
	// LoadsPerSecond is this service's share of the weight store's load rate;
	// zero means no limit.
	LoadsPerSecond float64
}
