package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// firstBackoff and maxBackoff bound the wait between two attempts, before
	// jitter.
	firstBackoff = 25 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	jitter       = 0.5
)

// retry runs op until it succeeds, returns a permanent error, or the client's
// attempts or time are used up. op is told how long it may take.
func retry[T any](c *Client, op func(timeout time.Duration) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Timeout)
	defer cancel()
	end, _ := ctx.Deadline()
	return backoff.Retry(ctx,
		func() (T, error) { return op(min(c.cfg.AttemptTimeout, time.Until(end))) },
		backoff.WithBackOff(&backoff.ExponentialBackOff{
			InitialInterval:     firstBackoff,
			RandomizationFactor: jitter,
			Multiplier:          2,
			MaxInterval:         maxBackoff,
		}),
		backoff.WithMaxTries(uint(c.cfg.Attempts)),
		backoff.WithMaxElapsedTime(c.cfg.Timeout),
	)
}

// permanent marks an error that no further attempt can mend.
func permanent(err error) error { return backoff.Permanent(err) }
