package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/httpcheck"
)

// TestWriteErrorMakesTheEndIncomplete guards against a part of an answer counting as the whole where
// the request is small: the connection is reset after a part of an answer has arrived, and the write
// takes the error, so that the read sees a regular end.
func TestWriteErrorMakesTheEndIncomplete(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ended := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			ended <- struct{}{}
		}
	}()
	tr, _ := newTransport(t)
	for _, size := range []int{0, 1, maxInlineBody, maxInlineBody + 1} {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		resp, err := tr.Send(ctx, &Request{
			Address: l.Addr().String(), Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", size)),
			NewConnection: true, Check: func() error { <-ended; time.Sleep(20 * time.Millisecond); return nil },
		})
		if err != nil {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		resp.Close()
		require.Error(t, err, "%d bytes", size)
		require.True(t, BrokenOff(err), "it counts as the endpoint's end")
		var unfinished *httpcheck.UnfinishedRequestError
		if size <= maxInlineBody {
			// A larger body is written concurrently: the read may take the error.
			require.ErrorAs(t, err, &unfinished, "%d bytes", size)
		}
	}
}
