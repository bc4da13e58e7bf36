package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
)

// TestInvalidStatusEndsTheAttempt guards against a status that is not valid being taken for an
// interim response, so that the request waits for another one until its deadline, or being passed on.
// The connection is kept open, as an endpoint does that has answered.
func TestInvalidStatusEndsTheAttempt(t *testing.T) {
	t.Parallel()
	header := http.Header{hTimeout: {"5s"}}
	for _, status := range []string{"000", "001", "099", "101", "1000", "20", "2x0", "+20", "-20", "+99", ""} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			t.Run(status, func(t *testing.T) {
				t.Parallel()
				invalid := func(_ int, _ *http.Request, _ []byte, c net.Conn) {
					_, _ = io.WriteString(c, before+"HTTP/1.1 "+status+" X\r\n"+ownHeader+hNotRun+": yes\r\nContent-Length: 4\r\n\r\npart")
				}
				e := newEndpoint(t, invalid)
				w := newHarness(t, e, newEndpoint(t, respondWith("200 OK", ownHeader, "whole")))
				got := w.call(t, "POST", "/calm/once/", "b", header)
				require.Equal(t, http.StatusBadGateway, got.status, "it may have run, and did not wait for its deadline")
				got = w.call(t, "POST", "/calm/safe/", "b", header)
				require.Equal(t, "whole", got.body)
				require.Equal(t, []dispatch.Outcome{dispatch.Failed, dispatch.Failed, dispatch.Served}, w.recordedOutcomes())
				<-e.closed
				<-e.closed
			})
		}
	}
}

// TestStatusAboveTheStandardIsAServerError guards against a status above 599 counting as a success or
// as an answer that another endpoint need not give: it is a server error, as RFC 9110 has it.
func TestStatusAboveTheStandardIsAServerError(t *testing.T) {
	for _, status := range []string{"600", "999"} {
		w := newHarness(t, newEndpoint(t, respondWith(status+" X", ownHeader, "odd")), newEndpoint(t, respondWith("200 OK", ownHeader, "whole")))
		got := w.call(t, "POST", "/calm/safe/", "b", patient)
		require.Equal(t, "whole", got.body)
		w = newHarness(t, newEndpoint(t, respondWith(status+" X", ownHeader, "odd")))
		got = w.call(t, "POST", "/calm/once/", "b", patient)
		require.Equal(t, "odd", got.body)
		require.Equal(t, []dispatch.Outcome{dispatch.Failed}, w.recordedOutcomes())
	}
}
