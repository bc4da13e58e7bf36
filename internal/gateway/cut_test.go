package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestResponseCutAnywhereIsNotWhole guards against a response that its endpoint cuts off, in the
// head, inside a number, in a chunk's size line or in the trailers, and that callers get as
// whole: it is cut at each byte, by a regular close and by a reset.
func TestResponseCutAnywhereIsNotWhole(t *testing.T) {
	const body = "0123456789abcdefghij"
	ok := "HTTP/1.1 200 OK\r\n" + ownHeader
	for name, response := range map[string]string{
		"length":          ok + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"length first":    strings.Replace(ok, "\r\n", fmt.Sprintf("\r\nContent-Length: %d\r\n", len(body)), 1) + "\r\n" + body,
		"chunks":          ok + "Transfer-Encoding: chunked\r\n\r\n14\r\n" + body + "\r\n0\r\n\r\n",
		"trailers":        ok + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n" + body + "\r\n0\r\nX-T: value\r\n\r\n",
		"after interim":   "HTTP/1.1 102 Processing\r\n\r\n" + ok + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"interim alone":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"end by close":    ok + "\r\n",
		"many lines":      ok + strings.Repeat("X-Filler: 0123456789\r\n", 4) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"length in parts": ok + "Content-Length: 20\r\nX-Last: 1\r\n\r\n" + body,
	} {
		for how, end := range map[string]func(net.Conn){"closed": closeConnection, "reset": reset} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				var at atomic.Int64
				w := newHarness(t, newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
					_, _ = io.WriteString(c, response[:at.Load()])
					end(c)
				}))
				whole := len(response)
				if name == "end by close" && how == "closed" {
					// A body that ends with its connection is whole after the head.
					whole = len(response) - 1
				}
				if how == "closed" {
					at.Store(int64(len(response)))
					got := w.call(t, "POST", "/calm/once/", "b", patient)
					require.False(t, got.broken)
					require.Equal(t, http.StatusOK, got.status, "the whole response")
				}
				for n := range whole {
					at.Store(int64(n))
					got := w.call(t, "POST", "/calm/once/", "b", patient)
					require.False(t, !got.broken && got.status < http.StatusInternalServerError, "cut at byte %d: %d %q", n, got.status, got.body)
					require.NotEqual(t, http.StatusServiceUnavailable, got.status, "cut at byte %d: it may have run", n)
				}
			})
		}
	}
}
