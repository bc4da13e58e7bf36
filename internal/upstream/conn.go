package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"cornelsaddle.example/cornelsaddle/internal/dial"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// userTimeout is how long sent bytes may go unacknowledged before the
	// connection is given up.
	userTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the silence after which a connection is probed.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of probes without an answer that end it.
	keepAliveCount = 2
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4 << 10
	// idleMargin is kept from the time at which the endpoint closes an idle
	// connection.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept where the endpoint does not
	// say.
	defaultIdleTimeout = 2 * time.Second
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	r       *bufio.Reader
	address string
	// used says that an answer came on the connection before.
	used bool
	// idleUntil is when the connection may not be used again.
	idleUntil time.Time
}

// open opens a connection whose silence ends it.
func open(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	c, err := dial.Again(ctx, d, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBuffer), address: address}, nil
}

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

// quiet reports whether nothing came on an idle connection: neither bytes, which
// belong to no request, nor its end.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, failure := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(failure, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// idleTimeout is how long the endpoint keeps the connection after the answer; zero
// for not at all.
func idleTimeout(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}
