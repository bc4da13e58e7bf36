package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// stallMargin is added to the caller's patience for the time after which another way to a silent
// stream is looked for. Most callers disconnect first.
const stallMargin = 500 * time.Millisecond

// lostInterval is the time between two searches while the path to the endpoint is lost.
const lostInterval = 500 * time.Millisecond

// StalledError reports a stream that has completed no event for longer than callers
// wait, though bytes may have arrived.
type StalledError struct{ Limit time.Duration }

// Error implements error.
func (e *StalledError) Error() string { return "no complete event within " + e.Limit.String() }

// standby opens another way to an answer while the endpoint of an attempt is silent: before the header
// of its response and the first event of a stream, where the attempt is hedged, or between the events
// of a stream. The attempt goes on if its endpoint does: it is given up only when another endpoint has
// begun to answer.
//
// While the handler's goroutine waits for the response, between start and stop, the standby's
// goroutine alone uses the exchange.
type standby struct {
	x   *exchange
	ctx context.Context //nolint:containedctx // that of the handler
	// abort ends the attempt, and limit is the silence after which another way is looked for.
	abort func()
	limit time.Duration
	// hedge is that of an attempt whose endpoint has not begun to respond; nil once it has, and for
	// an attempt that has none.
	hedge *hedge
	// responding is set if the header of the response has arrived.
	responding bool
	timer      *time.Timer

	mu sync.Mutex
	// lost is set when the path to the endpoint was found to be lost since the start.
	lost bool
	// waiting is set between start and stop, and since is the time of the start.
	waiting bool
	since   time.Time
	// searching is closed at the end of the search under way, and cancel ends it; nil while
	// there is none.
	searching chan struct{}
	cancel    context.CancelFunc
	// found is the attempt that replaces the one that is silent.
	found *openedAttempt
	// broke is why the response has ended while another way was still looked for; nil if it
	// had not.
	broke error
}

// newStandby returns the standby of an attempt.
func (x *exchange) newStandby(ctx context.Context, o *openedAttempt) *standby {
	s := &standby{x: x, ctx: ctx, abort: o.resp.Abort, limit: x.stallLimit()}
	if o.hedge != nil {
		s.hedge, s.limit, s.responding = o.hedge, o.hedge.delay-time.Since(o.hedge.sent), true
		if s.limit <= 0 {
			s.limit = o.hedge.delay
		}
	}
	o.resp.OnPathLost(s.pathLost)
	return s
}

// begun records the first event of the stream: from now on the limit on silence is that of streams.
func (s *standby) begun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hedge, s.limit = nil, s.x.stallLimit()
}

// start begins to wait for the next event.
func (s *standby) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.since = true, time.Now()
	s.lost = false
	s.schedule(s.limit)
}

// schedule schedules a search; after no time if there is no limit on silence. The caller holds mu.
func (s *standby) schedule(after time.Duration) {
	switch {
	case s.limit <= 0 && !s.lost:
	case s.timer == nil:
		s.timer = time.AfterFunc(after, s.search)
	default:
		s.timer.Reset(after)
	}
}

// pathLost makes the search begin at once.
func (s *standby) pathLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.lost
	s.lost = true
	if !known && s.waiting && s.searching == nil {
		s.schedule(0)
	}
}

// stop ends the wait, and the search if there is one. It returns the attempt that was found, if
// one has begun to answer, and nil otherwise.
func (s *standby) stop() *openedAttempt {
	s.mu.Lock()
	s.waiting = false
	if s.timer != nil {
		s.timer.Stop()
	}
	found, searching := s.found, s.searching
	if searching != nil && found == nil {
		s.cancel()
	}
	s.mu.Unlock()
	if searching != nil {
		<-searching
	}
	return found
}

// await records that the response broke, and waits for the search under way, if there is one: what
// it finds is the only way left. The search ends with the handler's context at the latest.
func (s *standby) await(err error) {
	s.mu.Lock()
	searching := s.searching
	if searching != nil {
		s.broke = err
	}
	s.mu.Unlock()
	if searching != nil {
		<-searching
	}
}

