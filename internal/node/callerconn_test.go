package node

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newPipeConn returns a callerConn and the remote end of its pipe, which is not
// read from; a write to the callerConn blocks until the test reads.
func newPipeConn(t *testing.T, writeTimeout time.Duration) (*callerConn, net.Conn) {
	t.Helper()
	local, remote := net.Pipe()
	t.Cleanup(func() { _ = remote.Close() })
	l := &callerListener{writeTimeout: writeTimeout}
	l.openCount.Add(1)
	return &callerConn{Conn: local, listener: l}, remote
}

func TestWriteToSlowCallerTimesOut(t *testing.T) {
	c, remote := newPipeConn(t, 20*time.Millisecond)
	go func() { _, _ = io.CopyN(io.Discard, remote, 3) }()
	_, err := c.Write([]byte("ab"))
	require.NoError(t, err)
	_, err = c.Write([]byte("cd"))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestAbortedConnectionRejectsWrites(t *testing.T) {
	c, _ := newPipeConn(t, time.Hour)
	result := make(chan error)
	go func() {
		_, err := c.Write([]byte("in progress"))
		result <- err
	}()
	require.NoError(t, c.SetWriteDeadline(time.Unix(1, 0)))
	require.Error(t, <-result)
	_, err := c.Write([]byte("later"))
	require.Error(t, err)
}

func TestCloseDecrementsOpenCountOnce(t *testing.T) {
	c, _ := newPipeConn(t, time.Second)
	require.NoError(t, c.Close())
	_ = c.Close()
	require.Zero(t, c.listener.openCount.Load())
}
