package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// server starts a server that calls the script for each request, with the
// numbers of the connection and of the request on it, and returns its address.
func server(t *testing.T, script func(conn, n int, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for conn := 1; ; conn++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 1; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					script(conn, n, c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func send(t *testing.T, tr *Transport, address string, newConnection bool) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := tr.Send(ctx, &Request{Address: address, Method: "GET", URI: "/", Host: "h", Header: http.Header{}, NewConnection: newConnection})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func newTransport(t *testing.T) (*Transport, metrics.Counter) {
	t.Helper()
	opened := metrics.NewCounter()
	tr := New(Config{Opened: opened})
	t.Cleanup(tr.Close)
	return tr, opened
}

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

// TestConnectionsAreReused checks that a connection is reused unless the request
// requires a new one or the endpoint closes it.
func TestConnectionsAreReused(t *testing.T) {
	address := server(t, func(_, n int, c net.Conn) {
		if n == 3 {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
			return
		}
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=5\r\n\r\nx")
	})
	tr, opened := newTransport(t)
	for i, want := range []int{1, 1, 1, 2} {
		body, err := send(t, tr, address, false)
		require.NoError(t, err)
		require.Equal(t, "x", body)
		require.EqualValues(t, want, opened.Count(), i)
	}
	_, err := send(t, tr, address, true)
	require.NoError(t, err)
	require.EqualValues(t, 3, opened.Count())
}

// TestUnusableIdleConnection checks that an idle connection is not reused if
// the endpoint closed it or sent data that belongs to no request.
func TestUnusableIdleConnection(t *testing.T) {
	for name, after := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"bytes":  func(c net.Conn) { write(c, "stray") },
	} {
		address := server(t, func(conn, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
			if conn == 1 {
				time.Sleep(10 * time.Millisecond)
				after(c)
			}
		})
		tr, opened := newTransport(t)
		_, err := send(t, tr, address, false)
		require.NoError(t, err, name)
		time.Sleep(50 * time.Millisecond)
		_, err = send(t, tr, address, false)
		require.NoError(t, err, name)
		require.EqualValues(t, 2, opened.Count(), name)
	}
}

// TestErrorsDistinguishUnsentRequests checks that the error distinguishes a
// request that was not sent from one that may have run.
func TestErrorsDistinguishUnsentRequests(t *testing.T) {
	tr, _ := newTransport(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	refused := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = send(t, tr, refused, false)
	var unsent *UnsentError
	require.ErrorAs(t, err, &unsent)
	address := server(t, func(_, _ int, c net.Conn) { _ = c.Close() })
	_, err = send(t, tr, address, false)
	var noResponse *NoResponseError
	require.ErrorAs(t, err, &noResponse)
	require.False(t, noResponse.Reused)
}

// TestInterimResponsesAreSkipped checks that a 1xx response is not taken for
// the final one.
func TestInterimResponsesAreSkipped(t *testing.T) {
	address := server(t, func(_, _ int, c net.Conn) {
		write(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
	})
	tr, _ := newTransport(t)
	body, err := send(t, tr, address, false)
	require.NoError(t, err)
	require.Equal(t, "x", body)
}

// TestResponseWithoutLength checks that a response without a length is complete
// when its connection is closed, and an error when it is reset.
func TestResponseWithoutLength(t *testing.T) {
	address := server(t, func(conn, _ int, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\r\n\r\nabc")
		if tcp, ok := c.(*net.TCPConn); ok && conn == 2 {
			time.Sleep(20 * time.Millisecond)
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	})
	tr, _ := newTransport(t)
	body, err := send(t, tr, address, false)
	require.NoError(t, err)
	require.Equal(t, "abc", body)
	_, err = send(t, tr, address, false)
	require.Error(t, err)
}

// TestContextEndsTheExchange checks that Send returns when its context expires,
// with an error that leaves open whether the request ran.
func TestContextEndsTheExchange(t *testing.T) {
	address := server(t, func(int, int, net.Conn) {})
	tr, _ := newTransport(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := tr.Send(ctx, &Request{Address: address, Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	var noResponse *NoResponseError
	require.ErrorAs(t, err, &noResponse)
}

// TestIdleTimeout checks that the idle time is the endpoint's keep-alive
// timeout less a margin, or the default if it states none.
func TestIdleTimeout(t *testing.T) {
	for field, want := range map[string]time.Duration{
		"timeout=5, max=3": 5*time.Second - idleMargin, "": defaultIdleTimeout, "timeout=x": defaultIdleTimeout, "timeout=0": 0,
	} {
		resp := &http.Response{Header: http.Header{"Keep-Alive": {field}}}
		require.Equal(t, want, idleTimeout(resp), field)
	}
	require.Zero(t, idleTimeout(&http.Response{Close: true}))
}

// TestEndpointThatNeverResponds checks that Send returns when the context
// expires and that the error is not an UnsentError, as the request may have
// run.
func TestEndpointThatNeverResponds(t *testing.T) {
	tr, _ := newTransport(t)
	address := server(t, func(_, _ int, _ net.Conn) {})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := tr.Send(ctx, &Request{Address: address, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, NewConnection: true})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	var unsent *UnsentError
	require.NotErrorAs(t, err, &unsent)
}