// cause returns why the attempt was given up.
func (s *standby) cause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.broke != nil:
		return s.broke
	case s.lost:
		return errors.WithStack(&upstream.PathLostError{})
	case s.hedge != nil:
		return errors.WithStack(&HedgedError{s.hedge.delay})
	}
	return errors.WithStack(&StalledError{s.limit})
}

// search opens another attempt and waits until it has begun to answer. Otherwise the next search
// follows after the interval.
func (s *standby) search() {
	ctx, done := s.begin()
	if ctx == nil {
		return
	}
	defer close(done)
	found := s.x.openOther(ctx, s.cancel, s.hedgeNow())
	if s.end(found) || found == nil {
		return
	}
	// The silent endpoint has gone on.
	s.x.discard(found)
}

// end records the end of a search, and reports whether what was found replaces the attempt.
func (s *standby) end(found *openedAttempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searching = nil
	if found != nil && s.waiting {
		s.found = found
		s.abort()
		return true
	}
	s.cancel()
	if s.waiting {
		s.since = time.Now()
		s.schedule(s.interval())
	}
	return false
}

// hedgeNow returns the hedge that the search under way is for; nil for one that is due without it, as
// the path is lost or the stream has been silent for longer than most callers wait.
func (s *standby) hedgeNow() *hedge {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.x.stallLimit()
	if s.hedge != nil && s.responding && (s.lost || limit > 0 && time.Since(s.hedge.sent) >= limit) {
		s.hedge, s.limit = nil, limit
	}
	return s.hedge
}

// interval returns the time between two searches. The caller holds mu.
func (s *standby) interval() time.Duration {
	switch {
	case s.lost:
		return lostInterval
	case s.hedge != nil:
		return s.hedge.delay
	}
	return s.limit
}

