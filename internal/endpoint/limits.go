package endpoint

import (
	"context"
	"time"

	"cornelsaddle.example/cornelsaddle/core/ratelimit"
)

// Limits keeps the limits on requests that endpoints name in their responses. Endpoints
// are given by their addresses.
type Limits interface {
	// Observe records what the response to a request that was sent at the time says of the
	// endpoint's limit; unreadable is the begin of a limit that can't be read.
	Observe(endpoint string, sentAt time.Time, limit ratelimit.Limit, unreadable string)
	// Take takes a turn for a request to the endpoint. It returns zero if the request may
	// be sent, and otherwise the time until a turn may be had.
	Take(ctx context.Context, endpoint string) time.Duration
	// Wait returns the time until the endpoint may get a request, as far as that is known.
	Wait(endpoint string) time.Duration
}

// NoLimits are Limits of endpoints that name none.
type NoLimits struct{}

// Observe implements Limits.
func (NoLimits) Observe(string, time.Time, ratelimit.Limit, string) {}

// Take implements Limits.
func (NoLimits) Take(context.Context, string) time.Duration { return 0 }

// Wait implements Limits.
func (NoLimits) Wait(string) time.Duration { return 0 }

// observeLimit passes on the limit that the values of a response's header name.
func observeLimit(l Limits, endpoint string, sentAt time.Time, values []string) {
	limit, unreadable := ratelimit.Parse(values)
	l.Observe(endpoint, sentAt, limit, unreadable)
}
