package lease

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/lease"
	"cornelsaddle.example/cornelsaddle/internal/clock"
)

// instantClock returns a reading of the VM's monotonic clock and wall clock.
type instantClock func() lease.Instant

// systemClock reads CLOCK_BOOTTIME as the monotonic clock. Unlike Go's monotonic
// clock, it advances while the VM is suspended.
func systemClock() lease.Instant {
	return lease.Instant{Mono: clock.Boot(), Wall: time.Now().Round(0)}
}
