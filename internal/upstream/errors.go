package upstream

import (
	"fmt"
	"strconv"
	"syscall"

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

// DownError reports an endpoint that no VM has reached lately.
type DownError struct{ Address string }

// Error implements error.
func (e *DownError) Error() string { return "no VM has reached " + e.Address + " lately" }

// UnreachedError reports that no connection to the endpoint could be opened, neither on this
// VM's own path nor through another VM.
type UnreachedError struct {
	Direct, Relayed error
	// OwnPath is set if this VM's path is lost and no other VM found the endpoint at fault.
	OwnPath bool
}

// Error implements error.
func (e *UnreachedError) Error() string {
	return e.Direct.Error() + "; " + e.Relayed.Error()
}

// Unwrap returns the failure on this VM's own path.
func (e *UnreachedError) Unwrap() error { return e.Direct }

// PathLost reports whether the error is no fault of the endpoint.
func (e *UnreachedError) PathLost() bool { return e.OwnPath }

// PathLost reports whether the error of a request is no fault of its endpoint, as the path to
// it is lost.
func PathLost(err error) bool {
	var e interface{ PathLost() bool }
	return errors.As(err, &e) && e.PathLost()
}

// notSent reports whether another VM proves that no byte of the request was sent.
func notSent(err error) bool {
	var e interface{ NotSent() bool }
	return errors.As(err, &e) && e.NotSent()
}

// Broke reports whether the error of a request means that its connection, on this VM's own path,
// broke other than by a regular end, as it does where the path is lost.
func Broke(err error) bool {
	var unsent *UnsentError
	var relayed interface{ ThroughRelay() bool }
	if errors.As(err, &unsent) || errors.As(err, &relayed) || PathLost(err) {
		return false
	}
	for _, cause := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

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

// TooManyLinesError reports a response whose header has more lines than a limit.
type TooManyLinesError struct{ Limit int }

// Error implements error.
func (e *TooManyLinesError) Error() string {
	return "response header exceeds " + strconv.Itoa(e.Limit) + " lines"
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
