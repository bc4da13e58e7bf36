package quota

import (
	"time"

	"github.com/pkg/errors"
)

// Config holds the parameters of leased shares.
type Config struct {
	// Lease is the duration of a lease.
	Lease time.Duration
	// Renew is the interval at which a VM renews its share.
	Renew time.Duration
	// ClockError is the maximum difference between a VM's clock and true time,
	// including pauses between a check and the use of its result.
	ClockError time.Duration
	// Spare is the headroom that a VM requests, as a fraction of its average
	// requested rate.
	Spare float64
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{Lease: 2 * time.Minute, Renew: 10 * time.Second, ClockError: 2 * time.Second, Spare: 0.5}
}

// ConfigError reports a field that is out of range.
type ConfigError struct{ Field string }

// Error implements error.
func (e *ConfigError) Error() string { return "quota: " + e.Field + " is out of range" }

// Validate returns a ConfigError if a parameter is out of range.
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

// Holder identifies a VM and its incarnation.
type Holder struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
}

// Share is a part of a limit that is leased to a VM.
type Share struct {
	Holder
	// TokensPerSecond is the size of the share.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// ExpiresMs is when the lease expires by the holder's clock, in
	// milliseconds since the Unix epoch.
	ExpiresMs int64 `json:"expires_ms"`
}

// Row is the table row of one organisation's limit.
type Row struct {
	Shares []Share `json:"shares"`
}

// Request is a VM's request for a share.
type Request struct {
	Holder
	// Limit is the organisation's limit in tokens per second.
	Limit float64
	// TokensPerSecond is the requested share in tokens per second.
	TokensPerSecond float64
}

// Renew returns the row with the holder's share renewed or newly granted, and
// that share. Shares that have expired by any VM's clock are dropped. A holder
// is granted what it requests, up to what the other shares leave. While the
// limit is fully allocated, a holder with more than an equal share is reduced
// to it.
func (r Row) Renew(cfg Config, now time.Time, request Request) (Row, Share) {
	next := Row{}
	others := 0.0
	for _, s := range r.Shares {
		if s.Holder == request.Holder || r.expired(cfg, now, s) {
			continue
		}
		next.Shares = append(next.Shares, s)
		others += s.TokensPerSecond
	}
	equalShare := request.Limit / float64(len(next.Shares)+1)
	grant := min(max(request.TokensPerSecond, 0), max(0, request.Limit-others))
	if len(next.Shares) > 0 {
		// Makes room for a new holder as the existing ones renew.
		grant = min(grant, max(equalShare, request.Limit-others-equalShare))
	}
	share := Share{Holder: request.Holder, TokensPerSecond: grant, ExpiresMs: now.Add(cfg.Lease).UnixMilli()}
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

// expired reports whether the holder has certainly stopped using the share: the
// holder's clock and this VM's clock may both be off, in opposite directions.
func (r Row) expired(cfg Config, now time.Time, s Share) bool {
	return now.UnixMilli() > s.ExpiresMs+2*cfg.ClockError.Milliseconds()
}
