package admission

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// answerRatioGain is the weight of one answer in the moving average of the
	// ratio of an answer's length to the maximum that its caller allowed.
	answerRatioGain = 0.02
	// minDeadlineFraction is the smallest fraction of the time limit to which
	// that of an organisation over its share is reduced.
	minDeadlineFraction = 0.1
	// biasGain is the weight of one first token in the moving average of the
	// prediction bias.
	biasGain = 0.02
	minBias  = 0.25
	maxBias  = 2
	// minBiasPrediction is the smallest predicted time to first token that
	// updates the bias: below it, fixed costs outweigh the queueing time.
	minBiasPrediction = 200 * time.Millisecond
)

// Config has the parameters of admission control.
type Config struct {
	// Tolerance is the fraction of the time to a prompt's deadline by which its
	// prediction may exceed the deadline and the prompt is still admitted, since
	// predictions err in both directions.
	Tolerance float64
	// MinRetry and MaxRetry bound Decision.RetryAfter.
	MinRetry time.Duration
	MaxRetry time.Duration
	// FullPressure is the pressure from which on shares are enforced in full;
	// below it they are enforced in proportion. The pressure is the fraction of
	// requested tokens whose prompts are predicted to miss their deadline. Zero
	// disables enforcement.
	FullPressure float64
	// ShareTime is the time constant with which token counts decay.
	ShareTime time.Duration
}

// DefaultConfig returns the default parameters of the service.
func DefaultConfig() Config {
	return Config{
		Tolerance:    0.1,
		MinRetry:     time.Second,
		MaxRetry:     2 * time.Minute,
		FullPressure: 0.1,
		ShareTime:    time.Minute,
	}
}

// ConfigError names the field whose value is out of range.
type ConfigError struct{ Field string }

// Error implements the error interface.
func (e *ConfigError) Error() string { return "admission: " + e.Field + " is out of range" }

// Validate returns a ConfigError for the first field that is out of range.
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

// Prediction is placement's latency prediction for a prompt.
type Prediction struct {
	// FirstToken is the time to first token.
	FirstToken time.Duration
	// DecodeTime is the time from the first token to the end of an answer of the
	// maximum length.
	DecodeTime time.Duration
}

// Request has the properties of a prompt that admission uses.
type Request struct {
	Organisation string
	// Weight is the organisation's share relative to other organisations.
	Weight float64
	// Tokens is the length of the prompt plus the maximum length of the answer.
	Tokens int64
	// Remaining is the time to the deadline.
	Remaining time.Duration
	Priority  wire.Priority
}

// Decision is the result of Decide.
type Decision struct {
	Admitted bool
	// OverShare is set when the prompt was refused because its organisation is
	// over its share of a busy service.
	OverShare bool
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
}

// Controller is the admission control of one service on one VM. It is not safe
// for concurrent use.
type Controller struct {
	cfg    Config
	shares *Shares
	// answerRatio is the moving average of the ratio of an answer's length to
	// the maximum that its caller allowed. It starts at zero, because callers
	// overstate the maximum.
	answerRatio float64
	// bias is the moving average of the ratio of the measured to the predicted
	// time to first token, by priority.
	bias [2]float64
	// requested and unreachable are decayed token counts of all prompts and of
	// those predicted to miss their deadline, as of decayedAt.
	requested, unreachable float64
	decayedAt              time.Time
}

// NewController returns a Controller without observations.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, shares: NewShares(cfg.ShareTime), bias: [2]float64{1, 1}}
}

// Decide admits the request and counts its tokens towards the organisation's
// share, or refuses it.
func (c *Controller) Decide(now time.Time, r Request, p Prediction) Decision {
	expected := scale(p.FirstToken, c.bias[r.Priority]) + scale(p.DecodeTime, c.answerRatio)
	limit := scale(r.Remaining, 1+c.cfg.Tolerance)
	c.recordPressure(now, r.Tokens, expected > limit)
	if expected > limit {
		return Decision{RetryAfter: c.retryAfter(expected - r.Remaining)}
	}
	if reduced := scale(limit, c.deadlineFraction(now, r)); expected > reduced {
		return Decision{OverShare: true, RetryAfter: c.retryAfter(expected - reduced)}
	}
	c.shares.Count(now, r.Organisation, r.Weight, r.Tokens)
	return Decision{Admitted: true}
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// deadlineFraction returns the fraction of the time limit that the request may be
// predicted to take: 1, unless the service is refusing prompts and the
// organisation is over its share.
func (c *Controller) deadlineFraction(now time.Time, r Request) float64 {
	if c.cfg.FullPressure == 0 || c.unreachable == 0 {
		return 1
	}
	enforcement := min(1, c.unreachable/c.requested/c.cfg.FullPressure)
	return 1 - enforcement*(1-c.shares.DeadlineFraction(now, r.Organisation, r.Weight))
}

// recordPressure updates the token counts that determine the enforcement of
// shares.
func (c *Controller) recordPressure(now time.Time, tokens int64, unreachable bool) {
	if elapsed := now.Sub(c.decayedAt); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / c.cfg.ShareTime.Seconds())
		c.requested *= decay
		c.unreachable *= decay
		c.decayedAt = now
	}
	c.requested += float64(tokens)
	if unreachable {
		c.unreachable += float64(tokens)
	}
}

// ObserveFirstToken updates the bias with an admitted prompt's measured time to first
// token and the prediction at its admission.
func (c *Controller) ObserveFirstToken(priority wire.Priority, predicted, took time.Duration) {
	if predicted < minBiasPrediction {
		return
	}
	ratio := min(float64(took)/float64(predicted), maxBias)
	c.bias[priority] = max(minBias, c.bias[priority]+biasGain*(ratio-c.bias[priority]))
}

// retryAfter returns the time after which the backlog has drained by the excess,
// within MinRetry and MaxRetry.
func (c *Controller) retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, c.cfg.MinRetry), c.cfg.MaxRetry)
}

// ObserveAnswer updates the answer ratio with the length of a complete answer and the
// maximum that its caller allowed, both in tokens.
func (c *Controller) ObserveAnswer(tokens, maxTokens int64) {
	if maxTokens <= 0 {
		return
	}
	ratio := min(1, float64(tokens)/float64(maxTokens))
	c.answerRatio += answerRatioGain * (ratio - c.answerRatio)
}
