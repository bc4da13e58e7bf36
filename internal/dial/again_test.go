package dial

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAgainRepeatsWithoutAnswer lets the first two tries run into their limit:
// the third one opens the connection.
func TestAgainRepeatsWithoutAnswer(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	tries := 0
	d := net.Dialer{ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		tries++
		if tries < 3 {
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	}}
	c, err := Again(context.Background(), d, l.Addr().String(), 5*time.Second)
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Equal(t, 3, tries)
}

// TestAgainStopsAtARefusal does not repeat what was answered.
func TestAgainStopsAtARefusal(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = Again(context.Background(), net.Dialer{}, address, 5*time.Second)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// TestAgainEndsWithItsLimit gives up.
func TestAgainEndsWithItsLimit(t *testing.T) {
	d := net.Dialer{ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done()
		return ctx.Err()
	}}
	_, err := Again(context.Background(), d, "127.0.0.1:1", 600*time.Millisecond)
	require.Error(t, err)
}
