package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCopyOfRefusalIsNotTheNextStream lets an engine refuse a prompt, and send that refusal once
// more before it answers the next one on the same connection: the copy was taken for proof that
// the next prompt has not run.
func TestCopyOfRefusalIsNotTheNextStream(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Request-Ran: no\r\nContent-Length: 0\r\n\r\n"
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for conns := 1; ; conns++ {
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
					_, _ = io.Copy(io.Discard, req.Body)
					if conns == 1 {
						_, _ = io.WriteString(c, refusal)
					}
					if conns > 1 || n > 1 {
						_, _ = io.WriteString(c, answer)
					}
				}
			}()
		}
	}()
	client := New()
	t.Cleanup(client.Close)
	var refused *RefusedError
	_, err = client.Open(context.Background(), Attempt{Address: l.Addr().String(), Path: "/", Request: "r1", Number: 1})
	require.ErrorAs(t, err, &refused)
	stream, err := client.Open(context.Background(), Attempt{Address: l.Addr().String(), Path: "/", Request: "r2", Number: 1})
	require.NoError(t, err)
	stream.Close()
}
