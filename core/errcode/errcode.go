package errcode

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Ran states whether a request was started at an endpoint.
type Ran string

// The values of Ran. RanNo is used only if the request provably was not started.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Code identifies a kind of error.
type Code string

// Error is an error with a code. A zero RetryAfter means that no retry delay is
// suggested to the caller.
type Error struct {
	Code       Code
	Message    string
	Ran        Ran
	RetryAfter time.Duration
}

// New returns an Error with the code's default Ran and a formatted message.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Ran: Lookup(code).Ran}
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Message
}

// WithRan returns a copy with Ran set to ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetryAfter returns a copy with the retry delay set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the first Error in err's chain. If there is none, it returns an
// Error with code Internal and err's text. It returns nil for a nil err.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

// Is reports whether the first Error in err's chain has the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
