package quota

import (
	"time"

	"github.com/pkg/errors"
)

// Config has the parameters of leased shares.
type Config struct {
	// Lease is how long a share is granted for.
	Lease time.Duration
	// Renew is how often a VM renews its share.
	Renew time.Duration
	// ClockError bounds the difference of a VM's clock to true time, pauses
	// between a check and its use included.
	ClockError time.Duration
	// Spare is the part of its used rate that a VM asks for beyond it.
	Spare float64
}

// DefaultConfig returns the parameters that the service runs with.
func DefaultConfig() Config {
	return Config{Lease: 2 * time.Minute, Renew: 10 * time.Second, ClockError: 2 * time.Second, Spare: 0.5}
}

// ConfigError says which field is out of its range.
type ConfigError struct{ Field string }

// Error implements error.
func (e *ConfigError) Error() string { return "quota: " + e.Field + " is out of range" }

// Validate checks the ranges.
func (c Config) Validate() error {
	switch {
	case c.Renew <= 0 || c.Lease <= c.Renew+2*c.ClockError:
		return errors.WithStack(&ConfigError{"Lease"})
	case c.ClockError < 0:
		return errors.WithStack(&ConfigError{"ClockError"})
	case c.Spare < 0:
		return errors.WithStack(&ConfigError{"Spare"})
	}
	return nil
}

// Holder names a VM and its start.
type Holder struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
}

// Share is a part of a limit, leased to a VM.
type Share struct {
	Holder
	// TokensPerSecond is the part of the limit.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// ExpiresMs is when the lease ends by the holder's clock, in milliseconds
	// since the epoch.
	ExpiresMs int64 `json:"expires_ms"`
}

// Row is the table row of one organisation's limit.
type Row struct {
	Shares []Share `json:"shares"`
}

// Ask is a VM's wish for a share.
type Ask struct {
	Holder
	// Limit is the organisation's, in tokens a second.
	Limit float64
	// Want is the share wished for.
	Want float64
}

// Renew returns the row with the holder's share renewed or newly granted, and
// that share. Shares that have expired by any VM's clock are dropped. A holder
// gets what it wants up to what the others leave; one that holds more than an
// equal part while the limit is all given out comes down to it.
func (r Row) Renew(cfg Config, now time.Time, a Ask) (Row, Share) {
	next := Row{}
	others := 0.0
	for _, s := range r.Shares {
		if s.Holder == a.Holder || r.expired(cfg, now, s) {
			continue
		}
		next.Shares = append(next.Shares, s)
		others += s.TokensPerSecond
	}
	equal := a.Limit / float64(len(next.Shares)+1)
	grant := min(max(a.Want, 0), max(0, a.Limit-others))
	if len(next.Shares) > 0 {
		// A newcomer finds room at the next renewals of the others.
		grant = min(grant, max(equal, a.Limit-others-equal))
	}
	share := Share{Holder: a.Holder, TokensPerSecond: grant, ExpiresMs: now.Add(cfg.Lease).UnixMilli()}
	next.Shares = append(next.Shares, share)
	return next, share
}

// Release returns the row without the holder's share.
func (r Row) Release(h Holder) Row {
	next := Row{}
	for _, s := range r.Shares {
		if s.Holder != h {
			next.Shares = append(next.Shares, s)
		}
	}
	return next
}

// expired reports whether the share's holder has surely stopped using it: its
// clock and this VM's may both be off, in opposite directions.
func (r Row) expired(cfg Config, now time.Time, s Share) bool {
	return now.UnixMilli() > s.ExpiresMs+2*cfg.ClockError.Milliseconds()
}
