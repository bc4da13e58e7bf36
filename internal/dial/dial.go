// Package dial opens connections for HTTP clients that must tell a request that
// was never handed over from one whose fate is unknown.
package dial

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// limit bounds the opening of one connection.
const limit = time.Second

// Error says that no connection was opened, so that no byte was sent.
type Error struct{ Cause error }

// Error implements error.
func (e *Error) Error() string { return "dial: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// TCP opens a connection within the timeout and the package's own limit. It is
// a fasthttp.DialFuncWithTimeout.
func TCP(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > limit {
		timeout = limit
	}
	conn, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return nil, errors.WithStack(&Error{err})
	}
	return conn, nil
}

// NotSent reports whether err proves that no byte of the request was written:
// the connection could not be opened, or the client had none to spare.
func NotSent(err error) bool {
	var failed *Error
	return errors.As(err, &failed) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// Once is a fasthttp.RetryIfErrFunc that keeps the library from repeating a
// request by itself.
func Once(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }
