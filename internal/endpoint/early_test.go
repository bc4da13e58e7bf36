package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveHeads starts an endpoint that handles each connection when the header of its request has
// arrived, and closes it after that. It returns the address.
func serveHeads(t *testing.T, handle func(*net.TCPConn, *http.Request)) string {
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
			go func() {
				defer func() { _ = c.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					handle(c.(*net.TCPConn), req)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestEarlyPartOfAnAnswerIsNotComplete guards against a part of an answer being taken for the whole
// where a service or an engine answers without a length before it has read the request, and ends its
// connection.
func TestEarlyPartOfAnAnswerIsNotComplete(t *testing.T) {
	// The smaller one is written to the system as a whole, unread.
	for _, bytes := range []int{1 << 20, 8 << 20} {
		for name, end := range map[string]func(*net.TCPConn){
			"closed":           func(c *net.TCPConn) { _ = c.Close() },
			"half-closed":      func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(time.Second) },
			"reset at once":    func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
			"reset 0.1 s late": func(c *net.TCPConn) { time.Sleep(100 * time.Millisecond); _ = c.SetLinger(0); _ = c.Close() },
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				early := func(answer string) string {
					return serveHeads(t, func(c *net.TCPConn, _ *http.Request) {
						_ = c.SetReadBuffer(4 << 10)
						_, _ = io.WriteString(c, answer)
						end(c)
					})
				}
				calls := NewCaller()
				defer calls.Close()
				answer, err := calls.Do(Call{Address: early("HTTP/1.1 200 OK\r\n\r\npart"), Operation: "x", Body: make([]byte, bytes), Timeout: 2 * time.Second})
				require.Error(t, err, "%d bytes: %q", bytes, answer.Body)

				streams := New()
				defer streams.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				address := early("HTTP/1.1 200 OK\r\n\r\nid: r/1/0\ndata: a\n\n")
				s, err := streams.Open(ctx, Attempt{Address: address, Path: "/", Request: "r", Number: 1, Body: make([]byte, bytes)})
				if err != nil {
					return
				}
				defer s.Close()
				for range 2 {
					if _, err = s.Next(); err != nil {
						break
					}
				}
				require.Error(t, err)
			})
		}
	}
}

// TestAnswerAfterTheRequestIsComplete guards against a whole answer that ends with its connection
// counting as incomplete.
func TestAnswerAfterTheRequestIsComplete(t *testing.T) {
	const bytes = 4 << 20
	for _, half := range []bool{false, true} {
		address := serveHeads(t, func(c *net.TCPConn, req *http.Request) {
			if n, _ := io.Copy(io.Discard, req.Body); n != bytes {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			if half {
				_ = c.CloseWrite()
				time.Sleep(100 * time.Millisecond)
			}
		})
		c := NewCaller()
		defer c.Close()
		for range 10 {
			answer, err := c.Do(Call{Address: address, Operation: "x", Body: make([]byte, bytes), Timeout: 10 * time.Second})
			require.NoError(t, err)
			require.Equal(t, "whole", string(answer.Body))
		}
	}
}
