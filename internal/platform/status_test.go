package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// TestInvalidStatusOfTheStoreIsNoSuccess guards against a status of 000, which fasthttp reads as 200,
// or another one that is not valid, making a read or a write count as done.
func TestInvalidStatusOfTheStoreIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101"} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nContent-Length: 27\r\n\r\n{\"applied\":true,\"version\":1}", status)
				}
				_ = c.Close()
			}
		}()
		c := New(l.Addr().String(), time.Second)
		defer c.Close()
		_, outcome, err := c.Try(ClassControlWrite, wire.Txn{}, time.Second)
		require.Error(t, err, status)
		require.Equal(t, OutcomeUnknown, outcome, status)
		_, err = c.GetObject("k")
		require.Error(t, err, status)
	}
}
