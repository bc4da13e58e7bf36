package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
)

const (
	event1 = "id: 1\ndata: a\n\n"
	event2 = "id: 2\ndata: b\n\n"
	event3 = "id: 3\ndata: c\n\n"
)

// breaksAfterTwo sends two events and a part of the third, then resets the
// connection.
func breaksAfterTwo(_ int, _ *http.Request, _ []byte, c net.Conn) {
	streamHead(c)
	chunk(c, event1)
	chunk(c, event2+"id: 3\nda")
	time.Sleep(20 * time.Millisecond)
	reset(c)
}

// TestStreamIsRelayed checks that a complete stream reaches the caller.
func TestStreamIsRelayed(t *testing.T) {
	e := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
		streamHead(c)
		chunk(c, event1)
		chunk(c, event2)
		lastChunk(c)
	})
	w := newHarness(t, e)
	a := w.call(t, "POST", "/stream/", "b", nil)
	require.Equal(t, event1+event2, a.body)
	require.False(t, a.broken)
	require.Equal(t, 1, w.began)
	require.Equal(t, []dispatch.Outcome{dispatch.Served}, w.recordedOutcomes())
}

// TestEventsAreDeliveredAsTheyArrive checks that the first event reaches the
// caller before the endpoint sends the second.
func TestEventsAreDeliveredAsTheyArrive(t *testing.T) {
	sendSecond := make(chan struct{})
	e := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
		streamHead(c)
		chunk(c, event1)
		<-sendSecond
		chunk(c, event2)
		lastChunk(c)
	})
	w := newHarness(t, e)
	c := w.dial(t)
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, "POST /stream/ HTTP/1.1\r\nHost: h\r\n"+hKey+": key\r\n"+hID+": r1\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	got := ""
	buffer := make([]byte, 4096)
	for len(got) < len(event1) || got[len(got)-len(event1)-2:len(got)-2] != event1 {
		n, err := c.Read(buffer)
		require.NoError(t, err)
		got += string(buffer[:n])
	}
	close(sendSecond)
	rest, err := io.ReadAll(io.LimitReader(c, int64(len(event2))))
	require.NoError(t, err)
	require.NotEmpty(t, rest)
}

// TestBrokenStreamIsResumed checks that a broken stream is resumed at another
// endpoint after the last complete event, within one response.
func TestBrokenStreamIsResumed(t *testing.T) {
	cut := newEndpoint(t, breaksAfterTwo)
	spare := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
		streamHead(c)
		chunk(c, event3)
		lastChunk(c)
	})
	w := newHarness(t, cut, spare)
	a := w.call(t, "POST", "/stream/", "b", nil)
	require.Equal(t, event1+event2+event3, a.body)
	require.False(t, a.broken)
	require.Equal(t, "2", spare.requests()[0].Header.Get(hLast))
	require.Equal(t, []dispatch.Outcome{dispatch.Failed, dispatch.Served}, w.recordedOutcomes())
}

// TestFailedResumptionAbortsStream responds to the resumption with an error:
// the error must not become part of the stream, and the stream must not look
// complete.
func TestFailedResumptionAbortsStream(t *testing.T) {
	for _, status := range []string{"500 Oops", "400 No", "404 Gone"} {
		cut := newEndpoint(t, breaksAfterTwo)
		spare := newEndpoint(t, respondWith(status, ownHeader, "failed"))
		w := newHarness(t, cut, spare)
		a := w.call(t, "POST", "/stream/", "b", nil)
		require.Equal(t, event1+event2, a.body, status)
		require.True(t, a.broken, "the response must not look complete")
	}
}

// TestBrokenStreamWithoutResumption checks that a broken stream of a route
// without resumption is aborted and not retried.
func TestBrokenStreamWithoutResumption(t *testing.T) {
	cut := newEndpoint(t, breaksAfterTwo)
	spare := newEndpoint(t, breaksAfterTwo)
	w := newHarness(t, cut, spare)
	a := w.call(t, "POST", "/fixed/", "b", nil)
	require.Equal(t, event1+event2, a.body)
	require.True(t, a.broken)
	require.Empty(t, spare.requests())
}

// TestStreamThatBreaksBeforeItsFirstEvent checks that such a stream is replaced
// by another endpoint's.
func TestStreamThatBreaksBeforeItsFirstEvent(t *testing.T) {
	cut := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
		streamHead(c)
		chunk(c, "id: 1\nda")
		time.Sleep(20 * time.Millisecond)
		reset(c)
	})
	spare := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
		streamHead(c)
		chunk(c, event1)
		lastChunk(c)
	})
	w := newHarness(t, cut, spare)
	a := w.call(t, "POST", "/stream/", "b", nil)
	require.Equal(t, event1, a.body)
	require.False(t, a.broken)
	require.Empty(t, spare.requests()[0].Header.Get(hLast))
}

// TestStreamEndsAtItsTimeout checks that a stream is aborted when the route's
// timeout expires.
func TestStreamEndsAtItsTimeout(t *testing.T) {
	e := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
		streamHead(c)
		chunk(c, event1)
	})
	w := newHarness(t, e)
	a := w.call(t, "POST", "/stream/", "b", nil)
	require.Equal(t, event1, a.body)
	require.True(t, a.broken)
}
