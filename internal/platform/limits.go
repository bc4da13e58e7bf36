package platform

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Class determines which part of the store's rate a request counts against.
type Class int

// The classes. ClassControlWrite is for writes of the VMs themselves: leases
// and the configuration. CallShare leaves a part of the rate for it.
// ClassCallWrite is the first write of a call, ClassCallRecord any later one: only
// the first counts against the rate of calls, so that the record of an admitted
// call can be written too.
const (
	ClassRead Class = iota
	ClassControlWrite
	ClassCallWrite
	ClassCallRecord
)

// writesPerCall is the number of writes of an admitted call.
const writesPerCall = 2

// Rates holds the rates of requests to the store of all VMs together, and the
// limits of one VM's share.
type Rates struct {
	// WritesPerSecond and ReadsPerSecond are the rates of all VMs together.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// CallShare is the share of the writes that calls may use, above 0 and at
	// most 1.
	CallShare float64
	// Burst is the time over which an unused share accumulates.
	Burst time.Duration
	// MaxWait bounds the wait of a request for this VM's share; a request that
	// would have to wait longer is refused.
	MaxWait time.Duration
}

// DefaultRates returns rates that stay below several hundred writes and two
// thousand reads per second.
func DefaultRates() Rates {
	return Rates{
		WritesPerSecond: 400,
		ReadsPerSecond:  1600,
		CallShare:       0.8,
		Burst:           4 * time.Second,
		MaxWait:         500 * time.Millisecond,
	}
}

// callsPerSecond is the rate of calls that all VMs together admit.
func (r Rates) callsPerSecond() float64 { return r.CallShare * r.WritesPerSecond / writesPerCall }

func (r Rates) validate() error {
	switch {
	case r.WritesPerSecond <= 0:
		return &ConfigError{"WritesPerSecond"}
	case r.ReadsPerSecond <= 0:
		return &ConfigError{"ReadsPerSecond"}
	case r.CallShare <= 0 || r.CallShare > 1:
		return &ConfigError{"CallShare"}
	case r.Burst <= 0:
		return &ConfigError{"Burst"}
	case r.MaxWait <= 0:
		return &ConfigError{"MaxWait"}
	}
	return nil
}

// assumedVMs is the number of VMs among which the rate is divided until the actual
// number is known.
const assumedVMs = 8

// minBurst is the smallest burst of a limiter, in requests. It admits one operation
// of several requests.
const minBurst = 4

// limits holds the limiters for this VM's share of the store's rate.
type limits struct {
	rates Rates
	// members and listed are the numbers of VMs in the membership and of entry
	// VMs in the platform's list; 0 if not known.
	members atomic.Int64
	listed  atomic.Int64
	reads   *rate.Limiter
	writes  *rate.Limiter
	calls   *rate.Limiter
	// mu makes the check of the limiters and the reservation with them atomic.
	mu sync.Mutex
}

// newLimits returns the limits of one of n VMs, with the full burst available.
func newLimits(r Rates, n int) *limits {
	l := &limits{rates: r}
	l.reads = l.newLimiter(r.ReadsPerSecond / float64(n))
	l.writes = l.newLimiter(r.WritesPerSecond / float64(n))
	l.calls = l.newLimiter(r.callsPerSecond() / float64(n))
	return l
}

func (l *limits) newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), l.burst(perSecond))
}

func (l *limits) burst(perSecond float64) int {
	return max(minBurst, int(perSecond*l.rates.Burst.Seconds()))
}

// updateShare divides the rates among the VMs. It uses the larger of the two
// numbers, as the membership may miss VMs in a partition and the list lags.
func (l *limits) updateShare() {
	n := max(l.members.Load(), l.listed.Load(), 1)
	l.setRate(l.reads, l.rates.ReadsPerSecond/float64(n))
	l.setRate(l.writes, l.rates.WritesPerSecond/float64(n))
	l.setRate(l.calls, l.rates.callsPerSecond()/float64(n))
}

func (l *limits) setRate(limiter *rate.Limiter, perSecond float64) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(l.burst(perSecond))
}

// admit returns how long the request must wait for this VM's share, and whether it
// is admitted. It is refused, without a reservation, if the wait is not zero and
// reaches half of timeout or MaxWait.
func (l *limits) admit(class Class, timeout time.Duration) (time.Duration, bool) {
	// The other half of the timeout is left for the request itself.
	timeout = min(timeout/2, l.rates.MaxWait)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var wait time.Duration
	limiters := l.limitersFor(class)
	for _, limiter := range limiters {
		wait = max(wait, waitTime(limiter, now))
	}
	if wait > 0 && wait >= timeout {
		return 0, false
	}
	for _, limiter := range limiters {
		limiter.ReserveN(now, 1)
	}
	return wait, true
}

// limitersFor returns the limiters that a request of the class counts against.
func (l *limits) limitersFor(class Class) []*rate.Limiter {
	switch class {
	case ClassRead:
		return []*rate.Limiter{l.reads}
	case ClassControlWrite, ClassCallRecord:
		return []*rate.Limiter{l.writes}
	}
	return []*rate.Limiter{l.calls, l.writes}
}

// waitTime returns how long the next request would have to wait. It is computed
// before a reservation is made, as cancelling a reservation does not restore its
// token if others were made after it.
func waitTime(limiter *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

// Counts holds the numbers of attempts that a client has made to send reads and
// writes to the store.
type Counts struct {
	Reads  int64
	Writes int64
}

type counts struct{ reads, writes atomic.Int64 }

func (c *counts) add(class Class) {
	if class == ClassRead {
		c.reads.Add(1)
		return
	}
	c.writes.Add(1)
}

// Counts returns the numbers of attempts so far, without those refused by the
// limits.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.counts.reads.Load(), Writes: c.counts.writes.Load()}
}
