package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cornelsaddle.example/cornelsaddle/core/reach"
)

// FuzzResponse reads whatever an endpoint may send in response to a request.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=5\r\n\r\nx"))
	f.Add([]byte("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=-9999999999999\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 5\r\n\r\n"))
	f.Add([]byte("HTTP/9.9 999 \r\n\r\n\x00\xff"))
	f.Fuzz(func(_ *testing.T, response []byte) {
		here, there := net.Pipe()
		defer func() { _ = here.Close() }()
		go func() {
			// The reader may have closed the pipe.
			_, _ = there.Write(response)
			_ = there.Close()
		}()
		if here.SetDeadline(time.Now().Add(5*time.Second)) != nil {
			return
		}
		c := newConn(here, reach.Path{Address: "a"}, newPaths(nil))
		match := func(h http.Header) Match {
			if h.Get("X-Other") != "" {
				return Other
			}
			return Own
		}
		raw, _, err := readResponse(c, &Request{Method: "GET", Match: match})
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(raw.Body, 1<<20))
		_ = idleTimeout(raw)
	})
}
