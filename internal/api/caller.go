package api

import (
	"net"
	"syscall"
	"time"
)

// callerConn is the caller's connection that a request arrived on.
type callerConn struct {
	net.Conn
}

// Gone implements prompt.Caller. It checks whether the connection's read side has
// ended, without consuming data. A caller that only shuts down its write side
// counts as gone, as in net/http.
func (c callerConn) Gone() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = readClosed(int(fd)) })
	return gone || err != nil
}

// readClosed reports whether a read from the socket would return the end of the
// stream or an error such as a reset.
func readClosed(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return n == 0
	case syscall.EAGAIN, syscall.EINTR:
		return false
	}
	return true
}

// Abort implements prompt.Caller. A write deadline in the past makes pending and
// later writes fail.
func (c callerConn) Abort() {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}
