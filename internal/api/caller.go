package api

import (
	"net"
	"syscall"
	"time"
)

// connection is a caller's, as a request sees it.
type connection struct {
	net.Conn
}

// Gone implements prompt.Caller: it looks, without taking anything, whether
// the connection's read side ended. A caller that only shuts down its write
// side counts as gone, as in net/http.
func (c connection) Gone() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = ended(int(fd)) })
	return gone || err != nil
}

// ended reports whether a read would find the end of the stream or a reset.
func ended(fd int) bool {
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

// Abort implements prompt.Caller.
func (c connection) Abort() {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}
