package dial

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestConnectionTimeoutOptions checks the socket options by which the system closes a
// watched connection whose other side does not acknowledge data or answer keep-alive probes,
// at both ends. While TCP_USER_TIMEOUT is set, it decides when the probes give up: it must be
// shorter than the probes take.
func TestConnectionTimeoutOptions(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	d := Watched()
	c, err := d.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	require.NoError(t, Watch(accepted))
	for _, end := range []net.Conn{c, accepted} {
		raw, err := end.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		option := func(level, name int) int {
			value := 0
			var failure error
			require.NoError(t, raw.Control(func(fd uintptr) { value, failure = unix.GetsockoptInt(int(fd), level, name) }))
			require.NoError(t, failure)
			return value
		}
		require.Equal(t, int(userTimeout.Milliseconds()), option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
		require.Equal(t, 1, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
		require.Equal(t, int(keepAliveInterval.Seconds()), option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
		require.Equal(t, int(keepAliveInterval.Seconds()), option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
		require.Equal(t, keepAliveCount, option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
	}
	require.Less(t, userTimeout, keepAliveInterval+keepAliveCount*keepAliveInterval)
	require.Greater(t, userTimeout, time.Second, "an endpoint may be silent for a second")
}
