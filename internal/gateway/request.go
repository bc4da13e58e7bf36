package gateway

import (
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// endpointHeader returns the request header for an endpoint.
func (x *exchange) endpointHeader(entry directory.Entry, helpers []provider.Helper) http.Header {
	o := provider.EndpointHeader{
		Remaining:    x.remaining(),
		Endpoint:     entry.ID,
		Organisation: x.organisation,
		LastEventID:  x.stream.position.LastID,
		Helpers:      helpers,
	}
	return x.gateway.cfg.Headers.EncodeRequest(x.r.Header, o)
}

// endpointRequest returns the request to send to an endpoint.
func (x *exchange) endpointRequest(entry directory.Entry, helpers []provider.Helper) *upstream.Request {
	return &upstream.Request{
		Address:       entry.Address,
		FailureDomain: entry.Domain,
		Endpoint:      entry.Incarnation(),
		Repeatable:    x.route.Repeatable() && x.attempts-x.unsent < x.route.MaxAttempts,
		Cause:         metrics.CauseRequest,
		Method:        x.r.Method,
		URI:           x.r.RequestURI,
		Host:          x.r.Host,
		Header:        x.endpointHeader(entry, helpers),
		Body:          x.body,
		NewConnection: x.needsNewConnection(entry),
		Check:         x.checkBeforeSending(entry),
		Match:         x.match,
	}
}

// checkBeforeSending returns the last check of a request, immediately before its first byte. Beside a
// silent response that takes the retry: a search often finds no endpoint, or reaches none.
func (x *exchange) checkBeforeSending(entry directory.Entry) func() error {
	standingBy, helpers := x.standingBy, x.helperAddresses
	return func() error {
		if err := x.checkPermission(entry); err != nil {
			return err
		}
		if err := x.checkHelpers(helpers); err != nil {
			return err
		}
		if standingBy && !x.gateway.takeRetry(x.service) {
			return errors.WithStack(&RetriesExhaustedError{x.service})
		}
		return nil
	}
}

// RetriesExhaustedError reports that a request was not sent again because the retry budget of its
// service is exhausted.
type RetriesExhaustedError struct{ Service string }

// Error implements error.
func (e *RetriesExhaustedError) Error() string { return "retry budget of " + e.Service + " exhausted" }

// needsNewConnection reports whether the request must not be sent on a used connection:
// one that may run only once, as the connection may be closed while it is sent, and one
// that was sent to the address before, under whatever endpoint's ID, as a late second copy of
// that response has the same ID as the request.
func (x *exchange) needsNewConnection(entry directory.Entry) bool {
	return !x.route.Repeatable() || slices.Contains(x.sentTo, entry.Address)
}

// match tells whether a response with the header belongs to this request.
func (x *exchange) match(h http.Header) upstream.Match {
	switch x.gateway.cfg.Headers.DecodeResponse(0, h).ID {
	case "":
		return upstream.Unidentified
	case x.call.ID:
		return upstream.Own
	}
	return upstream.Other
}
