package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/routing"
)

// upload is a body that is larger than what an endpoint's system holds of it unread.
var upload = strings.Repeat("0123456789abcdef", 512<<10)

// newUploadHarness is like newHarness, with room for an upload.
func newUploadHarness(t *testing.T, endpoints ...*endpoint) *harness {
	t.Helper()
	return newHarnessWithLimits(t, nil, routing.Limits{MaxBodyBytes: len(upload)}, endpoints...)
}

// earlyEnds are the ways in which an endpoint ends its connection before it has read the request.
var earlyEnds = map[string]func(*net.TCPConn){
	"closed":           func(c *net.TCPConn) { _ = c.Close() },
	"half-closed":      func(c *net.TCPConn) { _ = c.CloseWrite() },
	"reset at once":    func(c *net.TCPConn) { reset(c) },
	"reset 0.1 s late": func(c *net.TCPConn) { time.Sleep(100 * time.Millisecond); reset(c) },
}

// newEarlyEndpoint starts an endpoint that writes the answer when it has read the header of a request,
// and then does what is after it with the connection.
func newEarlyEndpoint(t *testing.T, answer string, after func(*net.TCPConn)) *endpoint {
	t.Helper()
	return newHeadEndpoint(t, func(c *net.TCPConn, _ *http.Request) {
		// The system holds little of the upload, so that it can't be written as a whole.
		_ = c.SetReadBuffer(4 << 10)
		_, _ = io.WriteString(c, answer)
		after(c)
	})
}

// newHeadEndpoint starts an endpoint that handles each connection when the header of its request has
// arrived. The connections stay open until the end of the test unless the handler closes them.
func newHeadEndpoint(t *testing.T, handle func(*net.TCPConn, *http.Request)) *endpoint {
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
			t.Cleanup(func() { _ = c.Close() })
			tcp := c.(*net.TCPConn)
			go func() {
				if req, err := http.ReadRequest(bufio.NewReader(tcp)); err == nil {
					handle(tcp, req)
				}
			}()
		}
	}()
	return &endpoint{listener: l}
}

// TestEarlyPartOfAnAnswerIsNotComplete guards against a part of an answer being delivered as the
// whole: an endpoint answers before it has read an upload, without a length, and ends its connection.
func TestEarlyPartOfAnAnswerIsNotComplete(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n" + ownHeader
	for name, end := range earlyEnds {
		for kind, c := range map[string]struct{ path, answer string }{
			"idempotent":            {"/calm/safe/", head + "\r\npart"},
			"non-idempotent":        {"/calm/once/", head + "\r\npart"},
			"passed on, idempotent": {"/calm/safe/", head + "\r\n" + strings.Repeat("0123456789abcdef", 80<<10)},
			"passed on":             {"/calm/once/", head + "\r\n" + strings.Repeat("0123456789abcdef", 80<<10)},
			"stream":                {"/calm/stream/", head + "Content-Type: text/event-stream\r\n\r\n" + event1 + event2},
			"empty":                 {"/calm/once/", head + "\r\n"},
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				w := newUploadHarness(t, newEarlyEndpoint(t, c.answer, end))
				got := w.call(t, "POST", c.path, upload, patient)
				require.True(t, got.broken || got.status == http.StatusBadGateway, "status %d, %d bytes", got.status, len(got.body))
			})
		}
	}
}

// TestEarlyPartOfAnAnswerIsReplaced guards against such a part ending a request that another endpoint
// can answer: an idempotent one is sent again, and a stream is resumed after its last event.
func TestEarlyPartOfAnAnswerIsReplaced(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n" + ownHeader
	for name, end := range earlyEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			early := newEarlyEndpoint(t, head+"\r\npart", end)
			whole := newEndpoint(t, respondWith("200 OK", ownHeader, "whole"))
			got := newUploadHarness(t, early, whole).call(t, "POST", "/calm/safe/", upload, patient)
			require.False(t, got.broken)
			require.Equal(t, "whole", got.body)
			require.Len(t, whole.requests(), 1)

			early = newEarlyEndpoint(t, head+"Content-Type: text/event-stream\r\n\r\n"+event1+event2, end)
			rest := newEndpoint(t, respondWith("200 OK", ownHeader+"Content-Type: text/event-stream\r\n", event3))
			got = newUploadHarness(t, early, rest).call(t, "POST", "/calm/stream/", upload, patient)
			require.False(t, got.broken)
			require.Equal(t, event1+event2+event3, got.body)
			require.Equal(t, "2", rest.requests()[0].Header.Get(hLast))
		})
	}
}

