package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// sendUpload sends an upload to the endpoint through another VM, and reads the response.
func sendUpload(t *testing.T, endpoint string, bytes int) (string, error) {
	t.Helper()
	client := newClient(t, startBetween(t, "a", endpoint))
	unreached, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := unreached.Addr().String()
	require.NoError(t, unreached.Close())
	tr := upstream.New(upstream.Config{Relay: client})
	t.Cleanup(tr.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	resp, err := tr.Send(ctx, &upstream.Request{
		Address: address, FailureDomain: "x", Endpoint: endpointID, Method: http.MethodPost, URI: "/", Host: "h",
		Header: http.Header{}, Body: make([]byte, bytes), NewConnection: true,
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	require.Equal(t, "a", resp.Via)
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestEarlyPartOfAnAnswerIsNotComplete guards against a part of an answer counting as the whole where
// the endpoint ends its connection while the VM between still has some of the request.
func TestEarlyPartOfAnAnswerIsNotComplete(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"closed":           func(c *net.TCPConn) { _ = c.Close() },
		"half-closed":      func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(200 * time.Millisecond) },
		"reset at once":    func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"reset 0.1 s late": func(c *net.TCPConn) { time.Sleep(100 * time.Millisecond); _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			address := startEndpoint(t, func(c *net.TCPConn) {
				_ = c.SetReadBuffer(4 << 10)
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				end(c)
			})
			// This VM has written the smaller ones when the endpoint ends, and not the largest.
			for _, bytes := range []int{1 << 20, 4 << 20, 16 << 20} {
				body, err := sendUpload(t, address, bytes)
				require.Error(t, err, "%d bytes: %q", bytes, body)
			}
		})
	}
}

// TestAnswerAfterTheUploadIsComplete guards against a whole answer counting as incomplete because the
// VM between has not noticed yet that its last write has returned.
func TestAnswerAfterTheUploadIsComplete(t *testing.T) {
	const bytes = 4 << 20
	address := startEndpoint(t, func(c *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if n, _ := io.Copy(io.Discard, req.Body); n == bytes {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		}
	})
	for range 10 {
		body, err := sendUpload(t, address, bytes)
		require.NoError(t, err)
		require.Equal(t, "whole", body)
	}
}

// TestEndFromAnEarlierBuild guards against a VM between that does not tell what it has forwarded being
// trusted with more than the first frame, or with less.
func TestEndFromAnEarlierBuild(t *testing.T) {
	for size, want := range map[int]bool{1: true, maxPayload: true, maxPayload + 1: false} {
		own, other := net.Pipe()
		c := newConn(own, "a", "x")
		go func() {
			_, _ = io.CopyN(io.Discard, other, int64(size+headerBytes*((size+maxPayload-1)/maxPayload)))
			_ = writeFrame(other, frameEnd, nil)
		}()
		_, err := c.Write(make([]byte, size))
		require.NoError(t, err)
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, want, c.RequestForwarded(), size)
		require.NoError(t, own.Close())
	}
}
