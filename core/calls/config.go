package calls

import "time"

// Config of the decisions on calls.
type Config struct {
	// Retention is how long a row is kept. It must be longer than anybody
	// repeats a call.
	Retention time.Duration
	// WriteTimeout bounds one write to the table.
	WriteTimeout time.Duration
	// ClaimTries bounds the writes by which an attempt is recorded.
	ClaimTries int
	// RecordTries bounds the writes by which a result is recorded.
	RecordTries int
	// FirstWait and MaxWait bound the wait between two writes, before jitter.
	FirstWait time.Duration
	MaxWait   time.Duration
	// OverdueMargin is added to a started row's deadline before the attempt is
	// held to have ended: it covers the VMs' clocks.
	OverdueMargin time.Duration
	// InProgressRetry and StoreRetry tell callers when to come back.
	InProgressRetry time.Duration
	StoreRetry      time.Duration
	// MaxSends bounds the endpoints that one attempt tries while each proves
	// that nothing ran there.
	MaxSends int
}

// DefaultConfig returns the configuration of a VM.
func DefaultConfig() Config {
	return Config{
		Retention:       24 * time.Hour,
		WriteTimeout:    time.Second,
		ClaimTries:      4,
		RecordTries:     12,
		FirstWait:       20 * time.Millisecond,
		MaxWait:         30 * time.Second,
		OverdueMargin:   5 * time.Second,
		InProgressRetry: 500 * time.Millisecond,
		StoreRetry:      time.Second,
		MaxSends:        3,
	}
}
