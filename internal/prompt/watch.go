package prompt

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// watch looks at a request's progress from a timer, as its own goroutine may be
// waiting for the engine or for the caller. It cancels a stalled attempt, and
// the request when its caller is gone or does not read.
type watch struct {
	cfg      Config
	caller   Caller
	deadline time.Time
	cancel   context.CancelCauseFunc

	// waiting says that the request waits for the engine, and not for its
	// caller to read. events counts what moves the request on.
	waiting atomic.Bool
	events  atomic.Uint64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// seen is the number of events at the last look, and since when it has not
	// changed.
	seen  uint64
	since time.Time
	// abort ends the attempt, which may take so long to its next token.
	abort    context.CancelCauseFunc
	patience time.Duration
	stalled  error
	// heldBack says that the caller did not read for longer than a look takes,
	// while the attempt was under way.
	heldBack bool
}

func newWatch(a *Answer) *watch {
	w := &watch{cfg: a.cfg, caller: a.req.Caller, deadline: a.req.Deadline, cancel: a.cancel, since: a.start}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.cfg.Watch, w.look)
	return w
}

// reading notes whether the request waits for the engine.
func (w *watch) reading(waiting bool) {
	w.waiting.Store(waiting)
	w.events.Add(1)
}

// progress notes an event of the stream.
func (w *watch) progress() { w.events.Add(1) }

// attempt begins to watch an attempt; nil for none.
func (w *watch) attempt(abort context.CancelCauseFunc, patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abort, w.patience = abort, patience
	w.stalled = nil
	w.heldBack = false
	w.events.Add(1)
}

// firstToken says that the attempt has had its first token.
func (w *watch) firstToken() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.patience = w.cfg.StallBetween
}

// stall is the StallError of an attempt that was cancelled for it; nil if not.
func (w *watch) stall() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}

// slowCaller reports whether the caller held the attempt back: an engine may cut
// a stream that is not read.
func (w *watch) slowCaller() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heldBack
}

// stop ends the watch. Nothing is cancelled or aborted after it returns.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// look is called by the timer. A request that moves needs no look at its
// caller: a write tells.
func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timer.Reset(w.cfg.Watch)
	now := time.Now()
	if events := w.events.Load(); events != w.seen {
		w.seen, w.since = events, now
	} else if w.caller.Gone() {
		w.cancel(&CallerGoneError{})
	}
	w.judge(now.Sub(w.since), now)
}

// judge acts on a request that has not moved for so long.
func (w *watch) judge(idle time.Duration, now time.Time) {
	if w.waiting.Load() {
		if w.abort != nil && idle > w.patience {
			w.stalled = &StallError{}
			w.abort(w.stalled)
		}
		return
	}
	w.heldBack = w.heldBack || idle >= w.cfg.Watch
	if idle > w.cfg.CallerStall || now.Sub(w.deadline) > w.cfg.Watch {
		w.cancel(&CallerGoneError{})
		w.caller.Abort()
	}
}
