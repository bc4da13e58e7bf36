package placement

import (
	"time"

	"github.com/pkg/errors"
)

// Config has the parameters of the decisions of one VM.
type Config struct {
	// Sample is the most views that one placement scores; zero for all.
	Sample int
	// TieMargin is the relative difference of scores under which the choice is
	// drawn at random; from 0 to 1.
	TieMargin float64
	// OvertakeFactor bounds the prefill of high priority that this VM sends
	// past a waiting prompt of low priority, as a multiple of its length; zero
	// for no bound.
	OvertakeFactor float64
	// Headroom is the share of an endpoint's memory that is kept from prompts of
	// low priority; from 0 to 1.
	Headroom float64
	// ClaimAfter is how long a prompt of low priority waits for memory before it
	// claims an endpoint, to which no other of low priority is then sent.
	ClaimAfter time.Duration
	// DefaultRate is the prefill speed, in tokens a second, of an endpoint that
	// has told none.
	DefaultRate float64
}

// DefaultConfig returns the parameters that the service runs with.
func DefaultConfig() Config {
	return Config{Sample: 64, TieMargin: 0.1, OvertakeFactor: 8, Headroom: 0.05, ClaimAfter: 30 * time.Second, DefaultRate: 10_000}
}

// ConfigError says which field is out of its range.
type ConfigError struct{ Field string }

// Error implements error.
func (e *ConfigError) Error() string { return "placement: " + e.Field + " is out of range" }

// Validate checks the ranges.
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
