// Package dial opens TCP connections, and lets HTTP clients distinguish a request
// that was never sent from one whose outcome is unknown.
package dial

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/internal/httpcheck"
)

// connectTimeout bounds the opening of one connection by TCP.
const connectTimeout = time.Second

// Error states that the connection could not be opened, and hence that no byte was
// sent.
type Error struct{ Cause error }

// Error implements error.
func (e *Error) Error() string { return "dial: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// TCP opens a connection within the timeout, or within connectTimeout if that is
// shorter or the timeout is not positive. It fails with an *Error. It is a
// fasthttp.DialFuncWithTimeout. The connection checks the statuses and the
// ends of responses (see package httpcheck).
func TCP(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > connectTimeout {
		timeout = connectTimeout
	}
	conn, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return nil, errors.WithStack(&Error{err})
	}
	return httpcheck.NewSequentialConn(conn), nil
}

// NotSent reports whether err proves that no byte of the request was sent: the
// connection could not be opened, or the client's pool had no free connection.
func NotSent(err error) bool {
	var dialErr *Error
	return errors.As(err, &dialErr) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// ConnectionEnded reports whether err means that the server ended the connection before
// the response was complete, as it does when it crashes.
func ConnectionEnded(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, fasthttp.ErrConnectionClosed} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// NoRetry is a fasthttp.RetryIfErrFunc that disables fasthttp's own retries.
func NoRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
