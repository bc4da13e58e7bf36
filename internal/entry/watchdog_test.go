package entry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.String()
}

// startWatchdog starts a watchdog with a check that takes the lock.
func startWatchdog(t *testing.T, lock *sync.Mutex) *logBuffer {
	t.Helper()
	out := &logBuffer{}
	log, err := event.New(out, "json", "info", "vm")
	require.NoError(t, err)
	w := &watchdog{log: log, stuckAfter: 20 * time.Millisecond, resumeTime: 20 * time.Millisecond, check: func() {
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
// in its logs.
func TestHangingProcessLeavesItsStacks(t *testing.T) {
	var lock sync.Mutex
	out := startWatchdog(t, &lock)
	time.Sleep(50 * time.Millisecond)
	require.Empty(t, out.String(), "a process that doesn't hang logs nothing")
	lock.Lock()
	require.Eventually(t, func() bool { return strings.Contains(out.String(), `"event":780`) }, 10*time.Second, time.Millisecond)
	require.Contains(t, out.String(), "startWatchdog", "the stacks name what waits")
	lock.Unlock()
	require.Eventually(t, func() bool { return strings.Contains(out.String(), `"event":781`) }, 10*time.Second, time.Millisecond)
}

// TestWatchdogEndsWithAHangingCheck guards against a process that can't be closed while it hangs.
func TestWatchdogEndsWithAHangingCheck(t *testing.T) {
	var lock sync.Mutex
	lock.Lock()
	out := startWatchdog(t, &lock)
	require.Eventually(t, func() bool { return out.String() != "" }, 10*time.Second, time.Millisecond)
	t.Cleanup(lock.Unlock)
}

// TestOverdueStopLeavesItsStacks guards against a process that is killed at the end of its grace
// period, and leaves nothing in its logs.
func TestOverdueStopLeavesItsStacks(t *testing.T) {
	out := &logBuffer{}
	log, err := event.New(out, "json", "info", "vm")
	require.NoError(t, err)
	v := &VM{log: log}
	ended := v.watchStop(time.Now().Add(50 * time.Millisecond))
	ended()
	time.Sleep(150 * time.Millisecond)
	require.Empty(t, out.String(), "a stop that has ended is not overdue")
	v.watchStop(time.Now())
	require.Eventually(t, func() bool { return strings.Contains(out.String(), `"event":782`) }, 10*time.Second, time.Millisecond)
}
