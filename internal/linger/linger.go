// Package linger closes a caller's connection without taking back the response that was sent on
// it: bytes of the caller that arrive at a closed connection, or lie unread in it, reset it, and
// the caller loses what it has not received yet.
package linger

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// Timeout bounds how long a connection that this side has ended is kept for the rest of the
	// caller's bytes.
	Timeout = 2 * time.Second
	// maxBytes bounds how many of these are read.
	maxBytes = 1 << 20
)

// Close ends this side's sending, and calls end once the caller's side has ended as well, or after
// Timeout. It does not wait for that. The function end closes the connection; it is called at once
// if this side can't be ended by itself.
func Close(c *net.TCPConn, end func() error) error {
	if c.CloseWrite() != nil {
		return end()
	}
	go func() {
		// Nobody is left to be told that the connection's end failed.
		defer func() { _ = end() }()
		discard(c, time.Now().Add(Timeout))
	}()
	return nil
}

// Await ends this side's sending, and waits until the caller's side has ended or until the
// deadline. The connection remains to be closed.
func Await(c *net.TCPConn, deadline time.Time) {
	if c.CloseWrite() == nil {
		discard(c, deadline)
	}
}

// discard reads what the caller still sends. Whatever ends that, the connection ends with it.
func discard(c *net.TCPConn, deadline time.Time) {
	if c.SetDeadline(deadline) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c, maxBytes))
	}
}

// Quota counts the lingering connections that a listener doesn't count as open. The zero value
// counts none. It is safe for concurrent use.
type Quota struct{ taken atomic.Int64 }

// Take reports whether one more connection may linger without being counted as open, if at most
// the given number may, and counts it if so. Each that was counted must be given back with Release.
func (q *Quota) Take(most int) bool {
	if q.taken.Add(1) <= int64(most) {
		return true
	}
	q.Release()
	return false
}

// Release gives back a connection that Take has counted.
func (q *Quota) Release() { q.taken.Add(-1) }
