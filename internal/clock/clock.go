// Package clock reads the clock that advances while the VM is suspended, which Go's
// monotonic clock does not.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM's boot, including the time for which it was
// suspended. The wall clock's steps don't affect it.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has the clock
	}
	return time.Duration(ts.Nano())
}

// Stopwatch measures how long the VM was suspended since its start.
type Stopwatch struct {
	steady time.Time
	boot   time.Duration
}

// Start returns a Stopwatch that runs from now.
func Start() Stopwatch { return Stopwatch{steady: time.Now(), boot: Boot()} }

// Suspended returns how long the VM was suspended since the start.
func (s Stopwatch) Suspended() time.Duration {
	return max(0, Boot()-s.boot-time.Since(s.steady))
}
