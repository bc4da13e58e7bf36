package errcode

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Ran says whether a request was started at an endpoint.
type Ran string

// The values of Ran. RanNo is only ever a proven no.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Code names a kind of failure.
type Code string

// Error is a failure with its code. The zero RetryAfter means that the caller
// was given no time to come back.
type Error struct {
	Code       Code
	Message    string
	Ran        Ran
	RetryAfter time.Duration
}

// New returns an Error with the code's default Ran.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Ran: Lookup(code).Ran}
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Message
}

// WithRan returns a copy that says ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the Error in err's chain, or an Internal one that wraps its
// text. It returns nil for nil.
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

// Is reports whether err's chain has an Error with the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
