package prompt

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/reservation"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/stream"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
)

// The request chart's names.
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

// noEvent says that no event is there yet.
const noEvent statechart.Event = ""

// Answer is one request under way, and its tokens. Only its owner calls its
// methods, one at a time.
type Answer struct {
	*Runner
	req      Request
	ctx      context.Context
	cancel   context.CancelCauseFunc
	done     context.CancelFunc
	machine  *statechart.Machine
	watchdog *watchdog
	start    time.Time
	// lastTokenAt is when the last token was delivered.
	lastTokenAt   time.Time
	tokenInterval *metrics.Histogram

	// event is the next one for the chart.
	event      statechart.Event
	assembly   *stream.Assembly
	text       stream.Text
	chunk      []byte
	chunkReady bool

	tried map[string]bool
	// reportedFree is what endpoints said to have, when they refused a share.
	reportedFree map[string]int64
	placed       bool
	attempt      attempt
	attempts     int
	// handed says that the last attempt went to an endpoint.
	submitted    bool
	backOffs     int
	backOffDelay time.Duration

	ran     errcode.Ran
	cause   error
	failure error
	closed  bool
}

// attempt is the current try.
type attempt struct {
	endpoint  string
	address   string
	priority  wire.Priority
	predicted time.Duration
	// counted says that the fleet counts it as under way, waiting that it has no
	// first token yet.
	registered    bool
	awaitingFirst bool
	sent          bool
	// firstTokenAt is when its first token came; firstIndex is that token's index.
	firstTokenAt time.Time
	firstIndex   int64
	stream       *endpoint.Stream
	cancel       context.CancelCauseFunc
	// shares are to be set aside; grant holds them. Its loss ends ctx.
	shares      []reservation.Share
	grant       *reserve.Grant
	ctx         context.Context
	cancelGrant context.CancelCauseFunc
}

// Next returns the data of the answer's next token, valid until the next call.
// It returns io.EOF after a whole answer, and a typed failure otherwise. With
// wait false it returns nil where it would have to wait.
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

// step hands the event to the chart and carries out its actions.
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

// await waits for the next event: of the stream, or of the pause before a
// retry.
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

// read returns what the stream's next event of this answer means.
func (a *Answer) read(wait bool) statechart.Event {
	s := a.attempt.stream
	for wait || s.Ready() {
		e, err := s.Next()
		if err != nil {
			return a.attemptFailed(err)
		}
		a.watchdog.progress()
		verdict := a.verdict(e)
		switch verdict {
		case stream.Deliver:
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

func (a *Answer) verdict(e endpoint.Event) stream.Verdict {
	if string(e.Data) == wire.StreamDone {
		return a.assembly.End(e.ID)
	}
	return a.assembly.Token(e.ID)
}

func (a *Answer) deliver() {
	a.chunkReady = true
	a.text.Add(a.chunk)
	if !a.attempt.awaitingFirst {
		return
	}
	a.attempt.awaitingFirst = false
	a.watchdog.firstTokenReceived()
	a.attempt.firstTokenAt = time.Now()
	a.attempt.firstIndex = a.assembly.Delivered() - 1
	a.fleet.FirstToken(a.attempt.endpoint, a.req.ID)
	a.endpointSucceeded(a.attempt.endpoint)
	if a.assembly.Delivered() == 1 {
		a.metrics.FirstToken(a.req.Organisation, a.req.Class.Name, time.Since(a.start))
	}
}

// reportEnded tells the fleet that the attempt is over.
func (a *Answer) reportEnded() {
	if a.attempt.registered {
		a.attempt.registered = false
		a.attempt.awaitingFirst = false
		a.fleet.Ended(a.attempt.endpoint, a.req.ID)
	}
}

// attemptFailed tells a failed attempt from a passed deadline and a vanished caller.
func (a *Answer) attemptFailed(err error) statechart.Event {
	if a.ctx.Err() != nil {
		return a.interrupted()
	}
	a.cause = err
	if stalled := a.watchdog.stall(); stalled != nil {
		a.cause = stalled
	}
	if a.attempt.grant != nil && a.attempt.ctx.Err() != nil {
		a.cause = context.Cause(a.attempt.ctx)
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
	if a.assembly.Delivered() > 0 && !a.text.Resumable() {
		return false
	}
	return a.Runner.mayRetry(a.attempts, time.Until(a.req.Deadline))
}

// mayWait reports whether a request that could not be sent looks at the fleet
// again: not one that found no endpoint at all, which is told so at once.
func (a *Answer) mayWait() bool {
	if !a.placed {
		return false
	}
	return time.Until(a.req.Deadline) > a.cfg.Retry.MinLeft
}

// backOff draws the pause before the next attempt. Only a retry of what was
// handed to an endpoint is paid from the budget.
func (a *Answer) backOff() {
	a.log.Emit(event.AttemptFailed{Organisation: a.req.Organisation, Request: a.req.ID, Attempt: a.attempts, Endpoint: a.attempt.endpoint, Reason: a.reason()})
	a.backOffs++
	a.backOffDelay = a.drawDelay(a.backOffs, time.Until(a.req.Deadline), a.submitted)
	a.submitted = false
}

// Close ends the request, whatever its state. It may be called again.
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

// completeTokens is the length of a whole answer, and zero for any other.
func (a *Answer) completeTokens() int64 {
	if a.machine.State() != stFinished {
		return 0
	}
	return a.assembly.Delivered()
}

// reportAnswer tells the fleet what the whole answer says of itself.
func (a *Answer) reportAnswer() {
	tokens := a.assembly.Delivered() - a.attempt.firstIndex - 1
	if a.attempt.firstTokenAt.IsZero() || tokens <= 0 {
		return
	}
	stats := fleet.Answer{Tokens: tokens, Took: time.Since(a.attempt.firstTokenAt)}
	if a.watchdog.slowCaller() {
		// The time is the caller's, not the endpoint's.
		stats.Tokens, stats.Took = 0, 0
	}
	if usage := usageOf(a.chunk); usage != nil {
		stats.Blocks = a.req.Blocks
		stats.Cached = int64(usage.CachedTokens)
	}
	a.fleet.Answered(a.attempt.endpoint, stats)
}

// usageOf reads the account that the last chunk of an answer carries; nil where
// it carries none.
func usageOf(data []byte) *wire.Usage {
	var c wire.Chunk
	if json.Unmarshal(data, &c) != nil {
		return nil
	}
	return c.Usage
}

// result is the outcome of a request whose chart is done.
func (a *Answer) result() error {
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
