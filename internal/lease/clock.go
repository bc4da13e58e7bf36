package lease

import (
	"time"

	"golang.org/x/sys/unix"

	"cornelsaddle.example/cornelsaddle/core/lease"
)

// clock returns a reading of the VM's monotonic clock and wall clock.
type clock func() lease.Instant

// systemClock reads CLOCK_BOOTTIME as the monotonic clock. Unlike Go's monotonic
// clock, it advances while the VM is suspended.
func systemClock() lease.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has the clock
	}
	return lease.Instant{Mono: time.Duration(ts.Nano()), Wall: time.Now().Round(0)}
}
