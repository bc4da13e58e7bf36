package gateway

import (
	"context"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/ticket"
)

// maxReservationAttempts bounds the attempts to reserve memory for one request.
const maxReservationAttempts = 3

// reserve reserves memory at the helpers that hold parts of the prompt's memory.
func (x *exchange) reserve(ctx context.Context, job string, placed Placed) (*ticket.Grant, error) {
	if len(placed.Shares) == 0 {
		return nil, nil
	}
	wants := make([]ticket.Request, 0, len(placed.Shares))
	for i, tokens := range placed.Shares {
		id := placed.Helpers[i]
		entry, availability := x.gateway.cfg.Directory.Lookup(id)
		if availability != directory.Available {
			return nil, errors.WithStack(&ticket.NotGrantedError{
				Endpoint: id, Cause: &UnavailableError{Endpoint: id, Availability: availability},
			})
		}
		wants = append(wants, ticket.Request{Endpoint: id, Started: entry.Started, Address: entry.Address, FailureDomain: entry.Domain, Tokens: tokens})
	}
	// The name must not contain a slash, which separates it from an address.
	return x.gateway.cfg.Tickets.Reserve(ctx, x.reservationName(job), wants)
}

// reservationName returns the name for the reservations of one attempt, with
// slashes and commas replaced by dots.
func (x *exchange) reservationName(job string) string {
	name := []byte(x.gateway.cfg.VM + "." + job)
	for i, c := range name {
		if c == '/' || c == ',' {
			name[i] = '.'
		}
	}
	return string(name)
}

// handleReservationError handles a failed reservation. It reports whether the
// request is to be placed again, which is bounded by maxReservationAttempts.
func (x *exchange) handleReservationError(ctx context.Context, job string, err error) bool {
	var refused *ticket.NotGrantedError
	blamed := ""
	if errors.As(err, &refused) {
		blamed = refused.Endpoint
	}
	x.gateway.cfg.Placer.Finished(job, dispatch.End{Outcome: dispatch.Rejected, Blamed: blamed})
	x.failedReservations++
	retry := x.failedReservations < maxReservationAttempts && ctx.Err() == nil
	x.gateway.cfg.Log.Emit(event.ReservationFailed{Request: x.call.ID, Reason: err.Error(), Again: retry})
	if retry {
		return true
	}
	if x.r.Context().Err() != nil {
		x.abortAbandoned()
		return false
	}
	x.giveUp(ctx, defaultRetryAfter)
	return false
}

// helpers lists the endpoints that prefill parts of the prompt. Those that may be
// sent no requests are left out, unless they hold reserved memory: the endpoint then
// rejects the request if it can't use them.
func (x *exchange) helpers(placed Placed, grant *ticket.Grant) []provider.Helper {
	helpers := make([]provider.Helper, 0, len(placed.Helpers))
	x.helperAddresses = make(map[string]string, len(placed.Helpers))
	for i, id := range placed.Helpers {
		var h provider.Helper
		if i < len(placed.Shares) {
			h = provider.Helper{Address: grant.Address(i), Reservation: grant.IDs[i]}
		} else {
			entry, availability := x.gateway.cfg.Directory.Lookup(id)
			if availability != directory.Available {
				continue
			}
			h = provider.Helper{Address: entry.Address}
		}
		x.helperAddresses[id] = h.Address
		helpers = append(helpers, h)
	}
	return helpers
}
