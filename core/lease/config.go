package lease

import "time"

// Config of a lease. All VMs use the same.
type Config struct {
	// TTL is how long a lease lasts after the write that renewed it.
	TTL time.Duration
	// RenewEvery is the time between two renewals, and RetryEvery the time to
	// the next try after one that failed.
	RenewEvery time.Duration
	RetryEvery time.Duration
	// PollEvery is the time between two reads of a lease that another VM holds.
	PollEvery time.Duration
	// Drift bounds how much faster one VM's monotonic clock runs than
	// another's, as a share.
	Drift float64
	// PauseBound is taken off the holder's end: it covers a pause between a
	// check of the lease and what the check guards.
	PauseBound time.Duration
	// MaxJump is how far the wall clock and the monotonic clock of a VM may part
	// before the holder no longer trusts either.
	MaxJump time.Duration
	// RankStep is how much longer each next candidate waits.
	RankStep time.Duration
	// ReleaseTries bounds the writes of a release.
	ReleaseTries int
}

// DefaultConfig returns the configuration of a VM.
func DefaultConfig() Config {
	return Config{
		TTL:          15 * time.Second,
		RenewEvery:   5 * time.Second,
		RetryEvery:   time.Second,
		PollEvery:    5 * time.Second,
		Drift:        0.01,
		PauseBound:   2 * time.Second,
		MaxJump:      time.Second,
		RankStep:     2 * time.Second,
		ReleaseTries: 4,
	}
}

// holderTime is how long a holder acts after sending a write.
func (c Config) holderTime() time.Duration {
	return c.TTL - time.Duration(c.Drift*float64(c.TTL)) - c.PauseBound
}

// lasts reports whether a holder that sent its last write at sent may still act
// at now.
func (c Config) lasts(sent, now Instant) bool {
	return now.Mono-sent.Mono < c.holderTime() && now.parted(sent) <= c.MaxJump
}

// challengerTime is how long a challenger waits after seeing a row of that TTL.
func (c Config) challengerTime(ttl time.Duration) time.Duration {
	return ttl + time.Duration(c.Drift*float64(ttl))
}

// Instant is one reading of a VM's two clocks.
type Instant struct {
	// Mono is the monotonic clock, from an origin of the process's own.
	Mono time.Duration
	// Wall is the wall clock.
	Wall time.Time
}

// Add returns the instant later by d on both clocks.
func (i Instant) Add(d time.Duration) Instant { return Instant{i.Mono + d, i.Wall.Add(d)} }

// parted is how far the clocks have parted since the other reading.
func (i Instant) parted(since Instant) time.Duration {
	return (i.Wall.Sub(since.Wall) - (i.Mono - since.Mono)).Abs()
}
