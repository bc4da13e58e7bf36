package httpcheck

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UnfinishedRequestError reports a response that ended with its connection before the whole request
// had been written.
type UnfinishedRequestError struct {
	// Cause is why writing failed; nil if it was still pending.
	Cause error
}

// Error implements error.
func (e *UnfinishedRequestError) Error() string {
	text := "response ended before the whole request was written"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the early end of the connection, as which the error counts, and the cause.
func (e *UnfinishedRequestError) Unwrap() []error {
	if e.Cause == nil {
		return []error{io.ErrUnexpectedEOF}
	}
	return []error{io.ErrUnexpectedEOF, e.Cause}
}

// Acknowledged reports whether the other system has acknowledged all bytes that were written to the
// connection. Once the regular end of the connection has been read, false proves that the other
// process has not read all of them: its end acknowledges what it had received. Where the state of
// the connection can't be read it reports true.
func Acknowledged(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	var failure error
	err = raw.Control(func(fd uintptr) { pending, failure = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return err != nil || failure != nil || pending == 0
}

// EndWrites makes pending and later writes to the connection fail, by a write deadline in the past. So
// it is known at once how much of a request had been written.
func EndWrites(c net.Conn) { _ = c.SetWriteDeadline(time.Unix(1, 0)) }
