package platform

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Class says which part of the store's rate a request counts against.
type Class int

// The classes. Control is for what the VMs themselves need: leases and the
// configuration; calls may not use it up. A call that was let in has its record
// let in too: ClassCallWrite is its first write, ClassCallRecord any other.
const (
	ClassRead Class = iota
	ClassControlWrite
	ClassCallWrite
	ClassCallRecord
)

// writesPerCall is the number of writes that a call that is let in takes.
const writesPerCall = 2

// Rates is what all VMs together may ask of the store, and how a VM's share of
// it is bounded.
type Rates struct {
	// WritesPerSecond and ReadsPerSecond hold for all VMs together.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// CallShare is the share of the writes that calls may use, from 0 to 1.
	CallShare float64
	// Burst is how long an unused share is saved up.
	Burst time.Duration
	// MaxWait bounds how long a request waits for the share; one that would
	// have to wait longer is refused.
	MaxWait time.Duration
}

// DefaultRates stay under several hundred writes and two thousand reads a
// second.
func DefaultRates() Rates {
	return Rates{
		WritesPerSecond: 400,
		ReadsPerSecond:  1600,
		CallShare:       0.8,
		Burst:           4 * time.Second,
		MaxWait:         500 * time.Millisecond,
	}
}

// callsPerSecond is the rate of calls that all VMs together let in.
func (r Rates) callsPerSecond() float64 { return r.CallShare * r.WritesPerSecond / writesPerCall }

func (r Rates) validate() error {
	switch {
	case r.WritesPerSecond <= 0:
		return &ConfigError{"WritesPerSecond"}
	case r.ReadsPerSecond <= 0:
		return &ConfigError{"ReadsPerSecond"}
	case r.CallShare <= 0 || r.CallShare > 1:
		return &ConfigError{"CallShare"}
	}
	return nil
}

// assumedVMs share the store until the number of VMs is known.
const assumedVMs = 8

// minBurst lets one operation of several requests through.
const minBurst = 4

// limits is this VM's share of the store.
type limits struct {
	rates Rates
	// members and listed are the numbers of VMs that the membership and the
	// platform's list know.
	members atomic.Int64
	listed  atomic.Int64
	reads   *rate.Limiter
	writes  *rate.Limiter
	calls   *rate.Limiter
	// mu makes one step of a look at the limiters and a reservation with them.
	mu sync.Mutex
}

// newLimits returns the limits of one of n VMs, with the burst saved up.
func newLimits(r Rates, n int) *limits {
	l := &limits{rates: r}
	l.reads = l.limiter(r.ReadsPerSecond / float64(n))
	l.writes = l.limiter(r.WritesPerSecond / float64(n))
	l.calls = l.limiter(r.callsPerSecond() / float64(n))
	return l
}

func (l *limits) limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), l.burst(perSecond))
}

func (l *limits) burst(perSecond float64) int {
	return max(minBurst, int(perSecond*l.rates.Burst.Seconds()))
}

// share divides the rates among the VMs: the membership may miss some in a
// partition, and the list lags, so that the larger number counts.
func (l *limits) share() {
	n := max(l.members.Load(), l.listed.Load(), 1)
	l.set(l.reads, l.rates.ReadsPerSecond/float64(n))
	l.set(l.writes, l.rates.WritesPerSecond/float64(n))
	l.set(l.calls, l.rates.callsPerSecond()/float64(n))
}

func (l *limits) set(limiter *rate.Limiter, perSecond float64) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(l.burst(perSecond))
}

// admit returns how long the request must wait, and whether it may go at all:
// not if that is longer than it is ready to.
func (l *limits) admit(class Class, ready time.Duration) (time.Duration, bool) {
	// The other half of its time is left for the store.
	ready = min(ready/2, l.rates.MaxWait)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var wait time.Duration
	counted := l.counted(class)
	for _, limiter := range counted {
		wait = max(wait, waitFor(limiter, now))
	}
	if wait > 0 && wait >= ready {
		return 0, false
	}
	for _, limiter := range counted {
		limiter.ReserveN(now, 1)
	}
	return wait, true
}

// counted lists the limiters that a request of the class counts against.
func (l *limits) counted(class Class) []*rate.Limiter {
	switch class {
	case ClassRead:
		return []*rate.Limiter{l.reads}
	case ClassControlWrite, ClassCallRecord:
		return []*rate.Limiter{l.writes}
	}
	return []*rate.Limiter{l.calls, l.writes}
}

// waitFor is how long the next request would wait. It is asked beforehand, as a
// reservation that is taken back does not give its part back where others came
// after it.
func waitFor(limiter *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

// Counts is what a client has asked of the store so far.
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

// Counts returns what was asked of the store so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.counts.reads.Load(), Writes: c.counts.writes.Load()}
}
