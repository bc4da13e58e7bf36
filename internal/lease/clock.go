package lease

import (
	"time"

	"golang.org/x/sys/unix"

	"cornelsaddle.example/cornelsaddle/core/lease"
)

// clock reads a VM's two clocks.
type clock func() lease.Instant

// systemClock counts by the boot-time clock, which goes on while the VM is
// suspended, as Go's monotonic clock does not.
func systemClock() lease.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // no Linux since 2.6.39 lacks the clock
	}
	return lease.Instant{Mono: time.Duration(ts.Nano()), Wall: time.Now().Round(0)}
}
