package retry

import (
	"math/rand/v2"
	"time"
)

// Config holds the retry parameters of a VM, which apply to all its requests.
type Config struct {
	// MaxAttempts is the maximum number of attempts per request, including the
	// first.
	MaxAttempts int
	// MaxCrashes is the number of attempts whose endpoint ends the connection before it
	// sends any part of an answer, from which a request is not sent again: it may be
	// what crashes its endpoints.
	MaxCrashes int
	// BaseDelay is the maximum delay before the first retry; the maximum
	// doubles with each further retry up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// BudgetFloor is the number of retries that an idle VM may make, and the
	// maximum that the budget accumulates.
	BudgetFloor float64
	// MinLeft is the minimum time that must remain before the deadline after
	// the delay.
	MinLeft time.Duration
}

// Default returns the default Config of a VM.
func Default() Config {
	return Config{
		MaxAttempts: 6,
		MaxCrashes:  3,
		BaseDelay:   50 * time.Millisecond,
		MaxDelay:    2 * time.Second,
		BudgetFloor: 20,
		MinLeft:     10 * time.Millisecond,
	}
}

// Budget is a token bucket for retries. It is not safe for concurrent use.
type Budget struct {
	max    float64
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(cfg Config) *Budget {
	return &Budget{max: cfg.BudgetFloor, tokens: cfg.BudgetFloor}
}

// Deposit adds the tokens for one admitted request, from 0 to 1.
func (b *Budget) Deposit(share float64) {
	b.tokens = min(b.max, b.tokens+share)
}

// Available reports whether the budget allows a retry.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Withdraw takes one token for a retry.
func (b *Budget) Withdraw() { b.tokens = max(0, b.tokens-1) }

// Allows reports whether another attempt may be made, given the number of attempts so
// far, how many of them were crashes, and the time left before the deadline.
func (c Config) Allows(attempts, crashes int, left time.Duration) bool {
	return attempts < c.MaxAttempts && crashes < c.MaxCrashes && left > c.MinLeft
}

// Delay returns a random delay before the next attempt, given the number of
// attempts so far and the time left before the deadline. Its upper bound
// doubles with each attempt and leaves at least MinLeft before the deadline.
func (c Config) Delay(attempts int, left time.Duration, rng *rand.Rand) time.Duration {
	upper := min(c.delayCeiling(attempts), left-c.MinLeft)
	return time.Duration(rng.Int64N(int64(max(0, upper)) + 1))
}

// delayCeiling returns the maximum delay after the given number of attempts.
func (c Config) delayCeiling(attempts int) time.Duration {
	d := c.BaseDelay
	for i := 1; i < attempts && d < c.MaxDelay; i++ {
		d *= 2
	}
	return min(d, c.MaxDelay)
}
