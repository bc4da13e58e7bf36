package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// TestLeavingEndpointReceivesNoRequests checks that an endpoint that says in a
// response that it leaves receives no further request, although placement chooses
// it again.
func TestLeavingEndpointReceivesNoRequests(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/"} {
		leaving := newEndpoint(t, respondWith("200 OK", ownHeader+hLeave+": 1\r\n", "x"))
		w := newHarness(t, leaving)
		w.pin("e1")
		require.Equal(t, 200, w.call(t, "POST", path, "b", nil).status)
		require.Equal(t, 503, w.call(t, "POST", path, "b", nil).status)
		require.Len(t, leaving.requests(), 1, path)
	}
}

// TestLeavingEndpointIsNotResumedAt checks that a stream that breaks is resumed
// elsewhere if its endpoint has said that it leaves.
func TestLeavingEndpointIsNotResumedAt(t *testing.T) {
	leaving := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+ownHeader+hLeave+": 1\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(c, event1)
		_ = c.Close()
	})
	spare := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
		streamHead(c)
		chunk(c, event2)
		lastChunk(c)
	})
	w := newHarness(t, leaving, spare)
	got := w.call(t, "POST", "/stream/", "b", nil)
	require.Equal(t, event1+event2, got.body)
	require.Len(t, leaving.requests(), 1)
}

// TestPausedEndpointReceivesNoRequests lets an endpoint turn a request away and ask
// for no more for a while. The request is served elsewhere, and so are later ones,
// whatever placement chooses.
func TestPausedEndpointReceivesNoRequests(t *testing.T) {
	paused := newEndpoint(t, respondWith("503 Service Unavailable", hNotRun+": 1\r\n"+hPause+": 1h\r\n", ""))
	spare := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarness(t, paused, spare)
	for range 3 {
		require.Equal(t, 200, w.call(t, "POST", "/once/", "b", nil).status)
	}
	require.Len(t, paused.requests(), 1)
	w.pin("e1")
	require.Equal(t, 503, w.call(t, "POST", "/once/", "b", nil).status)
	require.Len(t, paused.requests(), 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Equal(t, []string{"e1"}, w.jobs[len(w.jobs)-1].Exclude)
	require.Equal(t, dispatch.Abandoned, w.outcomes[len(w.outcomes)-1], "the endpoint may serve other VMs")
}

// TestAllEndpointsPaused checks that with every endpoint of a service paused, callers
// are refused at once with the time until the first of them may be asked again.
func TestAllEndpointsPaused(t *testing.T) {
	pause := func(text string) *endpoint {
		return newEndpoint(t, respondWith("503 Service Unavailable", hNotRun+": 1\r\n"+hPause+": "+text+"\r\n", ""))
	}
	a, b := pause("1h"), pause("30m")
	w := newHarness(t, a, b)
	require.Equal(t, 503, w.call(t, "POST", "/once/", "b", nil).status)
	placements := w.placements()
	got := w.call(t, "POST", "/once/", "b", nil)
	require.Equal(t, 503, got.status)
	retryAfter, err := time.ParseDuration(got.header.Get("Retry-After"))
	require.NoError(t, err)
	require.Greater(t, retryAfter, 29*time.Minute)
	require.LessOrEqual(t, retryAfter, 30*time.Minute)
	require.Equal(t, placements, w.placements(), "no placement is asked for")
	require.Len(t, a.requests(), 1)
	require.Len(t, b.requests(), 1)
}

// TestPermissionIsCheckedBeforeTheFirstByte lets the endpoint leave between the
// placement of a request and its first byte.
func TestPermissionIsCheckedBeforeTheFirstByte(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarness(t, e)
	x := &exchange{gateway: w.gateway, deadline: time.Now().Add(time.Minute)}
	entry, availability := w.Lookup("e1")
	require.Equal(t, directory.Available, availability)
	require.NoError(t, x.checkPermission(entry))
	w.Observed(directory.Incarnation{ID: "e1"}, provider.ResponseHeader{Leaving: true})
	var unavailable *UnavailableError
	require.ErrorAs(t, x.checkPermission(entry), &unavailable)
	require.Equal(t, directory.Leaving, unavailable.Availability)
}

// TestWithheldPromptIsRefused checks that a prompt with a part that crashes endpoints is
// refused at once, with the time until it may come again, as a request that did not run.
func TestWithheldPromptIsRefused(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarness(t, e)
	w.withhold("bad", time.Hour)
	got := w.call(t, "POST", "/once/", "b", http.Header{hParts: {"shared,bad,own"}})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, time.Hour.String(), got.header.Get("Retry-After"))
	require.Zero(t, w.placements())
	require.Empty(t, e.requests())
	require.Equal(t, http.StatusOK, w.call(t, "POST", "/once/", "b", http.Header{hParts: {"shared,own"}}).status)
}

