package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/hedging"
	"cornelsaddle.example/cornelsaddle/core/routing"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// hedge describes when another endpoint is asked beside the one of an attempt, which has not begun to
// respond.
type hedge struct {
	// delay is the time from sent, when the attempt began, to the search for another endpoint.
	delay time.Duration
	sent  time.Time
	// expected is the time to the response that was expected; zero if it is not known.
	expected time.Duration
	// endpoint is the one that is silent.
	endpoint string
	// overdue is set when the delay has passed.
	overdue bool
	// refused is why the last search asked no other endpoint; empty if one was.
	refused string
}

// HedgedError reports an attempt that was ended because another endpoint has begun to answer before
// its own.
type HedgedError struct{ Delay time.Duration }

// Error implements error.
func (e *HedgedError) Error() string {
	return "no response within " + e.Delay.String() + ", another endpoint answered"
}

// HedgeRefusedError reports a hedged request that was not sent.
type HedgeRefusedError struct{ Reason string }

// Error implements error.
func (e *HedgeRefusedError) Error() string { return "hedged request not sent: " + e.Reason }

// NoAnswerError reports a response that is not an answer to deliver while another endpoint is asked.
type NoAnswerError struct{ Status int }

// Error implements error.
func (e *NoAnswerError) Error() string {
	return "response is no answer: status " + strconv.Itoa(e.Status)
}

// newHedge returns the hedge of the current attempt; nil if no other endpoint is to be asked.
func (x *exchange) newHedge(placed Placed) *hedge {
	g := x.gateway
	if !g.cfg.HedgeSilent || x.standingBy || !x.route.Repeatable() || x.attempts-x.unsent >= x.route.MaxAttempts || g.stop.Load() != nil {
		return nil
	}
	wait := hedging.Wait{Predicted: placed.Predicted, Estimated: placed.Expected, Observed: g.responseTimes(x.route), Patience: time.Until(x.deadline)}
	if x.route.Goal > 0 && !x.stream.headerSent.Load() {
		wait.Goal = time.Until(x.arrived.Add(x.route.Goal))
	}
	if left := time.Until(x.waitingSince().Add(x.route.Patience)); x.route.Patience > 0 && left > 0 {
		wait.Patience = min(wait.Patience, left)
	}
	delay, ok := wait.Delay()
	if !ok {
		return nil
	}
	return &hedge{delay: delay, sent: x.sent, expected: wait.Expected(), endpoint: x.endpoint}
}

// send sends the request of the current attempt. While its endpoint does not begin to respond, other
// endpoints are asked according to the hedge, if there is one. If one of them has begun to answer in
// its place, that is x.replacement, and the error is the reason.
func (x *exchange) send(ctx context.Context, o *openedAttempt, req *upstream.Request) (err error) {
	if o.hedge == nil {
		o.resp, err = x.gateway.cfg.Transport.Send(ctx, req)
		return err //nolint:wrapcheck // it has its stack
	}
	own, cancel := context.WithCancel(ctx)
	o.cancel = cancel
	standby := &standby{x: x, ctx: ctx, abort: cancel, limit: o.hedge.delay, hedge: o.hedge}
	defer standby.stop()
	standby.start()
	o.resp, err = x.gateway.cfg.Transport.Send(own, req)
	failure := err
	if err == nil && !x.isAnswer(o) {
		failure = errors.WithStack(&NoAnswerError{o.resp.Status})
	}
	if failure != nil {
		standby.await(failure)
	}
	if x.replacement = standby.stop(); x.replacement != nil {
		return standby.cause()
	}
	return err //nolint:wrapcheck // it has its stack
}

// isAnswer reports whether an attempt's response may be delivered, as far as its header tells.
func (x *exchange) isAnswer(o *openedAttempt) bool {
	resp, meta := o.resp, x.responseHeader(o)
	switch {
	case meta.NotRun || impliesNotRun(resp.Status) || resp.Status >= http.StatusInternalServerError:
		return false
	case x.stream.headerSent.Load() && !x.streams(resp):
		return false
	}
	return meta.Sealed || resp.Status >= http.StatusMultipleChoices
}

