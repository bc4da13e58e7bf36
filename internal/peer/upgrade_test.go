package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/errcode"
)

// echoUpgraded sends back the bytes that it gets.
type echoUpgraded struct{ closed chan struct{} }

// Serve implements Upgraded.
func (*echoUpgraded) Serve(c net.Conn) { _, _ = io.Copy(c, c) }

// Close implements Upgraded.
func (u *echoUpgraded) Close() { close(u.closed) }

func upgrade(t *testing.T, c *Client, address string, method Method) (net.Conn, textMessage, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var out textMessage
	conn, _, err := c.Upgrade(ctx, address, method, textMessage{"x"}, &out)
	return conn, out, err
}

// TestUpgradeHandsTheConnectionOver checks that after the call any bytes pass, and that refusals,
// unknown methods and panics fail the call.
func TestUpgradeHandsTheConnectionOver(t *testing.T) {
	s, c := listen(t, oldKey), client(t, oldKey)
	upgraded := &echoUpgraded{closed: make(chan struct{})}
	RegisterUpgrade(s.mux, "bytes", func(_ context.Context, from Identity, p textMessage) (textMessage, Upgraded, error) {
		return textMessage{from.VM + ":" + p.Text}, upgraded, nil
	})
	RegisterUpgrade(s.mux, "refuse", func(context.Context, Identity, textMessage) (textMessage, Upgraded, error) {
		return textMessage{}, nil, errcode.New(errcode.Draining, "stopping")
	})
	RegisterUpgrade(s.mux, "panic", func(context.Context, Identity, textMessage) (textMessage, Upgraded, error) {
		panic("unexpected message")
	})
	conn, out, err := upgrade(t, c, s.Addr(), "bytes")
	require.NoError(t, err)
	require.Equal(t, "client:x", out.Text)
	sent := make([]byte, 1<<16)
	for i := range sent {
		sent[i] = byte(i)
	}
	go func() { _, _ = conn.Write(sent) }()
	got := make([]byte, len(sent))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, sent, got)
	require.NoError(t, conn.Close())
	<-upgraded.closed
	for method, code := range map[Method]errcode.Code{"refuse": errcode.Draining, "panic": errcode.Internal, "none": errcode.BadRequest} {
		_, _, err := upgrade(t, c, s.Addr(), method)
		require.Equal(t, code, errcode.From(err).Code, method)
	}
}

// TestUpgradeAtAnEarlierBuildFails checks that a VM of an earlier build, which takes the
// connection for one of ordinary calls, answers that it does not know the method.
func TestUpgradeAtAnEarlierBuildFails(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := listen(t, oldKey)
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		sess, err := s.handshaker().accept(conn, r)
		if err != nil {
			return
		}
		out := &stream{conn: conn, r: r, session: sess, maxBytes: 1 << 10, counters: NewCounters(metrics.NewRegistry()), meter: s.newMeter(sess.peer.VM), reject: func(Reason) {}}
		rpc := jsonrpc2.NewConn(context.Background(), out, jsonrpc2.HandlerWithError(rejectRequest))
		<-rpc.DisconnectNotify()
	}()
	start := time.Now()
	_, _, err = upgrade(t, client(t, oldKey), l.Addr().String(), "bytes")
	var unknown *jsonrpc2.Error
	require.ErrorAs(t, err, &unknown)
	require.EqualValues(t, jsonrpc2.CodeMethodNotFound, unknown.Code)
	require.Less(t, time.Since(start), waitLimit)
	require.NoError(t, l.Close())
	<-served
}
