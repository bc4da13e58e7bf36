package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/shutdown"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// TestProxiesBytesUnchanged checks that URI, headers and bodies reach the
// endpoint and the caller unchanged, except for the headers that the gateway
// adds or removes.
func TestProxiesBytesUnchanged(t *testing.T) {
	e := newEndpoint(t, respondWith("201 Created", ownHeader+"X-Extra: 7\r\n", "\x00answer\r\n"))
	w := newHarness(t, e)
	a := w.call(t, "PUT", "/once/a%2Fb?x=%20&y", "\x01body", http.Header{"X-Mine": {"1", "2"}})
	require.Equal(t, 201, a.status)
	require.Equal(t, "\x00answer\r\n", a.body)
	require.Equal(t, "7", a.header.Get("X-Extra"))
	require.Equal(t, "s", a.header.Get(hSeal))
	require.Empty(t, a.header.Get("Content-Type"), "no header is added")
	seen := e.requests()
	require.Len(t, seen, 1)
	require.Equal(t, "/once/a%2Fb?x=%20&y", seen[0].RequestURI)
	require.Equal(t, "PUT", seen[0].Method)
	require.Equal(t, "h", seen[0].Host)
	require.Equal(t, []string{"1", "2"}, seen[0].Header["X-Mine"])
	require.Equal(t, "org", seen[0].Header.Get(hOrg))
	require.Equal(t, "e1", seen[0].Header.Get(hExpect))
	require.Empty(t, seen[0].Header.Get(hKey), "the key is not passed on")
	require.Empty(t, seen[0].Header.Get("Accept-Encoding"))
	require.Equal(t, "\x01body", e.bodies[0])
}

// TestRejectsBeforePlacement checks the failures that are returned before a
// request is placed: unknown route, unknown key, oversized body and missing
// configuration.
func TestRejectsBeforePlacement(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarness(t, e)
	require.Equal(t, 404, w.call(t, "GET", "/none/", "", nil).status)
	require.Equal(t, 401, w.call(t, "GET", "/safe/", "", http.Header{hKey: {"wrong"}}).status)
	require.Equal(t, 200, w.call(t, "GET", "/public/", "", http.Header{hKey: {"wrong"}}).status)
	require.Equal(t, 413, w.call(t, "POST", "/safe/", strings.Repeat("x", 1<<20+1), nil).status)
	w.setTable(nil)
	a := w.call(t, "GET", "/safe/", "", nil)
	require.Equal(t, 503, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Len(t, e.requests(), 1)
}

// TestNonIdempotentRequestIsNotRetried resets the connection after the request:
// it may have run, so it is neither sent again nor reported as not run.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	cut := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) { reset(c) })
	spare := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	for _, path := range []string{"/once/", "/fixed/"} {
		w := newHarness(t, cut, spare)
		a := w.call(t, "POST", path, "b", nil)
		require.Equal(t, 502, a.status, path)
		require.Empty(t, a.header.Get("Retry-After"))
		require.Equal(t, []dispatch.Outcome{dispatch.Failed}, w.recordedOutcomes())
	}
	require.Empty(t, spare.requests())
}

// TestNonIdempotentRequestsUseNewConnections checks that non-idempotent
// requests don't reuse an idle connection, which the endpoint may be closing.
func TestNonIdempotentRequestsUseNewConnections(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarness(t, e)
	for range 3 {
		require.Equal(t, 200, w.call(t, "POST", "/once/", "b", nil).status)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, 3, e.conns)
}

// TestIdempotentRequestsReuseConnections checks that idempotent requests share
// one connection.
func TestIdempotentRequestsReuseConnections(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarness(t, e)
	for range 3 {
		require.Equal(t, 200, w.call(t, "GET", "/safe/", "", nil).status)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, 1, e.conns)
}

// TestRetriesAfterProofOfNotRun checks that a request that an endpoint provably
// did not run is retried at another one, for idempotent and non-idempotent
// routes.
func TestRetriesAfterProofOfNotRun(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/"} {
		full := newEndpoint(t, respondWith("503 Service Unavailable", hNotRun+": 1\r\n", ""))
		spare := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
		w := newHarness(t, full, spare)
		require.Equal(t, 200, w.call(t, "POST", path, "b", nil).status, path)
		require.Equal(t, []dispatch.Outcome{dispatch.Rejected, dispatch.Served}, w.recordedOutcomes())
		require.Len(t, full.requests(), 1)
	}
}

// TestOrganisationPriorityOverridesRoutePriority checks the priority that
// placement receives.
func TestOrganisationPriorityOverridesRoutePriority(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarness(t, e)
	require.Equal(t, 200, w.call(t, "GET", "/safe/", "", nil).status)
	require.Equal(t, 200, w.call(t, "GET", "/safe/", "", http.Header{hKey: {"key of the first"}}).status)
	require.Equal(t, 2, w.jobs[0].Priority)
	require.Zero(t, w.jobs[1].Priority)
}

// TestPlacementReceivesTheDomain guards against requests without a preference, because the VM's failure
// domain is not passed on.
func TestPlacementReceivesTheDomain(t *testing.T) {
	w := newHarness(t, newEndpoint(t, respondWith("200 OK", ownHeader, "x")))
	w.gateway.cfg.FailureDomain = "x"
	w.call(t, "GET", "/safe/", "", nil)
	require.Equal(t, "x", w.jobs[0].Domain)
}

// TestPlacementReceivesFirstEventDeadline checks that the job's FirstBy follows
// from the route's Patience, and is zero for a route without one.
func TestPlacementReceivesFirstEventDeadline(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, event1))
	w := newHarness(t, e)
	w.call(t, "GET", "/stream/", "", nil)
	w.call(t, "GET", "/safe/", "", nil)
	require.Equal(t, time.Second, w.jobs[0].FirstEventBy.Sub(w.jobs[0].Arrived))
	require.Zero(t, w.jobs[1].FirstEventBy)
}

// TestPlacementReceivesTheKind checks that a job names what its cost depends on, and that the error of
// the estimate of a served call is counted; a failed call says nothing of it.
func TestPlacementReceivesTheKind(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	cut := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) { reset(c) })
	for _, c := range []struct {
		at      *endpoint
		counted int64
	}{{e, 1}, {cut, 0}} {
		w := newHarness(t, c.at)
		w.expected = time.Hour
		w.call(t, "PUT", "/once/", "body", nil)
		job, route := w.jobs[0], w.table.Route("h", "/once/").Name
		require.Equal(t, []any{route, "PUT", 4}, []any{job.Route, job.Method, job.BodyBytes})
		h, ok := w.gateway.cfg.Metrics.Registry.Get("prediction_error_us.org." + route).(*metrics.Histogram)
		require.True(t, ok)
		require.Equal(t, c.counted, h.Count())
		if c.counted > 0 {
			require.InDelta(t, time.Hour.Microseconds(), h.Max(), 60e6)
		}
	}
}

// TestReusedAddress sends to an address at which another endpoint now listens:
// the request names the intended endpoint, so the other one rejects it, and the
// request is retried elsewhere.
func TestReusedAddress(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/"} {
		ran := 0
		other := newEndpoint(t, func(_ int, req *http.Request, _ []byte, c net.Conn) {
			if req.Header.Get(hExpect) == "e1" {
				respond(c, "421 Misdirected Request", hNotRun+": 1\r\n", "")
				return
			}
			ran++
			respond(c, "200 OK", ownHeader, "x")
		})
		spare := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
		w := newHarness(t, other, spare)
		require.Equal(t, 200, w.call(t, "POST", path, "b", nil).status, path)
		require.Equal(t, []dispatch.Outcome{dispatch.Rejected, dispatch.Served}, w.recordedOutcomes())
		require.Zero(t, ran)
	}
}

// TestAttemptsAreBounded rejects the request at every endpoint: after two
// attempts it is reported as not run.
func TestAttemptsAreBounded(t *testing.T) {
	reject := respondWith("503 Service Unavailable", hNotRun+": 1\r\n", "")
	a, b, c := newEndpoint(t, reject), newEndpoint(t, reject), newEndpoint(t, reject)
	w := newHarness(t, a, b, c)
	got := w.call(t, "POST", "/once/", "b", nil)
	require.Equal(t, 503, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, got.header.Get(hSeal))
	require.Len(t, a.requests(), 1)
	require.Len(t, b.requests(), 1)
	require.Empty(t, c.requests())
}

// TestBudgetBoundsRetries uses up a retry budget of one: the later requests are
// not retried.
func TestBudgetBoundsRetries(t *testing.T) {
	reject := respondWith("503 Service Unavailable", hNotRun+": 1\r\n", "")
	a, b := newEndpoint(t, reject), newEndpoint(t, reject)
	w := newHarness(t, a, b)
	w.allowance = 1
	for range 3 {
		require.Equal(t, 503, w.call(t, "GET", "/safe/", "", nil).status)
	}
	require.Len(t, a.requests(), 3)
	require.Len(t, b.requests(), 1)
}

// TestUnprovenRejectionIsNotRelayed responds with 503, 429 or 408 without proof
// that the request did not run: the caller would take the status as such proof,
// so it gets 502.
func TestUnprovenRejectionIsNotRelayed(t *testing.T) {
	for _, status := range []string{"503 Busy", "429 Slow", "408 Late"} {
		e := newEndpoint(t, respondWith(status, ownHeader, "no"))
		w := newHarness(t, e)
		a := w.call(t, "POST", "/once/", "b", nil)
		require.Equal(t, 502, a.status, status)
		require.Empty(t, a.header.Get(hSeal))
	}
}

// TestEndpointErrorIsReturned checks that an endpoint's 500 is passed on, after
// a retry at another endpoint if the request is idempotent.
func TestEndpointErrorIsReturned(t *testing.T) {
	fail := respondWith("500 Oops", ownHeader, "broken")
	a, b := newEndpoint(t, fail), newEndpoint(t, fail)
	w := newHarness(t, a, b)
	got := w.call(t, "POST", "/once/", "b", nil)
	require.Equal(t, 500, got.status)
	require.Equal(t, "broken", got.body)
	require.Len(t, a.requests(), 1)
	require.Empty(t, b.requests())
	got = w.call(t, "GET", "/safe/", "", nil)
	require.Equal(t, 500, got.status)
	require.Len(t, b.requests(), 1)
}

// TestEndpointErrorIsReturnedWithoutAnotherEndpoint checks that the caller gets
// the endpoint's 500 if placement refuses the retry.
func TestEndpointErrorIsReturnedWithoutAnotherEndpoint(t *testing.T) {
	e := newEndpoint(t, respondWith("500 Oops", ownHeader, "broken"))
	w := newHarness(t, e)
	a := w.call(t, "GET", "/safe/", "", nil)
	require.Equal(t, 500, a.status)
	require.Equal(t, "broken", a.body)
	require.Equal(t, "s", a.header.Get(hSeal))
}

// TestUnsealedSuccessIsNotDelivered checks that a success without the
// endpoint's seal is replaced by 502.
func TestUnsealedSuccessIsNotDelivered(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", hID+": r1\r\n", "forged"))
	w := newHarness(t, e)
	require.Equal(t, 502, w.call(t, "POST", "/once/", "b", nil).status)
}

// TestTruncatedResponseIsReplaced truncates the response to an idempotent
// request, with and without a Content-Length: the request is retried at another
// endpoint.
func TestTruncatedResponseIsReplaced(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 9\r\n", "no length": ""} {
		cut := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+ownHeader+head+"\r\nhal")
			time.Sleep(20 * time.Millisecond)
			reset(c)
		})
		spare := newEndpoint(t, respondWith("200 OK", ownHeader, "whole"))
		w := newHarness(t, cut, spare)
		a := w.call(t, "GET", "/safe/", "", nil)
		require.Equal(t, "whole", a.body, name)
	}
}

// TestStrayResponsesAreDropped sends a late response to another request before
// the response, and a second response with it: neither reaches a caller.
func TestStrayResponsesAreDropped(t *testing.T) {
	response := func(header, body string) string {
		return "HTTP/1.1 200 OK\r\n" + header + "Content-Length: " + itoa(len(body)) + "\r\n\r\n" + body
	}
	e := newEndpoint(t, func(n int, _ *http.Request, _ []byte, c net.Conn) {
		respond(c, "200 OK", hID+": other\r\n"+hSeal+": s\r\n", "not yours")
		answer := response(ownHeader, "yours")
		if n == 1 {
			answer += response(ownHeader, "again")
		}
		// One write, so that the second response has arrived with the first one.
		_, _ = io.WriteString(c, answer)
	})
	w := newHarness(t, e)
	for range 3 {
		require.Equal(t, "yours", w.call(t, "GET", "/safe/", "", nil).body)
	}
}

// TestSecondResponseMayComeAtAnyTime lets the second response to a request come at any time
// up to the response to the next one, which has an ID of its own as each attempt of a caller.
func TestSecondResponseMayComeAtAnyTime(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		e := newEndpoint(t, func(_ int, req *http.Request, _ []byte, c net.Conn) {
			id := req.Header.Get(hID)
			respond(c, "200 OK", hID+": "+id+"\r\n"+hSeal+": s\r\n", "to "+id)
			time.Sleep(delay)
			respond(c, "200 OK", hID+": "+id+"\r\n"+hSeal+": s\r\n", "again")
		})
		w := newHarness(t, e)
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			require.Equal(t, "to "+id, w.call(t, "GET", "/safe/", "", http.Header{hID: {id}}).body, delay)
		}
	}
}

// TestEarlyResponse checks that a response sent before the endpoint has read a
// large request body reaches the caller.
func TestEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(c).ReadString('\n')
			respond(c, "400 No", ownHeader, "early")
		}
	}()
	w := newHarness(t, &endpoint{listener: l})
	a := w.call(t, "POST", "/once/", strings.Repeat("x", 900<<10), nil)
	require.Equal(t, 400, a.status)
	require.Equal(t, "early", a.body)
}

// TestCallerDisconnects checks that the endpoint's connection is closed soon
// after the caller disconnects, before a response and in the middle of a
// stream.
func TestCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		e := newEndpoint(t, func(_ int, _ *http.Request, _ []byte, c net.Conn) {
			if path == "/stream/" {
				streamHead(c)
				chunk(c, "id: 1\ndata: a\n\n")
			}
		})
		w := newHarness(t, e)
		c := w.dial(t)
		req, err := http.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("b"))
		require.NoError(t, err)
		req.Header.Set(hKey, "key")
		req.Header.Set(hID, "r1")
		require.NoError(t, req.Write(c))
		require.Eventually(t, func() bool { return len(e.requests()) == 1 }, 2*time.Second, time.Millisecond)
		require.NoError(t, c.Close())
		select {
		case <-e.closed:
		case <-time.After(2 * time.Second):
			require.Fail(t, "the endpoint's connection was not closed", path)
		}
		require.Eventually(t, func() bool { return len(w.recordedOutcomes()) == 1 }, time.Second, time.Millisecond)
		require.Equal(t, []dispatch.Outcome{dispatch.Abandoned}, w.recordedOutcomes())
	}
}

// TestTimeout checks that the caller gets 504 when the route's timeout expires,
// which does not state whether the request ran.
func TestTimeout(t *testing.T) {
	e := newEndpoint(t, func(int, *http.Request, []byte, net.Conn) {})
	w := newHarness(t, e)
	begun := time.Now()
	a := w.call(t, "POST", "/once/", "b", nil)
	require.Equal(t, 504, a.status)
	require.GreaterOrEqual(t, time.Since(begun), 2*time.Second)
}

// TestPlacementRefusal checks that a refusal by placement is reported as not
// run, with placement's Retry-After.
func TestPlacementRefusal(t *testing.T) {
	w := newHarness(t)
	w.refuse = &dispatch.Refusal{Reason: dispatch.ReasonTooLate, RetryAfter: 700 * time.Millisecond}
	a := w.call(t, "POST", "/stream/", "b", nil)
	require.Equal(t, 503, a.status)
	require.Equal(t, "700ms", a.header.Get("Retry-After"))
}

// TestStalePlacementsAreBounded lets placement return an unlisted endpoint
// every time, as a VM does that has not received the endpoint's removal: after a
// few placements the request is reported as not run.
func TestStalePlacementsAreBounded(t *testing.T) {
	w := newHarness(t)
	w.pinned = "gone"
	a := w.call(t, "POST", "/once/", "b", nil)
	require.Equal(t, 503, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	w.mu.Lock()
	defer w.mu.Unlock()
	require.LessOrEqual(t, len(w.jobs), 4)
}

// TestPanicEndsOneRequest checks that a defect ends its request without an answer, and
// no other one.
func TestPanicEndsOneRequest(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarness(t, e)
	w.setPanics(true)
	require.True(t, w.call(t, "GET", "/safe/", "", nil).broken)
	w.setPanics(false)
	require.Equal(t, 200, w.call(t, "GET", "/safe/", "", nil).status)
	require.Eventually(t, func() bool { return w.gateway.InFlight() == 0 }, 5*time.Second, time.Millisecond)
}

// TestStopClosesConnections checks that responses announce the end of the
// connection after Stop.
func TestStopClosesConnections(t *testing.T) {
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarness(t, e)
	w.gateway.Stop(shutdown.NewPlan(time.Now(), time.Minute))
	a := w.call(t, "GET", "/safe/", "", nil)
	require.Equal(t, 200, a.status)
	require.True(t, a.closes)
}
