package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

const (
	// maxStalePlacements bounds the placements of one request at endpoints that may
	// be sent no requests.
	maxStalePlacements = 3
	// suspensionLimit is the time for which the VM may have been suspended since a
	// request arrived without the directory having to be confirmed before it is sent.
	suspensionLimit = time.Second
)

// UnavailableError reports that a request was not sent because its endpoint may not
// be sent requests.
type UnavailableError struct {
	Endpoint     string
	Availability directory.Availability
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "endpoint " + e.Endpoint + " may be sent no requests: " + e.Availability.String()
}

// refusePaused refuses a request to a service all endpoints of which want no requests
// from this VM for the given time.
func (x *exchange) refusePaused(ctx context.Context, wait time.Duration) {
	x.gateway.cfg.Log.Emit(event.RequestRefused{
		Request: x.call.ID, Reason: reasonPaused, Holder: x.gateway.cfg.VM,
		Waited: time.Since(x.arrived), RetryAfter: wait,
	})
	x.giveUp(ctx, wait)
}

// refuseLate refuses a request that a VM that stops might cut. Another VM can serve it at once.
func (x *exchange) refuseLate() {
	x.gateway.cfg.Log.Emit(event.RequestRefused{
		Request: x.call.ID, Reason: string(dispatch.ReasonOwnerStopping), Holder: x.gateway.cfg.VM,
		Waited: time.Since(x.arrived), RetryAfter: dispatch.StoppingRetryAfter,
	})
	x.fail(failNotRun, dispatch.StoppingRetryAfter)
}

// reasonPaused is the reason of a refusal, in the log, because all endpoints of the
// service have asked this VM for no requests.
const reasonPaused = "endpoints_paused"

// WithheldError reports that a request was not sent because it, or a part of its prompt,
// crashes endpoints.
type WithheldError struct{ Subject quarantine.Subject }

// Error implements error.
func (e *WithheldError) Error() string {
	if e.Subject.Digest != "" {
		return "the request " + e.Subject.Digest + " is withheld"
	}
	return "prompts with the part " + e.Subject.Part + " are withheld"
}

// withheld returns the subject for which the request is refused, and for how long it is;
// refused is false if it is not.
func (x *exchange) withheld() (subject quarantine.Subject, wait time.Duration, refused bool) {
	subject, wait = x.gateway.cfg.Placer.Withheld(x.service, x.requestDigest, x.call.PromptParts)
	return subject, wait, !subject.None()
}

// refuseWithheld refuses a request that crashes endpoints, or whose prompt has a part that
// does.
func (x *exchange) refuseWithheld(ctx context.Context, subject quarantine.Subject, wait time.Duration) {
	reason := dispatch.ReasonWithheld
	if subject.Digest != "" {
		reason = dispatch.ReasonRequestWithheld
	}
	x.gateway.cfg.Log.Emit(event.RequestRefused{
		Request: x.call.ID, Reason: string(reason), Part: subject.Part, Digest: subject.Digest, Holder: x.gateway.cfg.VM,
		Waited: time.Since(x.arrived), RetryAfter: wait,
	})
	x.giveUp(ctx, wait)
}

// unavailableOutcome returns the outcome of a placement at an endpoint that may be
// sent no requests. A paused or evacuated one is not at fault.
func unavailableOutcome(a directory.Availability) dispatch.Outcome {
	if a == directory.Paused || a == directory.Evacuated {
		return dispatch.Abandoned
	}
	return dispatch.Rejected
}

// handleStalePlacement handles a placement at an endpoint that may be sent no
// requests. It reports whether the request is to be placed again, which is bounded
// by maxStalePlacements: the VM that made the placement may not have received the
// change yet.
func (x *exchange) handleStalePlacement(ctx context.Context, placed Placed, availability directory.Availability) bool {
	x.stalePlacements++
	x.avoid = append(x.avoid, placed.Endpoint)
	retry := x.stalePlacements < maxStalePlacements
	x.gateway.cfg.Log.Emit(event.RequestMisplaced{
		Request: x.call.ID, Endpoint: placed.Endpoint, Availability: availability.String(), Holder: placed.Holder, Again: retry,
	})
	if !retry {
		x.giveUp(ctx, defaultRetryAfter)
	}
	return retry
}

// remaining returns the time until the deadline. It counts the time for which the VM
// was suspended since the request arrived, which the deadline's clock does not.
func (x *exchange) remaining() time.Duration {
	return time.Until(x.deadline) - x.stopwatch.Suspended()
}

// checkPermission reports whether the request may still be sent to the endpoint,
// immediately before its first byte: what was true at its placement may have changed
// while it waited for memory or a connection, or while the VM was suspended.
func (x *exchange) checkPermission(entry directory.Entry) error {
	if x.stopwatch.Suspended() > suspensionLimit {
		x.gateway.cfg.Freshness.Await(x.r.Context())
	}
	current, availability := x.gateway.cfg.Directory.Lookup(entry.ID)
	if availability == directory.Available && current.Incarnation() != entry.Incarnation() {
		availability = directory.Unlisted
	}
	if availability != directory.Available {
		return errors.WithStack(&UnavailableError{Endpoint: entry.ID, Availability: availability})
	}
	if subject, _, refused := x.withheld(); refused {
		return errors.WithStack(&WithheldError{subject})
	}
	if x.remaining() <= 0 {
		return errors.WithStack(context.DeadlineExceeded)
	}
	return nil
}

// checkHelpers returns an UnavailableError if the failure domain of a helper of the prompt has been
// evacuated since the placement: the receiver would send it a part.
func (x *exchange) checkHelpers(helpers map[string]string) error {
	for id := range helpers {
		if _, availability := x.gateway.cfg.Directory.Lookup(id); availability == directory.Evacuated {
			return errors.WithStack(&UnavailableError{Endpoint: id, Availability: availability})
		}
	}
	return nil
}
