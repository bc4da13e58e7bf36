package orders

import "time"

// Config of a Reconciler.
type Config struct {
	// OrderTimeout bounds one order; a holder gives none if its lease does not
	// last that long.
	OrderTimeout time.Duration
	// DescribeTimeout bounds one reading of an endpoint's state.
	DescribeTimeout time.Duration
	// Settle is how long an endpoint may take to act on an order whose sender
	// has given up. A new holder waits that long before its first order, and
	// every holder before it reads an endpoint whose answer was lost.
	Settle time.Duration
	// UnreadGrace is how long an endpoint that a new holder can't read counts
	// as out of service because of an earlier holder's order.
	UnreadGrace time.Duration
	// CheckEvery is the time between two readings of an endpoint that serves
	// what it should.
	CheckEvery time.Duration
	// WatchEvery is the time between two readings of one that is loading.
	WatchEvery time.Duration
	// RestFor is the time until a failed endpoint is read again.
	RestFor time.Duration
	// InFlight bounds the readings and orders at one time.
	InFlight int
}

// DefaultConfig returns the configuration of a VM.
func DefaultConfig() Config {
	return Config{
		OrderTimeout:    3 * time.Second,
		DescribeTimeout: time.Second,
		Settle:          6 * time.Second,
		UnreadGrace:     30 * time.Second,
		CheckEvery:      90 * time.Second,
		WatchEvery:      time.Second,
		RestFor:         3 * time.Second,
		InFlight:        8,
	}
}

// Policy is what the configuration says of a service's changes.
type Policy struct {
	// MaxUnavailable is the share of the endpoints that may be out of service
	// at once, from 0 to 1. One endpoint always may.
	MaxUnavailable float64
	// LoadsPerSecond is this service's part of the weight store's rate; zero
	// for no limit.
	LoadsPerSecond float64
}
