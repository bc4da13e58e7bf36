package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/ticket"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// attemptState is what is known of one attempt.
type attemptState struct {
	// number is that of the attempt, from 1.
	number int
	// endpoint is the ID of the endpoint that has the request.
	endpoint string
	// helperAddresses maps the IDs of the attempt's helpers to their addresses.
	helperAddresses map[string]string
	// framing is that of the response, and unfinished the number of bytes of an unfinished
	// event at its end; both for the log.
	framing    upstream.Framing
	unfinished int
	// limit is what the response says of its endpoint's limit, for the log.
	limit string
	// via is the VM through which the response came; empty if it came on this VM's own path.
	via string
	// sent is the time at which the attempt began, and began that of its first event; zero if
	// there was none.
	sent, began time.Time
	// expected is the expected time of a call of a plain service, and predicted that until the first
	// event of a prompt's answer; zero if they were not estimated.
	expected, predicted time.Duration
}

// openedAttempt is an attempt whose endpoint has begun to respond.
type openedAttempt struct {
	job   string
	entry directory.Entry
	grant *ticket.Grant
	resp  *upstream.Response
	// hedge is that of the attempt; nil for none.
	hedge *hedge
	// hedges is set if the attempt was made beside one whose endpoint had not begun to respond.
	hedges bool
	// meta is what the header of the response says; nil while it was not decoded. observed is set
	// once that was recorded.
	meta     *provider.ResponseHeader
	observed bool
	// buffer has the first events of a stream that replaces another one; nil if nothing of the
	// body was read yet.
	buffer *eventBuffer
	// state is that of the attempt while it is not the current one.
	state attemptState
	// cancel ends the context of an attempt that has one of its own; nil if it has none.
	cancel context.CancelFunc
}

// close ends the attempt's exchange with the endpoint, and releases what is reserved for it.
func (o *openedAttempt) close() {
	o.resp.Close()
	o.release()
}

// release releases what is reserved for the attempt.
func (o *openedAttempt) release() {
	o.grant.Release()
	if o.cancel != nil {
		o.cancel()
	}
}

// attempt sends the request to one endpoint, unless that is done already, and delivers the
// response. It reports whether the request is to be sent again.
func (x *exchange) attempt(ctx context.Context) bool {
	o, again := x.takeReplacement(), false
	if o == nil {
		o, again = x.open(ctx, nil)
	}
	if o == nil {
		return again
	}
	defer o.release()
	result := x.relayAndClose(ctx, o)
	x.recordPredictionError(result)
	x.reportEnd(o.job, o.entry, result)
	return x.finishAttempt(ctx, o.entry, result)
}

// relayAndClose delivers the response of an attempt and ends its exchange with the endpoint.
func (x *exchange) relayAndClose(ctx context.Context, o *openedAttempt) attemptResult {
	defer o.resp.Close()
	return x.relay(ctx, o)
}

// takeReplacement makes the attempt that has replaced the one before it the current one, if there is
// one.
func (x *exchange) takeReplacement() *openedAttempt {
	o := x.replacement
	if o != nil {
		x.replacement, x.attemptState = nil, o.state
		if o.hedges {
			x.gateway.hedgesWon.Inc(1)
		}
	}
	return o
}

// discardReplacement ends an attempt that has not become the current one, as the caller has left.
func (x *exchange) discardReplacement() {
	if x.replacement != nil {
		x.discard(x.replacement)
	}
}

// open places the request, but not at the excluded endpoints, and sends it to one endpoint. If no
// endpoint begins to respond, it ends the request and returns nil, and reports whether the request
// is to be placed again instead.
func (x *exchange) open(ctx context.Context, exclude []string) (o *openedAttempt, again bool) {
	if subject, wait, refused := x.withheld(); refused {
		x.refuseWithheld(ctx, subject, wait)
		return nil, false
	}
	paused, wait := x.gateway.cfg.Directory.Paused(x.service)
	if wait > 0 {
		x.refusePaused(ctx, wait)
		return nil, false
	}
	job := x.job()
	job.Exclude = slices.Concat(paused, exclude)
	placed, err := x.gateway.cfg.Placer.Place(ctx, job)
	if err != nil {
		x.handlePlacementError(ctx, err)
		return nil, false
	}
	if subject, wait, refused := x.withheld(); refused {
		// It was decided while the request waited.
		x.gateway.cfg.Placer.Finished(job.ID, dispatch.End{Outcome: dispatch.Abandoned})
		x.refuseWithheld(ctx, subject, wait)
		return nil, false
	}
	entry, availability := x.gateway.cfg.Directory.Lookup(placed.Endpoint)
	if availability != directory.Available {
		x.gateway.cfg.Placer.Finished(job.ID, dispatch.End{Outcome: unavailableOutcome(availability)})
		return nil, x.handleStalePlacement(ctx, placed, availability)
	}
	grant, err := x.reserve(ctx, job.ID, placed)
	if err != nil {
		return nil, x.handleReservationError(ctx, job.ID, err)
	}
	x.beginAttempt(&job, placed, entry)
	req := x.endpointRequest(entry, x.helpers(placed, grant))
	x.sentTo = append(x.sentTo, entry.Address)
	o = &openedAttempt{job: job.ID, entry: entry, grant: grant, hedge: x.newHedge(placed)}
	err = x.send(ctx, o, req)
	if x.replacement != nil {
		return nil, x.endReplaced(ctx, o, err)
	}
	if err != nil {
		o.release()
		result := x.failedAttempt(ctx, err)
		x.reportEnd(job.ID, entry, result)
		return nil, x.finishAttempt(ctx, entry, result)
	}
	if !x.streams(o.resp) {
		x.recordBegin(o)
	}
	return o, false
}

// beginAttempt counts and logs an attempt that is about to be sent.
func (x *exchange) beginAttempt(job *dispatch.Job, placed Placed, entry directory.Entry) {
	x.attempts++
	x.attemptState = attemptState{number: x.attempts, endpoint: entry.ID, sent: time.Now(), expected: placed.Expected, predicted: placed.Predicted}
	if x.attempts == 1 {
		x.gateway.cfg.Metrics.Queueing(x.organisation, x.route.Name, time.Since(x.arrived))
	}
	x.gateway.cfg.Log.Emit(event.RequestPlaced{
		Request: x.call.ID, Attempt: x.number, Endpoint: entry.ID, Helpers: strings.Join(placed.Helpers, ","),
		Prompt: job.PromptTokens, Parts: strings.Join(x.call.PromptParts, ","), Holder: placed.Holder, Waited: time.Since(x.arrived), Predicted: placed.Predicted,
		Expected: placed.Expected, Evidence: placed.Evidence, Limited: placed.Limited, Digest: x.requestDigest,
	})
}

// recordPredictionError records by how much the estimate was off on which a served attempt's placement
// was based.
func (x *exchange) recordPredictionError(result attemptResult) {
	switch {
	case result.outcome != dispatch.Served:
	case x.expected > 0:
		x.gateway.cfg.Metrics.PredictionError(x.organisation, x.route.Name, time.Since(x.sent)-x.expected)
	case x.predicted > 0 && !x.began.IsZero():
		x.gateway.cfg.Metrics.PredictionError(x.organisation, x.route.Name, x.began.Sub(x.sent)-x.predicted)
	}
}
