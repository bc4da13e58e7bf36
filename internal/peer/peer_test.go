package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

const (
	oldKey    = "old-key-0123456789"
	newKey    = "new-key-0123456789"
	waitLimit = 10 * time.Second
)

type textMessage struct {
	Text string `json:"text"`
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTestLogger(t *testing.T) *event.Logger {
	t.Helper()
	log, err := event.New(io.Discard, "json", "error", "test")
	require.NoError(t, err)
	return log
}

func echoMux() *Mux {
	mux := NewMux()
	Register(mux, "echo", func(_ context.Context, from Identity, p textMessage) (textMessage, error) {
		return textMessage{from.VM + ":" + p.Text}, nil
	})
	Register(mux, "fail", func(context.Context, Identity, textMessage) (textMessage, error) {
		return textMessage{}, errcode.New(errcode.LeaseLost, "gone")
	})
	Register(mux, "panic", func(context.Context, Identity, textMessage) (textMessage, error) {
		panic("unexpected message")
	})
	return mux
}

// TestPanickingHandlerFailsItsRequest checks that a handler that panics fails its
// request, and that the server goes on.
func TestPanickingHandlerFailsItsRequest(t *testing.T) {
	s, c := listen(t, oldKey), client(t, oldKey)
	_, _, err := call(t, c, s.Addr(), "panic", "x")
	require.Equal(t, errcode.Internal, errcode.From(err).Code)
	out, _, err := call(t, c, s.Addr(), "echo", "x")
	require.NoError(t, err)
	require.Equal(t, "client:x", out.Text)
}

func listen(t *testing.T, keys ...string) *Server {
	t.Helper()
	cfg := Config{Self: Identity{"server", 7}, Keys: keys, MaxMessageBytes: 1 << 10}
	s, err := Listen("127.0.0.1:0", cfg, echoMux(), newTestLogger(t), metrics.NewRegistry())
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func client(t *testing.T, keys ...string) *Client {
	t.Helper()
	cfg := Config{Self: Identity{"client", 3}, Keys: keys, MaxMessageBytes: 1 << 12}
	c, err := NewClient(cfg, NewMux(), newTestLogger(t), metrics.NewRegistry())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func call(t *testing.T, c *Client, address string, method Method, text string) (textMessage, Identity, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var out textMessage
	responder, err := c.Call(ctx, address, method, textMessage{text}, &out)
	return out, responder, err
}

func TestCall(t *testing.T) {
	s := listen(t, oldKey)
	c := client(t, oldKey)
	out, responder, err := call(t, c, s.Addr(), "echo", "hello")
	require.NoError(t, err)
	require.Equal(t, "client:hello", out.Text)
	require.Equal(t, Identity{"server", 7}, responder)

	_, _, err = call(t, c, s.Addr(), "fail", "")
	require.True(t, errcode.Is(err, errcode.LeaseLost), "%v", err)
	_, _, err = call(t, c, s.Addr(), "none", "")
	require.Error(t, err)
}

func TestKeyRotation(t *testing.T) {
	cases := []struct {
		name           string
		server, client []string
		ok             bool
	}{
		{"same", []string{oldKey}, []string{oldKey}, true},
		{"server has both", []string{oldKey, newKey}, []string{oldKey}, true},
		{"client proves the new one", []string{oldKey, newKey}, []string{newKey, oldKey}, true},
		{"old one is gone", []string{newKey}, []string{oldKey}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := listen(t, tc.server...)
			_, _, err := call(t, client(t, tc.client...), s.Addr(), "echo", "x")
			if tc.ok {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
			require.Eventually(t, func() bool { return s.counters.Rejected.Count() == 1 }, waitLimit, time.Millisecond)
		})
	}
}

func TestOversizeIsDroppedAndCounted(t *testing.T) {
	s := listen(t, oldKey)
	c := client(t, oldKey)
	_, _, err := call(t, c, s.Addr(), "echo", strings.Repeat("x", 2<<10))
	require.Error(t, err)
	require.Eventually(t, func() bool { return s.counters.Rejected.Count() == 1 }, waitLimit, time.Millisecond)
	_, _, err = call(t, c, s.Addr(), "echo", "small")
	require.NoError(t, err, "the next message is served on a new connection")
}

// TestConnectionDuringCloseIsNotCounted accepts a connection while the server closes: it
// is not one too many. One above the limit is.
func TestConnectionDuringCloseIsNotCounted(t *testing.T) {
	s := listen(t, oldKey)
	accepted, other := net.Pipe()
	defer func() { _ = other.Close() }()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	require.False(t, s.add(accepted))
	s.refuse(accepted)
	require.Zero(t, s.counters.Rejected.Count())
	s.mu.Lock()
	s.closed = false
	s.mu.Unlock()
	s.refuse(accepted)
	require.EqualValues(t, 1, s.counters.Rejected.Count())
}

// recordingConn is a connection that keeps a copy of all bytes written to it.
type recordingConn struct {
	net.Conn
	mu   sync.Mutex
	sent bytes.Buffer
}

func (r *recordingConn) Write(p []byte) (int, error) {
	r.mu.Lock()
	r.sent.Write(p)
	r.mu.Unlock()
	return r.Conn.Write(p)
}

// TestReplayIsRefused records a connection and sends its one message again on the
// same connection, then all its bytes on a new one. The server must reject both.
func TestReplayIsRefused(t *testing.T) {
	s := listen(t, oldKey)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", s.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
		return conn
	}
	h := handshaker{self: Identity{"client", 3}, keys: []string{oldKey}, timeout: waitLimit}
	conn := &recordingConn{Conn: dial()}
	r := bufio.NewReader(conn)
	sess, err := h.connect(conn, r)
	require.NoError(t, err)
	out := &stream{conn: conn, r: r, session: sess, maxBytes: 1 << 10, counters: NewCounters(metrics.NewRegistry()), meter: s.newMeter(sess.peer.VM), reject: func(Reason) {}}
	handshakeBytes := conn.sent.Len()
	request := json.RawMessage(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{"text":"pay"}}`)
	require.NoError(t, out.WriteObject(request))
	var answer json.RawMessage
	require.NoError(t, out.ReadObject(&answer))
	recorded := append([]byte(nil), conn.sent.Bytes()...)

	_, err = conn.Conn.Write(recorded[handshakeBytes:])
	require.NoError(t, err)
	require.Error(t, out.ReadObject(&answer), "message replayed on its own connection")

	replay := dial()
	_, err = replay.Write(recorded)
	require.NoError(t, err)
	rest, _ := io.ReadAll(replay)
	require.NotContains(t, string(rest), "pay", "whole connection replayed")
	require.Eventually(t, func() bool { return s.counters.Rejected.Count() == 2 }, waitLimit, time.Millisecond)
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{255, 255, 255, 255, 0})
	f.Add([]byte{0, 0, 0, 9, 'x'})
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, err := readFrame(bufio.NewReader(bytes.NewReader(data)), 64)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(payload), 64)
		require.True(t, bytes.HasPrefix(data, appendFrame(nil, payload)))
	})
}

// FuzzHandshake sends arbitrary bytes to the server's side of a handshake, which
// must fail.
func FuzzHandshake(f *testing.F) {
	f.Add(appendFrame(nil, []byte(`{"vm":"x","nonce":"AA==","key_id":"AA=="}`)))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		serverEnd, clientEnd := net.Pipe()
		go func() {
			_, _ = clientEnd.Write(data)
			_ = clientEnd.Close()
		}()
		defer func() { _ = serverEnd.Close() }()
		h := handshaker{self: Identity{"server", 1}, keys: []string{oldKey}, timeout: time.Second}
		_, err := h.accept(serverEnd, bufio.NewReader(serverEnd))
		require.Error(t, err)
	})
}
