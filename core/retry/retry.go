package retry

import (
	"math/rand/v2"
	"time"
)

// Config governs the retries of all requests of a VM.
type Config struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// BaseDelay is the longest wait before the first retry; it doubles with
	// each further one up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// BudgetFloor is the number of retries that an idle VM may make, and the
	// most that it saves up.
	BudgetFloor float64
	// MinLeft is the time that must be left after the wait for an attempt to
	// be worth making.
	MinLeft time.Duration
}

// Default is the Config of a VM.
func Default() Config {
	return Config{
		MaxAttempts: 6,
		BaseDelay:   50 * time.Millisecond,
		MaxDelay:    2 * time.Second,
		BudgetFloor: 20,
		MinLeft:     10 * time.Millisecond,
	}
}

// Budget counts the retries that may be made. It is not safe for concurrent
// use.
type Budget struct {
	max   float64
	saved float64
}

// NewBudget returns a full budget.
func NewBudget(cfg Config) *Budget {
	return &Budget{max: cfg.BudgetFloor, saved: cfg.BudgetFloor}
}

// Admitted adds a request's share of a retry, from 0 to 1.
func (b *Budget) Admitted(share float64) {
	b.saved = min(b.max, b.saved+share)
}

// Left reports whether a retry may be made.
func (b *Budget) Left() bool { return b.saved >= 1 }

// Withdraw takes one retry from the budget.
func (b *Budget) Withdraw() { b.saved = max(0, b.saved-1) }

// Allows reports whether there may be another attempt after so many, with so
// much time left before the deadline.
func (c Config) Allows(attempts int, left time.Duration) bool {
	return attempts < c.MaxAttempts && left > c.MinLeft
}

// Delay is how long to wait before the next attempt, after so many of them: up
// to a ceiling that doubles, and never so long that less than MinLeft is left.
func (c Config) Delay(attempts int, left time.Duration, rng *rand.Rand) time.Duration {
	longest := min(c.ceiling(attempts), left-c.MinLeft)
	return time.Duration(rng.Int64N(int64(max(0, longest)) + 1))
}

// ceiling is the longest wait after so many attempts.
func (c Config) ceiling(attempts int) time.Duration {
	d := c.BaseDelay
	for i := 1; i < attempts && d < c.MaxDelay; i++ {
		d *= 2
	}
	return min(d, c.MaxDelay)
}
