package prompt

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/core/reservation"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/stream"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/dial"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
)

// Events, actions, guards and states of the request chart.
const (
	evAdmitted    statechart.Event  = "admitted"
	evPlaced      statechart.Event  = "placed"
	evUnplaceable statechart.Event  = "unplaceable"
	evReserved    statechart.Event  = "reserved"
	evUnreserved  statechart.Event  = "unreserved"
	evToken       statechart.Event  = "token"
	evEnd         statechart.Event  = "end"
	evFailed      statechart.Event  = "failed"
	evRetryDue    statechart.Event  = "retry_due"
	evDeadline    statechart.Event  = "deadline"
	evCallerGone  statechart.Event  = "caller_gone"
	doPlace       statechart.Action = "place"
	doReserve     statechart.Action = "reserve"
	doSend        statechart.Action = "send"
	doDeliver     statechart.Action = "deliver"
	doFail        statechart.Action = "fail"
	doCancel      statechart.Action = "cancel"
	doRelease     statechart.Action = "release"
	doBackOff     statechart.Action = "back_off"
	mayRetry      statechart.Guard  = "may_retry"
	mayWait       statechart.Guard  = "may_wait"
	stFinished    statechart.State  = "finished"
	stCancelled   statechart.State  = "cancelled"
)

const (
	// maxDroppedBytes bounds the events between two tokens of an answer that belong to none.
	maxDroppedBytes = 1 << 20
	// maxTextBytes bounds the text of an answer, which is kept to resume it.
	maxTextBytes = 8 << 20
)

// noEvent means that there is no event for the chart.
const noEvent statechart.Event = ""

// Answer is an in-flight request and the stream of its tokens. It is not safe
// for concurrent use.
type Answer struct {
	*Runner
	req      Request
	ctx      context.Context
	cancel   context.CancelCauseFunc
	done     context.CancelFunc
	machine  *statechart.Machine
	watchdog *watchdog
	start    time.Time
	// lastTokenAt is the time at which the last token was delivered.
	lastTokenAt   time.Time
	tokenInterval *metrics.Histogram

	// event is the next event for the chart.
	event      statechart.Event
	assembly   *stream.Assembly
	text       stream.Text
	chunk      []byte
	chunkReady bool

	tried map[string]bool
	// reportedFree holds the free memory, in tokens, that endpoints reported
	// when they refused a share.
	reportedFree map[string]int64
	// digest identifies what the caller asks for, and withheldFor is the time for which it
	// is withheld, if it is.
	digest      string
	withheldFor time.Duration
	// turnIn is the time until an endpoint that has named a limit gives a turn, if the
	// last placement found no other; zero otherwise.
	turnIn   time.Duration
	placed   bool
	attempt  attempt
	attempts int
	// crashes counts the attempts whose endpoint ended the connection before it sent an
	// event.
	crashes int
	// retryTaken is set when the retry that follows the attempt was charged to the
	// budget before the attempt ended (see otherWay).
	retryTaken bool
	// submitted is set when an attempt is sent to an endpoint, and cleared by
	// the next back-off.
	submitted    bool
	backOffs     int
	backOffDelay time.Duration

	ran     errcode.Ran
	cause   error
	failure error
	closed  bool
}

// attempt is the state of the current attempt.
type attempt struct {
	endpoint  string
	address   string
	priority  wire.Priority
	predicted time.Duration
	// registered is set while the fleet counts the attempt as in flight,
	// awaitingFirst until its first token is delivered.
	registered    bool
	awaitingFirst bool
	sent          bool
	// watched is set while the attempt is in flight as far as the guard knows.
	watched bool
	// received is set once the endpoint has sent an event, of whatever request.
	received bool
	// droppedBytes is the size of the events since the last token that belong to none.
	droppedBytes int
	// firstTokenAt is the time at which the attempt's first token was delivered,
	// and firstIndex the index of that token in the answer.
	firstTokenAt time.Time
	firstIndex   int64
	stream       *endpoint.Stream
	cancel       context.CancelCauseFunc
	// shares is the memory to reserve, and grant the reservation once it is
	// held. The loss of the reservation cancels ctx through cancelGrant.
	shares      []reservation.Share
	grant       *reserve.Grant
	ctx         context.Context
	cancelGrant context.CancelCauseFunc
}

// Next returns the data of the answer's next token, valid until the next call.
// It returns io.EOF after a complete answer, and an *errcode.Error if the request
// failed or was cancelled. If wait is false, it returns nil where it would have
// to wait.
func (a *Answer) Next(wait bool) ([]byte, error) {
	a.watchdog.setAwaitingEngine(true)
	defer a.watchdog.setAwaitingEngine(false)
	for !a.machine.Done() {
		if a.event == noEvent {
			a.event = a.await(wait)
		}
		if a.event == noEvent {
			return nil, nil
		}
		if err := a.step(); err != nil {
			return nil, err
		}
		if a.chunkReady {
			a.chunkReady = false
			return a.chunk, nil
		}
	}
	return nil, a.result()
}

