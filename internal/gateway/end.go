package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// reportEnd tells placement how the attempt ended. Where its connection broke, that is told
// only once it is known whether the endpoint was at fault or this VM's path to it.
func (x *exchange) reportEnd(job string, entry directory.Entry, result attemptResult) {
	end := dispatch.End{
		Outcome: result.outcome, Blamed: result.blamed, BrokenOff: upstream.BrokenOff(result.err), Digest: x.requestDigest,
	}
	placer, transport := x.gateway.cfg.Placer, x.gateway.cfg.Transport
	known := end.Outcome != dispatch.Failed || x.via != "" || !upstream.Broke(result.err)
	if known || !transport.HasOtherWay() {
		placer.Finished(job, end)
		return
	}
	req := x.endpointRequest(entry, nil)
	go func() {
		if transport.OwnPathFailed(context.Background(), req) {
			end.Outcome, end.BrokenOff = dispatch.Abandoned, false
		}
		placer.Finished(job, end)
	}()
}

// finishAttempt records the result of an attempt and ends the request unless it
// may be sent again. It reports whether it is sent again.
func (x *exchange) finishAttempt(ctx context.Context, entry directory.Entry, result attemptResult) bool {
	if result.delivered {
		return false
	}
	if result.callerLeft || x.r.Context().Err() != nil {
		x.abortAbandoned()
		return false
	}
	if !result.notRun {
		x.mayHaveRun = true
	}
	if result.unsent {
		x.unsent++
	}
	var refused *HedgeRefusedError
	if (!x.standingBy || ctx.Err() == nil) && !errors.As(result.err, &refused) {
		// Nothing is wrong with an endpoint whose attempt is ended as the silent one goes on, or
		// which was not asked.
		x.avoid = append(x.avoid, entry.ID)
	}
	if result.blamed != "" {
		x.avoid = append(x.avoid, result.blamed)
	}
	if result.failureResponse != nil {
		x.failureResponse = result.failureResponse
	}
	retry, why := result.replaced, ""
	if !result.replaced {
		retry, why = x.mayRetry(ctx, result)
	}
	x.gateway.cfg.Log.Emit(event.SendEnded{
		Request: x.call.ID, Attempt: x.number, Endpoint: entry.ID, Status: result.status,
		Outcome: result.outcome.String(), Blamed: result.blamed, Began: x.sinceBegan(), Reason: result.reason(),
		Silent: x.silence(), Framing: string(x.framing), Unfinished: x.unfinished, Limit: x.limit, Via: x.via, Again: retry, Why: why,
	})
	if retry {
		return true
	}
	x.giveUp(ctx, defaultRetryAfter)
	return false
}

// whyBudget is why a request is not sent again for which the retry budget of its service has no room.
const whyBudget = "retry budget exhausted"

// mayRetry reports whether the request may be sent again, and if not, why. If
// it may, the retry is taken from the service's budget.
func (x *exchange) mayRetry(ctx context.Context, result attemptResult) (bool, string) {
	hedgeRefusal := x.hedgeRefusal()
	switch {
	case x.gateway.exitingSoon():
		return false, "VM exits"
	case x.standingBy && ctx.Err() != nil:
		return false, "the endpoint goes on"
	case ctx.Err() != nil:
		return false, "deadline expired"
	case x.unsent-x.unsentBefore > maxUnsent || x.attempts-x.unsent >= x.route.MaxAttempts:
		return false, "attempt limit reached"
	case !result.notRun && !x.route.Repeatable():
		return false, "may have run"
	case x.stream.headerSent.Load() && x.stream.position.LastID == "":
		return false, "no event ID to resume from"
	case hedgeRefusal != "":
		return false, hedgeRefusal
	case !x.hasRetry(result):
		return false, whyBudget
	}
	return true, ""
}

// hasRetry reports whether the budget allows another attempt after the result, and takes it. Beside a
// silent response it is taken only once the request is about to be sent, as it often isn't; an
// attempt of which no byte was sent takes none.
func (x *exchange) hasRetry(result attemptResult) bool {
	switch {
	case x.standingBy:
		return x.gateway.allowsRetry(x.service)
	case result.unsent:
		return true
	}
	return x.gateway.takeRetry(x.service)
}

// sinceBegan returns the time since the first event of the current attempt, or zero if
// there was none.
func (x *exchange) sinceBegan() time.Duration {
	if x.began.IsZero() {
		return 0
	}
	return time.Since(x.began)
}

// silence returns the time since the last delivered event of the current attempt, or else since
// the attempt began.
func (x *exchange) silence() time.Duration {
	heard := x.sent
	if x.stream.lastDelivery.After(heard) {
		heard = x.stream.lastDelivery
	}
	return time.Since(heard)
}

func (x *exchange) logEnd() {
	e := event.RequestEnded{
		Request: x.call.ID, Service: x.service, Organisation: x.organisation, Endpoint: x.endpoint,
		Attempts: x.attempts, Status: x.status, Code: string(x.code), First: x.timeToFirst, Pause: x.stream.longestGap,
		Took: time.Since(x.arrived), Events: x.stream.events, Framing: string(x.framing), Unfinished: x.unfinished,
		Limit: x.limit, Via: x.via, SinceStop: x.gateway.sinceStop(x.arrived),
	}
	if x.route != nil {
		e.Route = x.route.Name
		e.Version = x.table.Version()
	}
	x.gateway.cfg.Log.Emit(e)
	if x.gateway.exitingSoon() {
		x.gateway.countExit(x.code)
	}
	if x.code != "" {
		x.gateway.cfg.Metrics.Failed(string(x.code))
	}
}
