package node

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pipe returns a callerConn whose other end nobody reads.
func pipe(t *testing.T, writeTimeout time.Duration) (*callerConn, net.Conn) {
	t.Helper()
	mine, theirs := net.Pipe()
	t.Cleanup(func() { _ = theirs.Close() })
	l := &callerListener{writeTimeout: writeTimeout}
	l.open.Add(1)
	return &callerConn{Conn: mine, listener: l}, theirs
}

func TestAWriteDoesNotWaitForASlowCallerForEver(t *testing.T) {
	c, theirs := pipe(t, 20*time.Millisecond)
	go func() { _, _ = io.CopyN(io.Discard, theirs, 3) }()
	_, err := c.Write([]byte("ab"))
	require.NoError(t, err)
	_, err = c.Write([]byte("cd"))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestAnAbortedConnectionTakesNoWrites(t *testing.T) {
	c, _ := pipe(t, time.Hour)
	result := make(chan error)
	go func() {
		_, err := c.Write([]byte("under way"))
		result <- err
	}()
	require.NoError(t, c.SetWriteDeadline(time.Unix(1, 0)))
	require.Error(t, <-result)
	_, err := c.Write([]byte("later"))
	require.Error(t, err)
}

func TestCloseCountsAConnectionOutOnce(t *testing.T) {
	c, _ := pipe(t, time.Second)
	require.NoError(t, c.Close())
	_ = c.Close()
	require.Zero(t, c.listener.open.Load())
}