// TestEarlyAnswerWithAnEndIsComplete guards against an answer that its framing completes counting as
// broken because the upload was not read, whatever becomes of the connection.
func TestEarlyAnswerWithAnEndIsComplete(t *testing.T) {
	t.Parallel()
	ends := map[string]func(*net.TCPConn){
		"kept":             func(*net.TCPConn) {},
		"half-closed":      earlyEnds["half-closed"],
		"reset 0.1 s late": earlyEnds["reset 0.1 s late"],
	}
	const head = "HTTP/1.1 200 OK\r\n" + ownHeader
	for name, end := range ends {
		for kind, answer := range map[string]string{
			"length": head + "Content-Length: 5\r\n\r\nwhole",
			"chunks": head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				for _, path := range []string{"/calm/once/", "/calm/safe/"} {
					got := newUploadHarness(t, newEarlyEndpoint(t, answer, end)).call(t, "POST", path, upload, patient)
					require.False(t, got.broken, path)
					require.Equal(t, "whole", got.body, path)
				}
			})
		}
	}
}

// TestAnswerThatEndsWithItsConnectionAfterTheUpload guards against a whole answer counting as broken:
// its endpoint has read all of the upload, after the begin of the answer or before it, and closes or
// half-closes the connection.
func TestAnswerThatEndsWithItsConnectionAfterTheUpload(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n" + ownHeader + "\r\n"
	for name, end := range map[string]func(*net.TCPConn){"closed": earlyEnds["closed"], "half-closed": earlyEnds["half-closed"]} {
		for _, early := range []bool{false, true} {
			e := newHeadEndpoint(t, func(c *net.TCPConn, req *http.Request) {
				if early {
					_, _ = io.WriteString(c, head+"wh")
				}
				if n, _ := io.Copy(io.Discard, req.Body); n != int64(len(upload)) {
					reset(c)
					return
				}
				if !early {
					_, _ = io.WriteString(c, head+"wh")
				}
				_, _ = io.WriteString(c, "ole")
				end(c)
			})
			w := newUploadHarness(t, e)
			for range 20 {
				got := w.call(t, "POST", "/calm/once/", upload, patient)
				require.False(t, got.broken, name)
				require.Equal(t, "whole", got.body, "%s, status %d", name, got.status)
			}
		}
	}
}

// TestEarlyEndpointGetsTheRestOfTheUpload guards against the upload breaking off at an endpoint that has
// answered before it has read it, keeps the connection and reads on, and against the upload going on
// to an endpoint that does not read on, or has answered with an error.
func TestEarlyEndpointGetsTheRestOfTheUpload(t *testing.T) {
	t.Parallel()
	for kind, answer := range map[string]string{
		"length": "200 OK\r\n" + ownHeader + "Content-Length: 5\r\n\r\nwhole",
		"chunks": "200 OK\r\n" + ownHeader + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"error":  "413 Too Large\r\n" + ownHeader + "Content-Length: 5\r\n\r\nwhole",
	} {
		for _, reads := range []bool{true, false} {
			read := make(chan int64, 1)
			answered := make(chan struct{})
			w := newUploadHarness(t, newHeadEndpoint(t, func(c *net.TCPConn, req *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 "+answer)
				<-answered
				if !reads {
					time.Sleep(time.Second)
				}
				n, _ := io.Copy(io.Discard, req.Body)
				read <- n
			}))
			got := w.call(t, "POST", "/calm/once/", upload, patient)
			require.Equal(t, "whole", got.body, kind)
			close(answered)
			n := <-read
			if reads && kind != "error" {
				require.EqualValues(t, len(upload), n, kind)
			} else {
				require.Less(t, n, int64(len(upload)), kind)
			}
		}
	}
}