// step fires the event on the chart and carries out the resulting actions.
func (a *Answer) step() error {
	actions, err := a.machine.Fire(a.event)
	if err != nil {
		return err
	}
	a.event = noEvent
	for _, action := range actions {
		if next := a.do(action); next != noEvent {
			a.event = next
		}
	}
	return nil
}

func (a *Answer) do(action statechart.Action) statechart.Event {
	switch action {
	case doPlace:
		return a.place()
	case doReserve:
		return a.reserve()
	case doSend:
		return a.send()
	case doDeliver:
		a.deliver()
		a.recordTokenInterval(time.Now())
	case doCancel:
		a.cancelAttempt()
	case doRelease:
		a.release()
	case doBackOff:
		a.backOff()
	case doFail:
		a.failure = a.classify()
	}
	return noEvent
}

// await waits for the next event: of the stream, or the end of the back-off
// before a retry. If wait is false, it does not block.
func (a *Answer) await(wait bool) statechart.Event {
	if a.attempt.stream != nil {
		return a.read(wait)
	}
	if !wait {
		return noEvent
	}
	timer := time.NewTimer(a.backOffDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return evRetryDue
	case <-a.ctx.Done():
		return a.interrupted()
	}
}

// read returns the chart event for the next stream event that is not dropped.
// If wait is false, it reads only what is ready.
func (a *Answer) read(wait bool) statechart.Event {
	s := a.attempt.stream
	for wait || s.Buffered() {
		e, err := s.Next()
		if err != nil {
			return a.attemptFailed(err)
		}
		a.attempt.received = true
		a.watchdog.progress()
		verdict := a.verdict(e)
		switch verdict {
		case stream.Drop:
			if err := a.drop(e); err != nil {
				return a.attemptFailed(err)
			}
		case stream.Deliver:
			if len(a.text.Escaped())+len(e.Data) > maxTextBytes {
				return a.attemptFailed(errors.WithStack(&AnswerTooLargeError{}))
			}
			a.attempt.droppedBytes = 0
			a.chunk = e.Data
			return evToken
		case stream.Complete:
			return evEnd
		case stream.Gap:
			return a.attemptFailed(errors.WithStack(&GapError{}))
		}
	}
	return noEvent
}

// drop counts an event that belongs to no token of the answer. The error ends an attempt that has
// too much of them in a row.
func (a *Answer) drop(e endpoint.Event) error {
	a.attempt.droppedBytes += len(e.ID) + len(e.Data)
	if a.attempt.droppedBytes > maxDroppedBytes {
		return errors.WithStack(&StrayEventsError{})
	}
	return nil
}

func (a *Answer) verdict(e endpoint.Event) stream.Verdict {
	if string(e.Data) == wire.StreamDone {
		return a.assembly.End(e.ID)
	}
	return a.assembly.Token(e.ID)
}

func (a *Answer) deliver() {
	a.chunkReady = true
	a.text.Add(a.chunk)
	a.watchdog.setDelivered(a.assembly.Delivered(), a.text.Resumable())
	if !a.attempt.awaitingFirst {
		return
	}
	a.attempt.awaitingFirst = false
	a.watchdog.firstTokenReceived()
	a.attempt.firstTokenAt = time.Now()
	a.attempt.firstIndex = a.assembly.Delivered() - 1
	a.fleet.FirstToken(a.attempt.endpoint, a.req.ID)
	a.guard.Began(a.attemptID())
	a.endpointSucceeded(a.attempt.endpoint)
	if a.assembly.Delivered() == 1 {
		a.metrics.FirstToken(a.req.Organisation, a.req.Class.Name, time.Since(a.start))
	}
}

// reportEnded reports the end of a registered attempt to the fleet.
func (a *Answer) reportEnded() {
	if a.attempt.registered {
		a.attempt.registered = false
		a.attempt.awaitingFirst = false
		a.fleet.Ended(a.attempt.endpoint, a.req.ID)
	}
	a.endWatch(quarantine.Other)
}

