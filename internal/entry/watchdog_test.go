package entry

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

// startWatchdog starts a watchdog with a check that takes the lock.
func startWatchdog(t *testing.T, lock *sync.Mutex) *lockedBuffer {
	t.Helper()
	out := &lockedBuffer{}
	log, err := event.New(out, "json", "info", "vm")
	require.NoError(t, err)
	w := &watchdog{log: log, stuckAfter: 500 * time.Millisecond, resumeTime: 500 * time.Millisecond, check: func() {
		lock.Lock()
		defer lock.Unlock()
	}}
	closed := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.run(time.Millisecond, closed)
	}()
	t.Cleanup(func() {
		close(closed)
		<-ended
	})
	return out
}

// TestHangingProcessLeavesItsStacks guards against a process that answers nothing and leaves nothing
// in its logs, of what its goroutines wait for.
func TestHangingProcessLeavesItsStacks(t *testing.T) {
	var lock sync.Mutex
	out := startWatchdog(t, &lock)
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, out.count("", ""), "a process that doesn't hang logs nothing")
	lock.Lock()
	require.Eventually(t, func() bool { return out.count(`"event":780`, "startWatchdog") >= 1 }, 10*time.Second, time.Millisecond)
	lock.Unlock()
	require.Eventually(t, func() bool { return out.count(`"event":781`, "") >= 1 }, 10*time.Second, time.Millisecond)
}

// TestWatchdogEndsWithAHangingCheck guards against a process that can't be closed while it hangs.
func TestWatchdogEndsWithAHangingCheck(t *testing.T) {
	var lock sync.Mutex
	lock.Lock()
	out := startWatchdog(t, &lock)
	require.Eventually(t, func() bool { return out.count("", "") > 0 }, 10*time.Second, time.Millisecond)
	t.Cleanup(lock.Unlock)
}

// TestOverdueStopLeavesItsStacks guards against a process that is killed at the end of its grace
// period, and leaves nothing in its logs.
func TestOverdueStopLeavesItsStacks(t *testing.T) {
	out := &lockedBuffer{}
	log, err := event.New(out, "json", "info", "vm")
	require.NoError(t, err)
	v := &VM{log: log}
	ended := v.watchStop(time.Now().Add(time.Second))
	ended()
	time.Sleep(1200 * time.Millisecond)
	require.Zero(t, out.count("", ""), "a stop that has ended is not overdue")
	v.watchStop(time.Now())
	require.Eventually(t, func() bool { return out.count(`"event":782`, "") == 1 }, 10*time.Second, time.Millisecond)
}
