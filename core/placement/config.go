package placement

import (
	"time"

	"github.com/pkg/errors"
)

// Config has the placement parameters of one VM.
type Config struct {
	// Sample is the maximum number of views that one placement scores; zero for
	// no limit.
	Sample int
	// TieMargin is the relative difference between scores below which the choice
	// is random; from 0 to 1.
	TieMargin float64
	// OvertakeFactor bounds the high-priority prefill that this VM sends ahead of
	// a waiting low-priority prompt, as a multiple of that prompt's length; zero
	// for no bound.
	OvertakeFactor float64
	// Headroom is the fraction of an endpoint's memory that low-priority prompts
	// may not use; from 0 to 1.
	Headroom float64
	// ClaimAfter is how long a low-priority prompt waits for memory before it
	// claims an endpoint; no other low-priority prompt is then sent there.
	ClaimAfter time.Duration
	// DefaultRate is the prefill rate, in tokens per second, assumed for an
	// endpoint that has reported none.
	DefaultRate float64
}

// DefaultConfig returns the default parameters of the service.
func DefaultConfig() Config {
	return Config{Sample: 64, TieMargin: 0.1, OvertakeFactor: 8, Headroom: 0.05, ClaimAfter: 30 * time.Second, DefaultRate: 10_000}
}

// ConfigError names the field whose value is out of range.
type ConfigError struct{ Field string }

// Error implements the error interface.
func (e *ConfigError) Error() string { return "placement: " + e.Field + " is out of range" }

// Validate returns a ConfigError for the first field that is out of range.
func (c Config) Validate() error {
	switch {
	case c.Sample < 0:
		return errors.WithStack(&ConfigError{"Sample"})
	case c.TieMargin < 0 || c.TieMargin > 1:
		return errors.WithStack(&ConfigError{"TieMargin"})
	case c.OvertakeFactor < 0:
		return errors.WithStack(&ConfigError{"OvertakeFactor"})
	case c.Headroom < 0 || c.Headroom > 1:
		return errors.WithStack(&ConfigError{"Headroom"})
	case c.ClaimAfter <= 0:
		return errors.WithStack(&ConfigError{"ClaimAfter"})
	case c.DefaultRate <= 0:
		return errors.WithStack(&ConfigError{"DefaultRate"})
	}
	return nil
}
