package prompt

import (
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
)

// comeBack is when a caller may come back after a failure whose cause says
// nothing better.
const comeBack = time.Second

// StallError says that an attempt brought no token for too long.
type StallError struct{}

// Error implements error.
func (*StallError) Error() string { return "prompt: the endpoint stalled" }

// GapError says that a token of an attempt is missing.
type GapError struct{}

// Error implements error.
func (*GapError) Error() string { return "prompt: a token is missing" }

// CallerGoneError says that the caller closed its connection.
type CallerGoneError struct{}

// Error implements error.
func (*CallerGoneError) Error() string { return "prompt: the caller went away" }

// ClosedError says that the answer was closed before its end.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "prompt: closed" }

// isFault reports whether the failure speaks against the endpoint. A refusal
// does not: the endpoint is well, and full or loading.
func isFault(err error) bool {
	var refused *endpoint.RefusedError
	return !errors.As(err, &refused)
}

func (a *Answer) reason() string {
	if a.cause == nil {
		return "no endpoint"
	}
	return a.cause.Error()
}

// ranSoFar is RanNo only where every attempt proved that it started nothing.
func (a *Answer) ranSoFar() errcode.Ran {
	if a.ran == "" {
		return errcode.RanNo
	}
	return a.ran
}

// classify says why the request failed, whether it ran and when to come back.
func (a *Answer) classify() error {
	wait := max(comeBack, a.reopens())
	e := a.failureCode()
	return e.WithRan(a.ranSoFar()).WithRetryAfter(wait)
}

func (a *Answer) failureCode() *errcode.Error {
	switch {
	case a.ctx.Err() != nil:
		return errcode.New(errcode.DeadlineExceeded, "the deadline passed")
	case a.cause == nil:
		return errcode.New(errcode.NoEndpoint, "no endpoint of %s takes the prompt", a.req.Service)
	case a.assembly.Delivered() > 0:
		return errcode.New(errcode.StreamCut, "%v", a.cause)
	}
	return errcode.New(errcode.EndpointFailed, "%v", a.cause)
}