// TestWithheldAfterAFailedAttempt checks that a prompt is not sent again once its part is
// found, and that the answer does not claim that it did not run.
func TestWithheldAfterAFailedAttempt(t *testing.T) {
	var w *harness
	crash := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
		w.withhold("bad", time.Hour)
		reset(c)
	})
	spare := newEndpoint(t, respondWith("200 OK", ownHeader, event1))
	w = newHarness(t, crash, spare)
	got := w.call(t, "POST", "/calm/stream/", "b", http.Header{hParts: {"bad,own"}})
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Empty(t, spare.requests())
}

// TestWithheldIsCheckedBeforeTheFirstByte finds the part between the placement of a
// request and its first byte.
func TestWithheldIsCheckedBeforeTheFirstByte(t *testing.T) {
	w := newHarness(t, newEndpoint(t, respondWith("200 OK", ownHeader, "x")))
	x := &exchange{gateway: w.gateway, deadline: time.Now().Add(time.Minute), call: provider.CallerHeader{PromptParts: []string{"bad", "own"}}}
	entry, _ := w.Lookup("e1")
	require.NoError(t, x.checkPermission(entry))
	w.withhold("bad", time.Hour)
	var withheld *WithheldError
	require.ErrorAs(t, x.checkPermission(entry), &withheld)
}

// TestPlacementLearnsOfBrokenAnswers checks which ends of an attempt count as broken off
// by the endpoint, as when it crashes.
func TestPlacementLearnsOfBrokenAnswers(t *testing.T) {
	closed := func(begin string) func(int, *http.Request, []byte, net.Conn) {
		return func(_ int, _ *http.Request, _ []byte, c net.Conn) {
			_, _ = io.WriteString(c, begin)
			_ = c.Close()
		}
	}
	const ok = "HTTP/1.1 200 OK\r\n" + ownHeader
	for name, test := range map[string]struct {
		path   string
		script func(int, *http.Request, []byte, net.Conn)
		broken bool
	}{
		"no answer":           {"/fixed/", closed(""), true},
		"reset":               {"/fixed/", func(_ int, _ *http.Request, _ []byte, c net.Conn) { reset(c) }, true},
		"head only":           {"/fixed/", closed(ok + "\r\n"), true},
		"inside an event":     {"/fixed/", closed(ok + "\r\n" + event1 + "id: 2"), true},
		"inside a chunk":      {"/fixed/", closed(ok + "Transfer-Encoding: chunked\r\n\r\n40\r\nid: 1"), true},
		"inside a body":       {"/once/", closed(ok + "Content-Length: 9\r\n\r\nabc"), true},
		"whole":               {"/fixed/", closed(ok + "\r\n" + event1), false},
		"server error":        {"/once/", respondWith("500 Oops", ownHeader, ""), false},
		"rejection":           {"/once/", respondWith("503 Full", ownHeader+hNotRun+": 1\r\n", ""), false},
		"silence":             {"/stream/", func(int, *http.Request, []byte, net.Conn) {}, false},
		"success unproven":    {"/once/", respondWith("200 OK", hID+": r1\r\n", "x"), false},
		"not listening":       {"/once/", nil, false},
		"bytes not an answer": {"/once/", closed("garbage\r\n\r\n"), false},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, test.script)
			if test.script == nil {
				require.NoError(t, e.listener.Close())
			}
			w := newHarness(t, e)
			w.call(t, "POST", test.path, "b", nil)
			w.mu.Lock()
			defer w.mu.Unlock()
			require.Equal(t, test.broken, w.brokenOff[0])
		})
	}
}

// TestWithheldRequestIsRefused checks that a request that crashes endpoints is refused at
// once and not sent again, and that one with another body or of another path is sent.
func TestWithheldRequestIsRefused(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarness(t, e)
	require.Equal(t, http.StatusOK, w.call(t, "POST", "/once/", "b", http.Header{}).status)
	w.withholdSubject(quarantine.Subject{Digest: w.digests[0]}, time.Hour)
	got := w.call(t, "POST", "/once/", "b", http.Header{})
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, time.Hour.String(), got.header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, w.call(t, "POST", "/once/", "c", http.Header{}).status)
	require.Equal(t, http.StatusOK, w.call(t, "POST", "/once/x", "b", http.Header{}).status)
	require.Len(t, e.requests(), 3)
}
