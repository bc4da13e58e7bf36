package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveRaw answers each connection's first request with the bytes, and then closes the
// connection, with a reset if asked to. It returns the address.
func serveRaw(t *testing.T, response string, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(c, response)
			if tcp, ok := c.(*net.TCPConn); ok && reset {
				// The bytes arrive before the reset, which discards what was not read.
				time.Sleep(20 * time.Millisecond)
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestAnswerThatBreaksOffIsNotComplete guards against a part of a service's answer being
// taken for the whole, for each way in which the end of an answer can be marked.
func TestAnswerThatBreaksOffIsNotComplete(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		response string
		reset    bool
		whole    bool
	}{
		"length, whole":           {ok + "Content-Length: 4\r\n\r\nabcd", false, true},
		"length, short":           {ok + "Content-Length: 8\r\n\r\nabcd", false, false},
		"chunks, whole":           {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", false, true},
		"chunks, no last chunk":   {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n", false, false},
		"chunks, within a chunk":  {ok + "Transfer-Encoding: chunked\r\n\r\n8\r\nabcd", false, false},
		"end of connection":       {ok + "\r\nabcd", false, true},
		"end of connection, 1.0":  {"HTTP/1.0 200 OK\r\n\r\nabcd", false, true},
		"reset of the connection": {ok + "\r\nabcd", true, false},
		"reset, empty body":       {ok + "\r\n", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCaller()
			defer c.Close()
			answer, err := c.Do(Call{Address: serveRaw(t, test.response, test.reset), Operation: "x", Timeout: 5 * time.Second})
			if !test.whole {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, 200, answer.Status)
			require.Equal(t, "abcd", string(answer.Body))
		})
	}
}

// TestAnswerCutAnywhereIsNotWhole guards against an answer that its endpoint cuts off, in the
// head, inside a number, in a chunk's size line or in the trailers, being taken for the whole.
func TestAnswerCutAnywhereIsNotWhole(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for name, response := range map[string]string{
		"length":        ok + "Content-Length: 20\r\nX-Last: 1\r\n\r\n0123456789abcdefghij",
		"chunks":        ok + "Transfer-Encoding: chunked\r\n\r\n14\r\n0123456789abcdefghij\r\n0\r\n\r\n",
		"trailers":      ok + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n0123456789abcdefghij\r\n0\r\nX-T: value\r\n\r\n",
		"after interim": "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 20\r\n\r\n0123456789abcdefghij",
		"end by close":  ok + "\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				whole := len(response)
				if name == "end by close" && !reset {
					// A body that ends with its connection is whole after the head.
					whole--
				}
				c := NewCaller()
				defer c.Close()
				if !reset {
					answer, err := c.Do(Call{Address: serveRaw(t, response, reset), Operation: "x", Timeout: 5 * time.Second})
					require.NoError(t, err, "the whole answer")
					require.Equal(t, 200, answer.Status)
				}
				for at := range whole {
					answer, err := c.Do(Call{Address: serveRaw(t, response[:at], reset), Operation: "x", Timeout: 5 * time.Second})
					require.Error(t, err, "cut at byte %d of %q: %d %q", at, response, answer.Status, answer.Body)
				}
			})
		}
	}
}

// TestStreamWithoutItsEndMarkerIsIncomplete guards against a stream that ends with its
// connection before, or inside, its end marker being taken for complete.
func TestStreamWithoutItsEndMarkerIsIncomplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, end := range map[string]string{
		"between two events":        "",
		"inside an event":           "id: r/1/1\ndata: ",
		"before the marker's end":   "id: r/1/1\ndata: [DONE]",
		"before the marker's blank": "id: r/1/1\ndata: [DONE]\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := New()
			defer c.Close()
			address := serveRaw(t, head+"id: r/1/0\ndata: a\n\n"+end, false)
			s, err := c.Open(context.Background(), Attempt{Address: address, Path: "/", Request: "r", Number: 1})
			require.NoError(t, err)
			defer s.Close()
			first, err := s.Next()
			require.NoError(t, err)
			require.Equal(t, "a", string(first.Data))
			_, err = s.Next()
			var incomplete *IncompleteStreamError
			require.ErrorAs(t, err, &incomplete)
		})
	}
}
