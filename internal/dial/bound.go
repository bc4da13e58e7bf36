package dial

import (
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// MaxHeadBytes bounds the head of a response that a fasthttp client reads: it is the size of the
// buffer that must hold the status line and the header, and the trailer. A larger head is an
// error.
const MaxHeadBytes = 4 << 10

// HeadTooLargeError reports a response whose status line, header or trailer exceeds a bound, or
// that has too many interim responses before it. The connection is closed.
type HeadTooLargeError struct{ Cause error }

// Error implements error.
func (e *HeadTooLargeError) Error() string { return "response head over its bound: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *HeadTooLargeError) Unwrap() error { return e.Cause }

// BodyTooLargeError reports a response whose body, or its framing, exceeds a bound. Nothing of
// it may be used. The connection is closed.
type BodyTooLargeError struct{ Limit int }

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return "response body larger than " + strconv.Itoa(e.Limit) + " bytes"
}

// OverBound reports whether err means that a response exceeds a bound of bytes.
func OverBound(err error) bool {
	var head *HeadTooLargeError
	var body *BodyTooLargeError
	return errors.As(err, &head) || errors.As(err, &body)
}

// BoundError returns the error of a fasthttp client whose MaxResponseBodySize is limit: a
// HeadTooLargeError or a BodyTooLargeError if the response exceeds a bound, and err otherwise.
func BoundError(err error, limit int) error {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errors.WithStack(&BodyTooLargeError{limit})
	case errors.As(err, &small):
		return errors.WithStack(&HeadTooLargeError{err})
	}
	return err
}

// firstReadBytes is the size of the buffer with which ReadBody begins.
const firstReadBytes = 4 << 10

// ReadBody reads a body to its end. Its buffer grows with the bytes received, up to the length that
// the head announces, which is negative if there is none. A body larger than limit bytes is a
// BodyTooLargeError; if its length says so, nothing of it is read.
func ReadBody(r io.Reader, announced int64, limit int) ([]byte, error) {
	if announced > int64(limit) {
		return nil, errors.WithStack(&BodyTooLargeError{limit})
	}
	if announced >= 0 {
		limit = int(announced)
	}
	// There is always room for a byte more than the body may have, so that its end is read.
	body := make([]byte, 0, min(limit+1, firstReadBytes))
	for {
		if len(body) > limit {
			return nil, errors.WithStack(&BodyTooLargeError{limit})
		}
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*len(body), limit+1)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && len(body) <= limit {
			return body, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, errors.WithStack(err)
		}
	}
}

// OmitHeads makes a client leave the bytes of a head that can't be read out of its errors, which
// are logged. It is a ConfigureClient function.
func OmitHeads(c *fasthttp.HostClient) error {
	c.SecureErrorLogMessage = true
	return nil
}
