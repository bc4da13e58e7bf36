package prompt

import (
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
)

// comeBack is when a caller may come back after a failure whose cause says
// nothing better.
const defaultRetryAfter = time.Second

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
// does not: the endpoint is well, and full or loading. Neither does the loss of
// a reservation, which may be another member's.
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

// ranSoFar is RanNo only where every attempt proved that it started nothing.
func (a *Answer) ranSoFar() errcode.Ran {
	if a.ran == "" {
		return errcode.RanNo
	}
	return a.ran
}

// classify says why the request failed, whether it ran and when to come back.
func (a *Answer) classify() error {
	e := a.failureCode().WithRan(a.ranSoFar())
	if !errcode.Lookup(e.Code).Retry {
		return e
	}
	return e.WithRetryAfter(max(defaultRetryAfter, a.reopensIn()))
}

func (a *Answer) failureCode() *errcode.Error {
	switch {
	case a.ctx.Err() != nil:
		return errcode.New(errcode.DeadlineExceeded, "the deadline passed")
	case !a.placed && a.tooLong():
		return errcode.New(errcode.PromptTooLong, "the endpoints of %s together can't hold %d tokens", a.req.Service, a.memoryNeed())
	case a.cause == nil:
		return errcode.New(errcode.NoEndpoint, "no endpoint of %s takes the prompt", a.req.Service)
	case a.assembly.Delivered() > 0:
		return errcode.New(errcode.StreamCut, "%v", a.cause)
	}
	return errcode.New(errcode.EndpointFailed, "%v", a.cause)
}

// tooLong reports whether not even all endpoints of the service together could
// hold the prompt.
func (a *Answer) tooLong() bool {
	sum := int64(0)
	for _, e := range a.req.Snapshot.Endpoints {
		if e.Service == a.req.Service {
			sum += e.MemoryTokens
		}
	}
	return sum < a.memoryNeed()
}
