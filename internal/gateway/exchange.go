package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/routing"
	"cornelsaddle.example/cornelsaddle/internal/clock"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/membudget"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// defaultRetryAfter is the Retry-After of a response when the VM has no
// configuration, or when no endpoint was usable and placement gave no delay.
const defaultRetryAfter = 500 * time.Millisecond

// maxUnsent bounds the attempts of one request, or of one search beside its silent response, that
// end before a byte of it is sent. They don't count for the route's limit of attempts nor for the
// retry budget.
const maxUnsent = 2

// exchange is the state of one caller's request, from its arrival to the end of
// its response.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    provider.CallerHeader
	arrived time.Time
	// stopwatch runs from the request's arrival.
	stopwatch clock.Stopwatch
	// deadline is when the caller's or the route's timeout expires, whichever is
	// earlier.
	deadline     time.Time
	table        *routing.Table
	route        *routing.Route
	service      string
	organisation string
	// priority is the organisation's, or the route's where the organisation has
	// none.
	priority int
	body     []byte
	// memory holds the memory of body, and retention that of failureResponse.
	memory, retention *membudget.Holder
	// lingering has, for each endpoint that has answered before it has read the body, what is
	// closed when it gets no more of it.
	lingering []<-chan struct{}
	// requestDigest is the digest of the request.
	requestDigest string

	// attempts is the number of attempts to send the request to an endpoint, and unsent that
	// of those in which no byte of it was sent.
	attempts, unsent int
	// unsentBefore is the value of unsent before the search under way or the last one.
	unsentBefore int
	// sentTo are the addresses of these endpoints.
	sentTo []string
	// mayHaveRun is set when an endpoint may have started to run the request.
	mayHaveRun bool
	// avoid lists the endpoints that placement must not choose again: those at
	// which the request failed or that were no longer available.
	avoid  []string
	stream stream
	// failureResponse is the latest server error returned by an endpoint. It is
	// delivered if no other endpoint serves the request.
	failureResponse *bufferedResponse
	// failedReservations counts the failed reservations, and stalePlacements the
	// placements at endpoints that may be sent no requests.
	failedReservations int
	stalePlacements    int

	// status, code and timeToFirst are recorded for the log and the metrics.
	status      int
	code        failureCode
	timeToFirst time.Duration

	attemptState
	// standingBy is set during a search for another endpoint beside a silent response (see
	// standby); the request is not ended if the search fails.
	standingBy bool
	// hedge is that of the silent attempt during a search before its response; nil otherwise.
	hedge *hedge
	// replacement is the attempt that has replaced the one before it; nil if there is none.
	replacement *openedAttempt
}

// timeout returns the shorter of the caller's and the route's timeout.
func (x *exchange) timeout() time.Duration {
	if x.call.Timeout > 0 && (x.route.Timeout <= 0 || x.call.Timeout < x.route.Timeout) {
		return x.call.Timeout
	}
	return x.route.Timeout
}

// serve makes attempts until the request is answered or may not be sent again.
func (x *exchange) serve() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.gateway.exiting, func() {
		if x.stream.headerSent.Load() {
			context.AfterFunc(x.gateway.breaking, cancel)
			return
		}
		cancel()
	})()
	defer x.discardReplacement()
	for x.attempt(ctx) {
	}
}

// job returns the description of the request that placement needs.
func (x *exchange) job() dispatch.Job {
	job := dispatch.Job{
		ID:           x.gateway.jobID(x.call.ID),
		Owner:        x.gateway.cfg.VM,
		Domain:       x.gateway.cfg.FailureDomain,
		Service:      x.service,
		Route:        x.route.Name,
		Method:       x.r.Method,
		BodyBytes:    len(x.body),
		Organisation: x.organisation,
		Arrived:      x.arrived,
		Deadline:     x.deadline,
		MaxGap:       x.route.Gap,
		Priority:     x.priority,
		Avoid:        x.avoid,
		Parts:        x.call.PromptParts,
		MayHaveRun:   x.mayHaveRun && !x.standingBy,
	}
	if x.route.Goal > 0 {
		job.Due = x.arrived.Add(x.route.Goal)
	}
	if by := x.waitingSince().Add(x.route.Patience); x.route.Patience > 0 && time.Now().Before(by) {
		// A caller that has stayed for longer stays until the deadline.
		job.FirstEventBy = by
	}
	if x.route.Prompts {
		job.PromptTokens, job.AnswerTokens = x.call.PromptTokens, x.call.MaxOutputTokens
	}
	return job
}

// waitingSince returns when the caller began to wait for the next event: the
// time of the last delivery, or else of the request's arrival.
func (x *exchange) waitingSince() time.Time {
	if x.stream.lastDelivery.IsZero() {
		return x.arrived
	}
	return x.stream.lastDelivery
}

// handlePlacementError ends a request for which placement returned no endpoint.
func (x *exchange) handlePlacementError(ctx context.Context, err error) {
	if x.r.Context().Err() != nil {
		x.abortAbandoned()
		return
	}
	retryAfter := defaultRetryAfter
	var refused *RefusedError
	if errors.As(err, &refused) {
		retryAfter = refused.RetryAfter
		x.gateway.cfg.Log.Emit(event.RequestRefused{
			Request: x.call.ID, Reason: string(refused.Reason), Holder: refused.Holder,
			Waited: time.Since(x.arrived), RetryAfter: retryAfter,
			Organisation: x.overShare(refused), Received: refused.Received, Share: refused.Share,
		})
	}
	x.giveUp(ctx, retryAfter)
}

// giveUp ends a request that is not sent again. A response that was begun is
// aborted. Otherwise the caller gets an endpoint's server error if there was
// one, or a failure of the gateway's own, which is not_run only if it is
// certain that the request did not run. A request whose response is still open goes on with that.
func (x *exchange) giveUp(ctx context.Context, retryAfter time.Duration) {
	if x.standingBy {
		return
	}
	retained := x.takeRetained()
	switch {
	case x.stream.headerSent.Load():
		x.abortResponse()
	case retained != nil:
		if x.deliver(retained).callerLeft {
			x.abortAbandoned()
		}
	case !x.mayHaveRun:
		x.fail(failNotRun, retryAfter)
	case ctx.Err() != nil:
		x.fail(failTimeout, 0)
	default:
		x.fail(failEndpoint, 0)
	}
}
