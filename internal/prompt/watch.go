package prompt

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// watchdog checks the progress of a request from a timer, because the goroutine
// of the request may be blocked on the engine or on the caller. It cancels a
// stalled attempt, and cancels the request when its caller has disconnected or
// does not read.
type watchdog struct {
	cfg      Config
	caller   Caller
	deadline time.Time
	cancel   context.CancelCauseFunc

	// awaitingEngine is set while the request waits for the engine rather than
	// for its caller to read. events counts signs of progress. delivered is the
	// number of tokens that the caller has, negative for an answer that can't be
	// resumed.
	awaitingEngine atomic.Bool
	events         atomic.Uint64
	delivered      atomic.Int64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// lastEvents is the value of events at the last check, and lastProgress the
	// time of the check at which it last changed, initially the start of the
	// request.
	lastEvents   uint64
	lastProgress time.Time
	// cancelAttempt cancels the current attempt, and tokenTimeout is the
	// maximum time to its next token, if takeOtherWay takes another way to go
	// on.
	cancelAttempt context.CancelCauseFunc
	tokenTimeout  time.Duration
	takeOtherWay  otherWay
	stallErr      error
	// callerSlow is set if, during the attempt, the caller did not read for at
	// least one check interval.
	callerSlow bool
}

func newWatchdog(a *Answer) *watchdog {
	w := &watchdog{cfg: a.cfg, caller: a.req.Caller, deadline: a.req.Deadline, cancel: a.cancel, lastProgress: a.start}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.cfg.CheckInterval, w.check)
	return w
}

// setAwaitingEngine records whether the request waits for the engine.
func (w *watchdog) setAwaitingEngine(waiting bool) {
	w.awaitingEngine.Store(waiting)
	w.events.Add(1)
}

// progress records an event of the stream.
func (w *watchdog) progress() { w.events.Add(1) }

// watchAttempt starts to watch an attempt, which cancel cancels and whose first
// token must arrive within timeout where there is another way. A nil cancel means
// that there is no attempt.
func (w *watchdog) watchAttempt(cancel context.CancelCauseFunc, timeout time.Duration, take otherWay) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelAttempt, w.tokenTimeout, w.takeOtherWay = cancel, timeout, take
	w.stallErr = nil
	w.callerSlow = false
	w.events.Add(1)
}

// setDelivered records how many tokens the caller has, and whether the answer may
// be resumed after them.
func (w *watchdog) setDelivered(tokens int64, resumable bool) {
	if !resumable {
		tokens = -1
	}
	w.delivered.Store(tokens)
}

// firstTokenReceived replaces the time limit for the first token by the one
// between tokens.
func (w *watchdog) firstTokenReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokenTimeout = w.cfg.StallBetween
}

// stall returns a StallError if the attempt was cancelled because it stalled,
// and nil otherwise.
func (w *watchdog) stall() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stallErr
}

// slowCaller reports whether the caller read too slowly during the attempt. An
// engine may cut a stream that is not read, so that such a cut is not the
// engine's fault.
func (w *watchdog) slowCaller() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callerSlow
}

// stop stops the timer. After it returns, nothing more is cancelled or aborted.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check is called by the timer. It tests for a disconnected caller only if
// there was no progress since the last check: otherwise a failed write reveals
// the disconnect.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timer.Reset(w.cfg.CheckInterval)
	now := time.Now()
	if events := w.events.Load(); events != w.lastEvents {
		w.lastEvents, w.lastProgress = events, now
	} else if w.caller.Gone() {
		w.cancel(&CallerGoneError{})
	}
	w.checkIdle(now.Sub(w.lastProgress), now)
}

// checkIdle acts on the time without progress. It cancels an attempt that has
// stalled, if there is another way, and a request whose caller has not read for too
// long, or is still reading when the deadline has passed by more than a check
// interval.
func (w *watchdog) checkIdle(idle time.Duration, now time.Time) {
	if w.awaitingEngine.Load() {
		if w.cancelAttempt != nil && w.stallErr == nil && idle > w.tokenTimeout && w.takeOtherWay(w.delivered.Load()) {
			w.stallErr = &StallError{}
			w.cancelAttempt(w.stallErr)
		}
		return
	}
	w.callerSlow = w.callerSlow || idle >= w.cfg.CheckInterval
	if idle > w.cfg.CallerStall || now.Sub(w.deadline) > w.cfg.CheckInterval {
		w.cancel(&CallerGoneError{})
		w.caller.Abort()
	}
}
