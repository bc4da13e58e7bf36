package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	traffic "cornelsaddle.example/cornelsaddle/internal/metrics"
)

// TestBytesAreCountedByRequest sends requests for two causes on one connection: each counts
// its own bytes.
func TestBytesAreCountedByRequest(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nKeep-Alive: timeout=5\r\n\r\nx"
	address := server(t, func(_, _ int, c net.Conn) { write(c, response) })
	registry := metrics.NewRegistry()
	tr := New(Config{FailureDomain: "d1", Traffic: traffic.NewTraffic(registry)})
	t.Cleanup(tr.Close)
	for _, cause := range []traffic.Cause{traffic.CauseRequest, traffic.CauseReservation, traffic.CauseRequest} {
		resp, err := tr.Send(context.Background(), &Request{Address: address, FailureDomain: "d2", Cause: cause, Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: []byte("body")})
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		resp.Close()
	}
	bytes := func(cause traffic.Cause, direction traffic.Direction) int64 {
		name := traffic.Labelled("traffic.bytes", "cause", string(cause), "direction", string(direction), "domain", "other")
		return metrics.GetOrRegisterCounter(name, registry).Count()
	}
	require.EqualValues(t, 2*len(response), bytes(traffic.CauseRequest, traffic.Received))
	require.EqualValues(t, len(response), bytes(traffic.CauseReservation, traffic.Received))
	sent := len("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	require.EqualValues(t, 2*sent, bytes(traffic.CauseRequest, traffic.Sent))
	require.EqualValues(t, sent, bytes(traffic.CauseReservation, traffic.Sent))
}
