package retry

import "time"

// forgetTime is the time after which a VM that is no longer seen no longer counts among those
// that share the bounds. It is longer than failure domains or regions lose each other.
const forgetTime = 10 * time.Minute

// Population is the number of VMs that may be sharing the bounds. VMs that don't see each other
// can't be told from VMs that have failed: if each took the shares of those that it doesn't see,
// they would exceed the bounds together. It is not safe for concurrent use.
type Population struct {
	most   int
	seenAt time.Time
}

// Observe records the number of VMs that are seen now, and returns the largest number that was
// seen within forgetTime.
func (p *Population) Observe(now time.Time, vms int) int {
	if vms >= p.most || now.Sub(p.seenAt) > forgetTime {
		p.most, p.seenAt = vms, now
	}
	return p.most
}