// begin records the begin of a search, and returns its context and the channel that is to be closed
// at its end; nil if there is to be no search, as the wait has ended or begun anew meanwhile.
func (s *standby) begin() (context.Context, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A timer that has run out just before a new wait finds that it has begun.
	early := !s.lost && time.Since(s.since) < s.limit
	if !s.waiting || early || s.searching != nil {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancel, s.searching = cancel, make(chan struct{})
	return ctx, s.searching
}

// replacedAttempt returns the result of an attempt in place of which another one answers.
func (x *exchange) replacedAttempt(status int, cause error) attemptResult {
	result := attemptResult{outcome: dispatch.Failed, status: status, err: cause, replaced: true}
	if upstream.PathLost(cause) {
		// It says nothing of the endpoint.
		result.outcome = dispatch.Abandoned
	}
	var hedged *HedgedError
	if errors.As(cause, &hedged) {
		result.outcome = dispatch.Abandoned
	}
	return result
}

// openOther opens an attempt at another endpoint beside the current one, which stays the current
// one: what the search changes of it is restored at the end. It returns nil if none has begun to
// answer. The hedge is that of the current attempt if its endpoint has not begun to respond.
func (x *exchange) openOther(ctx context.Context, cancel context.CancelFunc, h *hedge) (found *openedAttempt) {
	current, reservations, stale, unsent := x.attemptState, x.failedReservations, x.stalePlacements, x.unsent-x.unsentBefore
	x.standingBy, x.failedReservations, x.stalePlacements, x.unsentBefore = true, 0, 0, x.unsent
	x.hedge = h
	defer func() {
		if found != nil {
			found.state, found.cancel, found.hedges = x.attemptState, cancel, h != nil
		}
		x.attemptState, x.standingBy, x.hedge = current, false, nil
		x.failedReservations, x.stalePlacements, x.unsentBefore = reservations, stale, x.unsent-unsent
	}()
	var o *openedAttempt
	defer func() {
		if recovered := recover(); recovered != nil {
			found = nil
			x.recoverSearch(o, recovered)
		}
	}()
	may, why := x.mayRetry(ctx, attemptResult{})
	if may && h != nil {
		var end func()
		if why, end = x.gateway.beginHedge(x.service); why == "" {
			defer end()
		}
		may = why == ""
	}
	x.recordSilence(may, why)
	for again := may; again; {
		if o, again = x.open(ctx, []string{current.endpoint}); o == nil {
			continue
		}
		result := x.beginsToAnswer(ctx, o)
		if result.err == nil {
			return o
		}
		o.close()
		x.reportEnd(o.job, o.entry, result)
		failed := o.entry
		o = nil
		again = x.finishAttempt(ctx, failed, result)
	}
	return nil
}

// recordSilence records that the current attempt is silent, and whether another endpoint is asked.
func (x *exchange) recordSilence(may bool, why string) {
	if x.hedge == nil {
		x.gateway.cfg.Log.Emit(event.StreamSilent{
			Request: x.call.ID, Attempt: x.number, Endpoint: x.endpoint, Silent: x.silence(), Again: may, Why: why,
		})
		return
	}
	x.gateway.recordOverdue(x.service, x.hedge)
	if !may && x.hedge.refused != why {
		x.hedge.refused = why
		x.gateway.hedgesRefused.Inc(1)
		x.gateway.cfg.Log.Emit(event.HedgeRefused{
			Request: x.call.ID, Attempt: x.number, Endpoint: x.endpoint, Silent: time.Since(x.hedge.sent), Expected: x.hedge.expected, Why: why,
		})
	}
}

// recoverSearch logs a panic while another attempt was opened, and ends that attempt, if there is
// one: the response goes on without it.
func (x *exchange) recoverSearch(o *openedAttempt, recovered any) {
	x.gateway.cfg.Log.Emit(event.NewHandlerPanicked(x.r.URL.Path, x.call.ID, recovered))
	if o != nil {
		x.discard(o)
	}
}

// beginsToAnswer reads from an attempt's response until it has sent events that go on where the
// stream has been delivered to, or has ended as a whole one. The result has an error if it is
// something else.
func (x *exchange) beginsToAnswer(ctx context.Context, o *openedAttempt) attemptResult {
	meta := x.observe(o)
	keep := x.endSilentSearch(o)
	defer keep()
	switch {
	case meta.NotRun:
		return attemptResult{
			notRun: true, outcome: dispatch.Rejected, blamed: x.blamed(meta.AtFault), status: o.resp.Status,
			err: errors.WithStack(&NotResumedError{o.resp.Status}),
		}
	case x.hedge != nil && !x.streams(o.resp):
		if !x.isAnswer(o) || !keep() {
			return attemptResult{outcome: dispatch.Failed, status: o.resp.Status, err: errors.WithStack(&NoAnswerError{o.resp.Status})}
		}
		return attemptResult{}
	case !x.streams(o.resp):
		return notResumed(o.resp.Status)
	case !meta.Sealed:
		return unproven(o.resp.Status)
	}
	o.buffer = newEventBuffer(o.resp)
	resumption := x.resumption()
	for {
		events, err := o.buffer.next()
		switch {
		case err != nil && len(events) == 0:
			return x.failedAttempt(ctx, err)
		case resumption != nil && !resumption.Accept(events):
			return notResumed(o.resp.Status)
		case len(events) > 0 && (resumption == nil || resumption.Proven()):
			if !keep() {
				return x.failedAttempt(ctx, errors.WithStack(&StalledError{x.stallLimit()}))
			}
			o.buffer.repeat(err)
			return attemptResult{}
		}
	}
}

// endSilentSearch ends an attempt that is silent for stallLimit, so that a further endpoint is asked,
// unless it is the last attempt that the route allows. Calling keep prevents the end, and reports
// whether it came before that.
func (x *exchange) endSilentSearch(o *openedAttempt) (keep func() bool) {
	if x.stallLimit() <= 0 || x.attempts-x.unsent >= x.route.MaxAttempts {
		return func() bool { return true }
	}
	return time.AfterFunc(x.stallLimit(), o.resp.Abort).Stop
}

// stallLimit returns the silence after which another way is looked for; zero for none.
func (x *exchange) stallLimit() time.Duration {
	if x.route.Patience <= 0 {
		return 0
	}
	return x.route.Patience + stallMargin
}

// discard ends an attempt that is not needed.
func (x *exchange) discard(o *openedAttempt) {
	o.close()
	x.gateway.cfg.Placer.Finished(o.job, dispatch.End{Outcome: dispatch.Abandoned})
}
