package retry

import "time"

const (
	// allocatedFraction is the fraction of the bounds that is divided among the
	// VMs. The rest is a reserve for VMs that join, leave, or restart without
	// their retry history.
	allocatedFraction = 0.5
	// minVMs is the minimum number of VMs among which an allowance is
	// divided.
	minVMs = 4
	// startupMinVMs is the minimum number of VMs assumed during startupTime,
	// while a newly started VM may not have discovered the others.
	startupMinVMs = 64
	// startupTime is the time after a start during which startupMinVMs applies.
	startupTime = 3 * time.Second
)

// Bounds limit the retries of all VMs together.
type Bounds struct {
	// Ratio is the fraction of the requests in a window that may be retried.
	Ratio float64
	// Allowance is the number of retries per window that are allowed in
	// addition.
	Allowance float64
}

// maxAttempts bounds the result of MaxAttempts, so that any allowance can be converted.
const maxAttempts = 1 << 30

// MaxAttempts returns the largest number of endpoints to which the bounds, over all VMs, let a
// request be sent if no other one is made in its window.
func (b Bounds) MaxAttempts() int {
	return 1 + int(min(maxAttempts, max(0, b.Ratio+b.Allowance)))
}

// Share returns one VM's share of the bounds, given the number of live VMs in
// its membership view and the time since its start.
func (b Bounds) Share(vms int, age time.Duration) Bounds {
	n := max(vms, minVMs)
	if age < startupTime {
		n = max(n, startupMinVMs)
	}
	return Bounds{Ratio: b.Ratio * allocatedFraction, Allowance: b.Allowance * allocatedFraction / float64(n)}
}
