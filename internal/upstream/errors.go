package upstream

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/dial"
)

// BrokenOff reports whether the error of a request means that the endpoint ended the
// connection after the request was sent and before the response was complete.
func BrokenOff(err error) bool {
	var unsent *UnsentError
	return !errors.As(err, &unsent) && dial.ConnectionEnded(err)
}

// UnsentError reports that no byte of the request was sent to the endpoint.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// NoResponseError reports that the request was sent, in whole or in part, and no
// response was received: it may have run.
type NoResponseError struct {
	Cause error
	// Reused is set if the connection had been used before, so that the
	// endpoint may have closed it without receiving the request.
	Reused bool
}

// Error implements error.
func (e *NoResponseError) Error() string { return "no response: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// HeadTooLargeError reports a response whose status line and header exceed a size
// limit.
type HeadTooLargeError struct{ Limit int }

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return "response header exceeds " + strconv.Itoa(e.Limit) + " bytes"
}

// StrayBodyError reports a response to another request whose body exceeds a size
// limit.
type StrayBodyError struct{ Limit int }

// Error implements error.
func (e *StrayBodyError) Error() string {
	return "body of a response to another request exceeds " + strconv.Itoa(e.Limit) + " bytes"
}

// UnidentifiedResponseError reports a response on a reused connection that does not
// tell which request it belongs to.
type UnidentifiedResponseError struct{ Status int }

// Error implements error.
func (e *UnidentifiedResponseError) Error() string {
	return "response on a reused connection has no request ID: status " + strconv.Itoa(e.Status)
}

// StrayResponsesError reports that too many interim responses, or responses to other
// requests, preceded the response to a request.
type StrayResponsesError struct{ Interim, Stray int }

// Error implements error.
func (e *StrayResponsesError) Error() string {
	return fmt.Sprintf("no response to the request after %d interim ones and %d to other requests", e.Interim, e.Stray)
}
