package retry

import "time"

const (
	// keptShare is the part of a budget that all VMs together use, so that those
	// that come and go, or start anew without a memory, stay within the whole.
	keptShare = 0.5
	// fewestVMs is the least number of VMs among which an allowance is shared.
	fewestVMs = 4
	// unsettledVMs is the number of VMs that a VM reckons with that has just
	// started and may not know the others yet.
	unsettledVMs = 64
	// settleTime is how long that is.
	settleTime = 3 * time.Second
)

// Bounds are those on the repeats of all VMs together.
type Bounds struct {
	// Ratio is the share of the requests of a window that may be repeated.
	Ratio float64
	// Allowance is added for each window.
	Allowance float64
}

// Share is one VM's part of the bounds, by how many VMs it knows to live and how
// long it has run.
func (b Bounds) Share(vms int, age time.Duration) Bounds {
	n := max(vms, fewestVMs)
	if age < settleTime {
		n = max(n, unsettledVMs)
	}
	return Bounds{Ratio: b.Ratio * keptShare, Allowance: b.Allowance * keptShare / float64(n)}
}
