package prompt

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// watchdog looks at a request's progress from a timer, as its own goroutine may be
// waiting for the engine or for the caller. It cancels a stalled attempt, and
// the request when its caller is gone or does not read.
type watchdog struct {
	cfg      Config
	caller   Caller
	deadline time.Time
	cancel   context.CancelCauseFunc

	// awaitingEngine says that the request waits for the engine, and not for its
	// caller to read. events counts what moves the request on.
	awaitingEngine atomic.Bool
	events         atomic.Uint64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// lastEvents is the number of events at the last look, and since when it has not
	// changed.
	lastEvents   uint64
	lastProgress time.Time
	// cancelAttempt ends the attempt, which may take so long to its next token.
	cancelAttempt context.CancelCauseFunc
	tokenTimeout  time.Duration
	stallErr      error
	// heldBack says that the caller did not read for longer than a look takes,
	// while the attempt was under way.
	callerSlow bool
}

func newWatchdog(a *Answer) *watchdog {
	w := &watchdog{cfg: a.cfg, caller: a.req.Caller, deadline: a.req.Deadline, cancel: a.cancel, lastProgress: a.start}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.cfg.Watch, w.check)
	return w
}

// setAwaitingEngine notes whether the request waits for the engine.
func (w *watchdog) setAwaitingEngine(waiting bool) {
	w.awaitingEngine.Store(waiting)
	w.events.Add(1)
}

// progress notes an event of the stream.
func (w *watchdog) progress() { w.events.Add(1) }

// watchAttempt begins to watch an attempt; nil for none.
func (w *watchdog) watchAttempt(cancel context.CancelCauseFunc, timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelAttempt, w.tokenTimeout = cancel, timeout
	w.stallErr = nil
	w.callerSlow = false
	w.events.Add(1)
}

// firstTokenReceived says that the attempt has had its first token.
func (w *watchdog) firstTokenReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokenTimeout = w.cfg.StallBetween
}

// stall is the StallError of an attempt that was cancelled for it; nil if not.
func (w *watchdog) stall() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stallErr
}

// slowCaller reports whether the caller held the attempt back: an engine may cut
// a stream that is not read.
func (w *watchdog) slowCaller() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callerSlow
}

// stop ends the watch. Nothing is cancelled or aborted after it returns.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check is called by the timer. A request that moves needs no check at its
// caller: a write tells.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timer.Reset(w.cfg.Watch)
	now := time.Now()
	if events := w.events.Load(); events != w.lastEvents {
		w.lastEvents, w.lastProgress = events, now
	} else if w.caller.Gone() {
		w.cancel(&CallerGoneError{})
	}
	w.checkIdle(now.Sub(w.lastProgress), now)
}

// checkIdle acts on a request that has not moved for so long.
func (w *watchdog) checkIdle(idle time.Duration, now time.Time) {
	if w.awaitingEngine.Load() {
		if w.cancelAttempt != nil && idle > w.tokenTimeout {
			w.stallErr = &StallError{}
			w.cancelAttempt(w.stallErr)
		}
		return
	}
	w.callerSlow = w.callerSlow || idle >= w.cfg.Watch
	if idle > w.cfg.CallerStall || now.Sub(w.deadline) > w.cfg.Watch {
		w.cancel(&CallerGoneError{})
		w.caller.Abort()
	}
}
