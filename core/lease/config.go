package lease

import "time"

// Config configures a Lease. All VMs use the same values.
type Config struct {
	// TTL is the lease duration, counted from the last renewal.
	TTL time.Duration
	// RenewEvery is the interval between renewals, RetryEvery the time until the
	// next try after a failed one and the timeout of a write.
	RenewEvery time.Duration
	RetryEvery time.Duration
	// PollEvery is the interval at which a candidate reads a lease that it does
	// not hold.
	PollEvery time.Duration
	// Drift is the maximum relative difference between the rates of two VMs'
	// monotonic clocks; 0.01 is 1 %.
	Drift float64
	// PauseBound is subtracted from the holder's lease duration. It covers a
	// pause of the process between a check of the lease and the operation that
	// the check guards.
	PauseBound time.Duration
	// MaxClockDivergence is the maximum divergence of a VM's wall clock and
	// monotonic clock since the last renewal. Beyond it the holder treats the
	// lease as expired.
	MaxClockDivergence time.Duration
	// RankStep is the additional wait of each lower-ranked candidate before it
	// takes a lease.
	RankStep time.Duration
	// MaxReleaseTries is the maximum number of writes of a release.
	MaxReleaseTries int
}

// DefaultConfig returns the configuration used by VMs.
func DefaultConfig() Config {
	return Config{
		TTL:                15 * time.Second,
		RenewEvery:         5 * time.Second,
		RetryEvery:         time.Second,
		PollEvery:          5 * time.Second,
		Drift:              0.01,
		PauseBound:         2 * time.Second,
		MaxClockDivergence: time.Second,
		RankStep:           2 * time.Second,
		MaxReleaseTries:    4,
	}
}

// holderTTL returns how long a holder may act after it sent a write: the TTL less
// clock drift and PauseBound.
func (c Config) holderTTL() time.Duration {
	return c.TTL - time.Duration(c.Drift*float64(c.TTL)) - c.PauseBound
}

// stillValid reports whether a holder whose last applied write was sent at sent
// may still act at now.
func (c Config) stillValid(sent, now Instant) bool {
	return now.Mono-sent.Mono < c.holderTTL() && now.divergence(sent) <= c.MaxClockDivergence
}

// challengerWait returns how long a challenger waits after it first saw a row
// with the given TTL: the TTL plus clock drift.
func (c Config) challengerWait(ttl time.Duration) time.Duration {
	return ttl + time.Duration(c.Drift*float64(ttl))
}

// Instant is a reading of a VM's monotonic clock and wall clock.
type Instant struct {
	// Mono is the monotonic clock. Its origin is private to the process.
	Mono time.Duration
	// Wall is the wall clock.
	Wall time.Time
}

// Add returns the instant with both clocks advanced by d.
func (i Instant) Add(d time.Duration) Instant { return Instant{i.Mono + d, i.Wall.Add(d)} }

// divergence returns by how much the two clocks have diverged since the given
// reading.
func (i Instant) divergence(since Instant) time.Duration {
	return (i.Wall.Sub(since.Wall) - (i.Mono - since.Mono)).Abs()
}