// attemptFailed returns the chart event for an error of the attempt: evFailed, or
// the event that ends the request if its deadline has passed or its caller has
// disconnected. If the failure is the endpoint's fault, it is reported to the
// fleet and to the circuit breaker.
func (a *Answer) attemptFailed(err error) statechart.Event {
	if a.ctx.Err() != nil {
		return a.interrupted()
	}
	a.cause = err
	if stalled := a.watchdog.stall(); stalled != nil {
		a.cause, a.retryTaken = stalled, true
	}
	if a.attempt.grant != nil && a.attempt.ctx.Err() != nil {
		a.cause = context.Cause(a.attempt.ctx)
	}
	if dial.ConnectionEnded(a.cause) && !provenUnsent(a.cause) {
		a.endWatch(quarantine.BrokenOff)
	}
	if !a.attempt.received && dial.ConnectionEnded(a.cause) {
		a.crashes++
	}
	if isFault(a.cause) && !a.watchdog.slowCaller() {
		a.fleet.Failed(a.attempt.endpoint)
		a.endpointFailed(a.attempt.endpoint)
	}
	return evFailed
}

func (a *Answer) interrupted() statechart.Event {
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return evDeadline
	}
	return evCallerGone
}

// mayRetry reports whether a failed attempt may be followed by another.
func (a *Answer) mayRetry() bool {
	var large *AnswerTooLargeError
	if a.assembly.Delivered() > 0 && !a.text.Resumable() || errors.As(a.cause, &large) {
		return false
	}
	left := time.Until(a.req.Deadline)
	if a.retryTaken {
		return a.cfg.Retry.Allows(a.attempts, a.crashes, left)
	}
	return a.Runner.mayRetry(a.attempts, a.crashes, left)
}

// turnWaitPart is the part of the time that is left for which a request waits for a turn at
// an endpoint at most.
const turnWaitPart = 3

// mayWait reports whether a request that could not be sent is placed again
// after a back-off. If no endpoint was ever found for it, it fails immediately, unless one
// gives it a turn within a part of its time.
func (a *Answer) mayWait() bool {
	if a.withheldFor > 0 {
		return false
	}
	if a.turnIn > 0 {
		return a.turnIn < time.Until(a.req.Deadline)/turnWaitPart
	}
	if !a.placed {
		return false
	}
	return time.Until(a.req.Deadline) > a.cfg.Retry.MinLeft
}

// backOff sets the delay before the next attempt. It is charged to the retry
// budget only if the failed attempt was sent to an endpoint, and once.
func (a *Answer) backOff() {
	a.log.Emit(event.AttemptFailed{Organisation: a.req.Organisation, Request: a.req.ID, Attempt: a.attempts, Endpoint: a.attempt.endpoint, Reason: a.reason()})
	a.backOffs++
	a.backOffDelay = max(a.turnIn, a.drawDelay(a.backOffs, time.Until(a.req.Deadline), a.submitted && !a.retryTaken))
	a.submitted, a.retryTaken = false, false
}

// Close ends the request in any state. It is idempotent.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.watchdog.stop()
	a.cancel(errors.WithStack(&ClosedError{}))
	a.event = evCallerGone
	_ = a.step()
	a.reportEnded()
	a.fleet.Done(a.req.ID, a.completeTokens())
	a.done()
}

// completeTokens returns the number of tokens of a complete answer, and zero for
// any other.
func (a *Answer) completeTokens() int64 {
	if a.machine.State() != stFinished {
		return 0
	}
	return a.assembly.Delivered()
}

// reportAnswer reports the decode time and the cached tokens of the complete
// answer to the fleet.
func (a *Answer) reportAnswer() {
	tokens := a.assembly.Delivered() - a.attempt.firstIndex - 1
	if a.attempt.firstTokenAt.IsZero() || tokens <= 0 {
		return
	}
	stats := fleet.Answer{Tokens: tokens, Took: time.Since(a.attempt.firstTokenAt)}
	if a.watchdog.slowCaller() {
		// The caller, not the endpoint, determined this time.
		stats.Tokens, stats.Took = 0, 0
	}
	if usage := usageOf(a.chunk); usage != nil {
		stats.Blocks = a.req.Blocks
		stats.Cached = int64(usage.CachedTokens)
	}
	a.fleet.Answered(a.attempt.endpoint, stats)
}

// usageOf returns the usage data in the last chunk of an answer, or nil if
// there is none.
func usageOf(data []byte) *wire.Usage {
	var c wire.Chunk
	if json.Unmarshal(data, &c) != nil {
		return nil
	}
	return c.Usage
}

// result returns the outcome of a request whose chart is done.
func (a *Answer) result() error {
	if a.machine.State() == stFinished {
		a.endWatch(quarantine.Answered)
	}
	a.reportEnded()
	a.closeStream()
	switch a.machine.State() {
	case stFinished:
		a.reportAnswer()
		return io.EOF
	case stCancelled:
		return errcode.New(errcode.Cancelled, "the caller went away").WithRan(a.ranSoFar())
	}
	return a.failure
}
