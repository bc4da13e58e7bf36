package admission

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// answerGain is the weight of one answer in the learnt ratio of an answer's
	// length to the longest that its caller allowed.
	answerGain = 0.02
	// minPatience bounds how much earlier an organisation beyond its share is
	// refused.
	minPatience = 0.1
)

// Config has the parameters of admission.
type Config struct {
	// Tolerance is the part of a prompt's time by which a prediction may pass
	// its deadline and the prompt is still admitted: predictions err both ways.
	Tolerance float64
	// MinRetry and MaxRetry bound the time that a refused caller is told to
	// wait.
	MinRetry time.Duration
	MaxRetry time.Duration
	// BusyAfter is the predicted first token from which on the service counts
	// as busy and shares are enforced.
	BusyAfter time.Duration
	// ShareTime is the time constant over which tokens are counted.
	ShareTime time.Duration
}

// DefaultConfig returns the parameters that the service runs with.
func DefaultConfig() Config {
	return Config{
		Tolerance: 0.1,
		MinRetry:  time.Second,
		MaxRetry:  2 * time.Minute,
		BusyAfter: 2 * time.Second,
		ShareTime: time.Minute,
	}
}

// ConfigError says which field is out of its range.
type ConfigError struct{ Field string }

// Error implements error.
func (e *ConfigError) Error() string { return "admission: " + e.Field + " is out of range" }

// Validate checks the ranges.
func (c Config) Validate() error {
	switch {
	case c.Tolerance < 0:
		return errors.WithStack(&ConfigError{"Tolerance"})
	case c.MinRetry <= 0 || c.MaxRetry < c.MinRetry:
		return errors.WithStack(&ConfigError{"MinRetry"})
	case c.ShareTime <= 0:
		return errors.WithStack(&ConfigError{"ShareTime"})
	}
	return nil
}

// Prediction is what placement expects of a prompt.
type Prediction struct {
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Answer is the time that the longest answer takes after it.
	Answer time.Duration
}

// Request is a prompt that asks to be admitted.
type Request struct {
	Organisation string
	// Weight is the organisation's share relative to the others.
	Weight float64
	// Tokens are its prompt's and its longest answer's.
	Tokens int64
	// Remaining is the time to its deadline.
	Remaining time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	Admitted bool
	// OverShare says that it was refused because its organisation is beyond its
	// share of a busy service.
	OverShare bool
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Controller decides on the prompts of one service at one VM. It is not safe
// for concurrent use.
type Controller struct {
	cfg    Config
	shares *Shares
	// answered is the learnt ratio of answers to the longest allowed.
	answered float64
}

// NewController returns a Controller that has learnt nothing.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, shares: NewShares(cfg.ShareTime), answered: 1}
}

// Decide admits the request, and counts its tokens, or refuses it.
func (c *Controller) Decide(now time.Time, r Request, p Prediction) Decision {
	expected := p.FirstToken + time.Duration(c.answered*float64(p.Answer))
	limit := time.Duration(float64(r.Remaining) * (1 + c.cfg.Tolerance))
	if expected > limit {
		return Decision{RetryAfter: c.retryAfter(expected - r.Remaining)}
	}
	if p.FirstToken > c.cfg.BusyAfter {
		patience := c.shares.Patience(now, r.Organisation, r.Weight)
		if within := time.Duration(float64(limit) * patience); expected > within {
			return Decision{OverShare: true, RetryAfter: c.retryAfter(expected - within)}
		}
	}
	c.shares.Count(now, r.Organisation, r.Weight, r.Tokens)
	return Decision{Admitted: true}
}

// retryAfter is the time in which the queue drains by the excess.
func (c *Controller) retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, c.cfg.MinRetry), c.cfg.MaxRetry)
}

// Answered notes a whole answer's length and the longest that was allowed.
func (c *Controller) Answered(tokens, maxTokens int64) {
	if maxTokens <= 0 {
		return
	}
	ratio := min(1, float64(tokens)/float64(maxTokens))
	c.answered += answerGain * (ratio - c.answered)
}
