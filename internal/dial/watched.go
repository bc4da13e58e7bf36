package dial

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may stay unacknowledged before the system
	// closes a watched connection (TCP_USER_TIMEOUT). While it is set, Linux goes by it
	// and not by the number of unanswered keep-alive probes: an idle connection ends at the
	// first probe that is due after it, 2 s after the last packet of the other end.
	userTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the idle time before the first TCP keep-alive probe,
	// and the time between probes.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which systems without
	// TCP_USER_TIMEOUT close the connection.
	keepAliveCount = 2
)

// Watched returns a dialer of connections that the system closes when the other end stops
// acknowledging data or answering keep-alive probes.
func Watched() net.Dialer {
	return net.Dialer{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

// Watch makes an accepted connection a watched one.
func Watch(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(keepAlive()); err != nil {
		return errors.WithStack(err)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	return setUserTimeout("", "", raw)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(failure)
}