// endReplaced ends an attempt before whose response another endpoint has begun to answer.
func (x *exchange) endReplaced(ctx context.Context, o *openedAttempt, cause error) (again bool) {
	result := x.failedAttempt(ctx, cause)
	var hedged *HedgedError
	var noAnswer *NoAnswerError
	switch {
	case errors.As(cause, &hedged):
		result.outcome = dispatch.Abandoned
	case errors.As(cause, &noAnswer):
		meta := x.observe(o)
		result.status, result.notRun, result.blamed = o.resp.Status, meta.NotRun, x.blamed(meta.AtFault)
		if meta.NotRun {
			result.outcome = dispatch.Rejected
		}
	}
	if o.resp != nil {
		o.resp.Close()
	}
	o.release()
	result.replaced = true
	x.reportEnd(o.job, o.entry, result)
	return x.finishAttempt(ctx, o.entry, result)
}

// whyStopping is why a VM that stops sends no hedged request.
const whyStopping = "VM stops"

// hedgeRefusal returns why the search under way may not send a hedged request now; empty if it may or
// if it is not one for a hedge.
func (x *exchange) hedgeRefusal() string {
	switch {
	case x.hedge == nil:
		return ""
	case x.gateway.stop.Load() != nil:
		return whyStopping
	}
	return x.gateway.hedgeRefusal(x.service)
}

// takeHedge takes a hedged request from the retry budget and from the limit on hedges. It is called
// immediately before the first byte is sent.
func (x *exchange) takeHedge(entry directory.Entry, h *hedge) error {
	why := whyStopping
	if x.gateway.stop.Load() == nil {
		why = x.gateway.takeHedge(x.service)
	}
	if why != "" {
		return errors.WithStack(&HedgeRefusedError{why})
	}
	x.gateway.cfg.Log.Emit(event.RequestHedged{
		Request: x.call.ID, Attempt: x.number, Endpoint: entry.ID, Beside: h.endpoint, Silent: time.Since(h.sent),
		Delay: h.delay, Expected: h.expected,
	})
	return nil
}

// recordOverdue records, once, that the endpoint of a hedge has not begun to respond in time.
func (g *Gateway) recordOverdue(service string, h *hedge) {
	if h.overdue {
		return
	}
	h.overdue = true
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard(service).RecordOverdue()
}

// recordInTime records that the endpoint has begun to respond, unless that was overdue.
func (g *Gateway) recordInTime(service string, h *hedge) {
	if h.overdue {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard(service).RecordInTime()
}

// guard returns the bounds of the service's hedges. The caller holds mu.
func (g *Gateway) guard(service string) *hedging.Guard {
	guard := g.hedges[service]
	if guard == nil {
		guard = hedging.NewGuard(g.budget(service).Length())
		g.hedges[service] = guard
	}
	return guard
}

// beginHedge begins a search for another endpoint, which end ends. Otherwise it returns why there is
// none.
func (g *Gateway) beginHedge(service string) (why string, end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	guard := g.guard(service)
	if why := guard.Begin(time.Now()); why != "" {
		return string(why), nil
	}
	return "", func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		guard.End()
	}
}

// hedgeRefusal returns why the service's requests may not be hedged now; empty if they may.
func (g *Gateway) hedgeRefusal(service string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return string(g.guard(service).RefusalReason(time.Now()))
}

// takeHedge takes a hedge from the service's retry budget and from its limit on hedges. It returns
// why it may not be sent; empty if it may.
func (g *Gateway) takeHedge(service string) string {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	guard := g.guard(service)
	if why := guard.RefusalReason(now); why != "" {
		return string(why)
	}
	if !g.budget(service).Take(now) {
		return whyBudget
	}
	guard.Take(now)
	g.resends.Inc(1)
	g.hedgesSent.Inc(1)
	return ""
}

// responseTimes returns what is known of the times in which endpoints begin to respond on the route.
func (g *Gateway) responseTimes(route *routing.Route) hedging.Statistics {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.responses[route.Name]; m != nil {
		return *m
	}
	return hedging.Statistics{}
}

// recordBegin records that an attempt's endpoint has begun to respond, with the header or, for a
// stream, with its first event: whether that is in time, and how long it took.
func (x *exchange) recordBegin(o *openedAttempt) {
	if !x.gateway.cfg.HedgeSilent || !x.route.Repeatable() {
		return
	}
	if !x.isAnswer(o) {
		return
	}
	took := float64(time.Since(x.sent))
	if x.predicted > 0 {
		took /= float64(x.predicted)
	}
	if o.hedge != nil {
		x.gateway.recordInTime(x.service, o.hedge)
	}
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	m := x.gateway.responses[x.route.Name]
	if m == nil {
		m = &hedging.Statistics{}
		x.gateway.responses[x.route.Name] = m
	}
	m.Observe(took)
}
