package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// firstBackoff and maxBackoff are the initial and the maximum back-off between
	// two attempts, before jitter.
	firstBackoff = 25 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// jitter is the fraction by which a back-off is randomised up and down.
	jitter = 0.5
)

// retry runs op until it succeeds, returns a permanent error, or the client's
// attempts or Timeout are used up. The argument of op bounds the attempt.
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

// permanent marks an error that must not be retried.
func permanent(err error) error { return backoff.Permanent(err) }
