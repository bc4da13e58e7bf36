package admission

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// answerGain is the weight of one answer in the learnt ratio of an answer's
	// length to the longest that its caller allowed.
	answerGain = 0.02
	// minPatience bounds how much earlier an organisation beyond its share is
	// refused.
	minPatience = 0.1
	// biasGain is the weight of one first token in the learnt bias.
	biasGain = 0.02
	minBias  = 0.25
	maxBias  = 2
	// minJudged is the least prediction that teaches the bias: below it, fixed
	// costs outweigh the queue.
	minJudged = 200 * time.Millisecond
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
	// FullPressure is the part of the tokens asked for that is refused, or would
	// be, from which on shares are enforced in full; below it in proportion.
	// Zero for no enforcement.
	FullPressure float64
	// ShareTime is the time constant over which tokens are counted.
	ShareTime time.Duration
}

// DefaultConfig returns the parameters that the service runs with.
func DefaultConfig() Config {
	return Config{
		Tolerance:    0.1,
		MinRetry:     time.Second,
		MaxRetry:     2 * time.Minute,
		FullPressure: 0.1,
		ShareTime:    time.Minute,
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
	case c.FullPressure < 0 || c.FullPressure > 1:
		return errors.WithStack(&ConfigError{"FullPressure"})
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
	Priority  wire.Priority
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
	// answered is the learnt ratio of answers to the longest allowed: none until
	// answers have shown it, because callers overstate.
	answered float64
	// bias is the learnt ratio of first tokens to their prediction, by priority.
	bias [2]float64
	// asked and refused are decayed counts of tokens.
	asked, refused float64
	countedAt      time.Time
}

// NewController returns a Controller that has learnt nothing.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, shares: NewShares(cfg.ShareTime), bias: [2]float64{1, 1}}
}

// Decide admits the request, and counts its tokens, or refuses it.
func (c *Controller) Decide(now time.Time, r Request, p Prediction) Decision {
	expected := scale(p.FirstToken, c.bias[r.Priority]) + scale(p.Answer, c.answered)
	limit := scale(r.Remaining, 1+c.cfg.Tolerance)
	c.count(now, r.Tokens, expected > limit)
	if expected > limit {
		return Decision{RetryAfter: c.retryAfter(expected - r.Remaining)}
	}
	if within := scale(limit, c.patience(now, r)); expected > within {
		return Decision{OverShare: true, RetryAfter: c.retryAfter(expected - within)}
	}
	c.shares.Count(now, r.Organisation, r.Weight, r.Tokens)
	return Decision{Admitted: true}
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// patience is the part of its time that the request may be predicted to take:
// all of it, unless the service turns prompts away and the organisation is
// beyond its share.
func (c *Controller) patience(now time.Time, r Request) float64 {
	if c.cfg.FullPressure == 0 || c.refused == 0 {
		return 1
	}
	enforced := min(1, c.refused/c.asked/c.cfg.FullPressure)
	return 1 - enforced*(1-c.shares.Patience(now, r.Organisation, r.Weight))
}

// count feeds the pressure.
func (c *Controller) count(now time.Time, tokens int64, unreachable bool) {
	if passed := now.Sub(c.countedAt); passed > 0 {
		left := math.Exp(-passed.Seconds() / c.cfg.ShareTime.Seconds())
		c.asked *= left
		c.refused *= left
		c.countedAt = now
	}
	c.asked += float64(tokens)
	if unreachable {
		c.refused += float64(tokens)
	}
}

// FirstToken notes how long an admitted prompt took to its first token, and the
// prediction that it was admitted by.
func (c *Controller) FirstToken(priority wire.Priority, predicted, took time.Duration) {
	if predicted < minJudged {
		return
	}
	ratio := min(float64(took)/float64(predicted), maxBias)
	c.bias[priority] = max(minBias, c.bias[priority]+biasGain*(ratio-c.bias[priority]))
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
