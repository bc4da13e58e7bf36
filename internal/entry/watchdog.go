package entry

import (
	"runtime"
	"time"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

const (
	// watchInterval is the time between two checks of the VM's locks.
	watchInterval = 2 * time.Second
	// stuckAfter is how long a check may take. No lock is held for more than some milliseconds.
	stuckAfter = 3 * time.Second
	// resumeTime is the time that the check gets after that: a process that was suspended goes on
	// with both at once.
	resumeTime = 500 * time.Millisecond
	// stopMargin is the time after the planned end of a stop from which the stop counts as hanging.
	stopMargin = 50 * time.Millisecond
	// maxStackBytes bounds the stacks in a log line.
	maxStackBytes = 48 << 10
)

// watchdog logs the stacks of all goroutines when a check does not return: a process that hangs
// answers nothing and would leave nothing in the logs.
type watchdog struct {
	log *event.Logger
	// check takes the locks that requests and readiness checks need.
	check                  func()
	stuckAfter, resumeTime time.Duration
}

// run checks at each interval until closed is closed. While a check hangs, no other one is started.
func (w *watchdog) run(interval time.Duration, closed <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-closed:
			return
		case <-ticker.C:
		}
		if !w.watch(closed) {
			return
		}
	}
}

// watch makes one check, and reports whether it has returned before closed was closed.
func (w *watchdog) watch(closed <-chan struct{}) bool {
	started := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.check()
	}()
	if returned(done, w.stuckAfter) || returned(done, w.resumeTime) {
		return true
	}
	w.log.Emit(event.VMStuck{For: time.Since(started), Stacks: stacks()})
	select {
	case <-closed:
		return false
	case <-done:
	}
	w.log.Emit(event.VMUnstuck{After: time.Since(started)})
	return true
}

// returned reports whether done is closed within the time.
func returned(done <-chan struct{}, within time.Duration) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// stacks returns the stacks of the goroutines, the first maxStackBytes of them.
func stacks() string {
	b := make([]byte, maxStackBytes)
	return string(b[:runtime.Stack(b, true)])
}

// checkLocks takes the locks that requests and readiness checks need.
func (v *VM) checkLocks() {
	v.ready()
	v.components.Registry.usable()
	v.components.Local.Waiting()
	v.digest()
	v.members.service.Count()
}

// watchStop logs the stacks of all goroutines if the stop hasn't ended by its planned end. It returns a
// function that ends the watch.
func (v *VM) watchStop(exit time.Time) func() bool {
	return time.AfterFunc(time.Until(exit)+stopMargin, func() {
		v.log.Emit(event.StopOverdue{Stacks: stacks()})
	}).Stop
}
