package calls

import "time"

// Config configures a Call.
type Config struct {
	// Retention is how long a row is kept. It must be longer than the time
	// within which callers repeat a call.
	Retention time.Duration
	// WriteTimeout is the timeout of one write to the table.
	WriteTimeout time.Duration
	// MaxClaimTries is the maximum number of writes that claim the row.
	MaxClaimTries int
	// MaxRecordTries is the maximum number of writes that record the result.
	MaxRecordTries int
	// BaseBackoff is the base and MaxBackoff the upper bound of the exponential
	// back-off between two writes, before jitter.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// OverdueMargin is added to the deadline of a started row before its attempt
	// is considered ended. It covers clock differences between VMs.
	OverdueMargin time.Duration
	// InProgressRetry and StoreRetry are the retry-after times sent to callers
	// while a call is in progress and while the store is unavailable.
	InProgressRetry time.Duration
	StoreRetry      time.Duration
	// MaxSends is the maximum number of endpoints that one attempt sends to. It
	// sends to the next one only if the call provably did not run at the last.
	MaxSends int
}

// DefaultConfig returns the configuration used by VMs.
func DefaultConfig() Config {
	return Config{
		Retention:       24 * time.Hour,
		WriteTimeout:    time.Second,
		MaxClaimTries:   4,
		MaxRecordTries:  12,
		BaseBackoff:     20 * time.Millisecond,
		MaxBackoff:      30 * time.Second,
		OverdueMargin:   5 * time.Second,
		InProgressRetry: 500 * time.Millisecond,
		StoreRetry:      time.Second,
		MaxSends:        3,
	}
}
