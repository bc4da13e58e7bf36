package prompt

import (
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
)

// defaultRetryAfter is the minimum retry-after time of a retryable failure. It
// applies if no open breaker requires a longer one.
const defaultRetryAfter = time.Second

// StallError is the cause of failure of an attempt that produced no token within
// its time limit.
type StallError struct{}

// Error implements error.
func (*StallError) Error() string { return "prompt: the endpoint stalled" }

// GapError is the cause of failure of an attempt with a missing token.
type GapError struct{}

// Error implements error.
func (*GapError) Error() string { return "prompt: a token is missing" }

// StrayEventsError is the cause of failure of an attempt whose endpoint sent more than
// maxDroppedBytes of events in a row that belong to no token of the answer.
type StrayEventsError struct{}

// Error implements error.
func (*StrayEventsError) Error() string {
	return "prompt: the endpoint sends events that belong to no token of the answer"
}

// AnswerTooLargeError is the cause of failure of an attempt with a text over maxTextBytes.
type AnswerTooLargeError struct{}

// Error implements error.
func (*AnswerTooLargeError) Error() string { return "prompt: the answer is too large" }

// CallerGoneError is the cancellation cause after the caller disconnected or
// did not read in time.
type CallerGoneError struct{}

// Error implements error.
func (*CallerGoneError) Error() string { return "prompt: caller disconnected" }

// ClosedError is the cancellation cause after the answer was closed.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "prompt: answer closed" }

// isFault reports whether the failure counts against the endpoint. A refusal
// does not: the endpoint is healthy, but full or still loading. Neither does a
// lost reservation, which may have been lost at another member of the group.
func isFault(err error) bool {
	var refused *endpoint.RefusedError
	var lost *reserve.LostError
	return !errors.As(err, &refused) && !errors.As(err, &lost)
}

func (a *Answer) reason() string {
	if a.cause == nil {
		return "no endpoint"
	}
	return a.cause.Error()
}

// ranSoFar returns whether the request ran. It is RanNo only if every attempt
// provably started nothing.
func (a *Answer) ranSoFar() errcode.Ran {
	if a.ran == "" {
		return errcode.RanNo
	}
	return a.ran
}

// classify returns the error that the caller receives: why the request failed,
// whether it ran and when it may be retried.
func (a *Answer) classify() error {
	e := a.failureCode().WithRan(a.ranSoFar())
	if !errcode.Lookup(e.Code).Retry {
		return e
	}
	return e.WithRetryAfter(max(defaultRetryAfter, a.reopensIn(), a.turnIn, a.withheldFor))
}

func (a *Answer) failureCode() *errcode.Error {
	switch {
	case a.ctx.Err() != nil:
		return errcode.New(errcode.DeadlineExceeded, "the deadline passed")
	case a.withheldFor > 0:
		return errcode.New(errcode.RequestWithheld, "the request crashes the endpoints of %s", a.req.Service)
	case !a.placed && a.tooLong():
		return errcode.New(errcode.PromptTooLong, "the endpoints of %s together can't hold %d tokens", a.req.Service, a.memoryNeed())
	case a.cause == nil && a.turnIn > 0:
		return errcode.New(errcode.EndpointsLimited, "the endpoints of %s take no more prompts now", a.req.Service)
	case a.cause == nil:
		return errcode.New(errcode.NoEndpoint, "no endpoint of %s takes the prompt", a.req.Service)
	case a.assembly.Delivered() > 0:
		return errcode.New(errcode.StreamCut, "%v", a.cause)
	}
	return errcode.New(errcode.EndpointFailed, "%v", a.cause)
}

// tooLong reports whether the prompt exceeds the memory of all endpoints of the
// service together.
func (a *Answer) tooLong() bool {
	sum := int64(0)
	for _, e := range a.req.Snapshot.Endpoints {
		if e.Service == a.req.Service {
			sum += e.MemoryTokens
		}
	}
	return sum < a.memoryNeed()
}
