package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/retry"
	"cornelsaddle.example/cornelsaddle/core/shutdown"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/ticket"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

const (
	// hedgeTimeout is the caller's timeout in these tests. Without a prediction, half of it is the
	// hedge delay.
	hedgeTimeout = 1200 * time.Millisecond
	// lateAnswer is after the hedge delay and before the caller's timeout.
	lateAnswer = 900 * time.Millisecond
	// endsWithin is the time in which work at an endpoint ends that nobody waits for.
	endsWithin = 500 * time.Millisecond
)

type script = func(int, *http.Request, []byte, net.Conn)

// lost is the script of an endpoint that runs a request and never responds.
func lost(_ int, _ *http.Request, _ []byte, c net.Conn) { _, _ = c.Read(make([]byte, 1)) }

// after returns a script that waits before it responds.
func after(wait time.Duration, then script) script {
	return func(n int, r *http.Request, b []byte, c net.Conn) {
		time.Sleep(wait)
		then(n, r, b, c)
	}
}

// whole is the body of a whole answer, and answers the script that sends it.
const whole = event1 + event2 + event3

var answers = respondWith("200 OK", ownHeader, whole)

// newHedging is like newHarness, with hedged requests.
func newHedging(t *testing.T, scripts ...script) (*harness, []*endpoint) {
	t.Helper()
	endpoints := make([]*endpoint, len(scripts))
	for i, s := range scripts {
		endpoints[i] = newEndpoint(t, s)
	}
	w := newHarness(t, endpoints...)
	w.gateway.cfg.HedgeSilent = true
	return w, endpoints
}

// recordRequests makes the limit on hedges allow a tenth of the number.
func (w *harness) recordRequests(n int) {
	for range n {
		w.gateway.guard("s").RecordRequest(time.Now())
	}
}

func (w *harness) callHedged(t *testing.T, path string) callerResponse {
	t.Helper()
	return w.call(t, "POST", path, "b", http.Header{hTimeout: {hedgeTimeout.String()}})
}

// requireEnds checks that a connection to the endpoint ends soon.
func requireEnds(t *testing.T, e *endpoint) {
	t.Helper()
	select {
	case <-e.closed:
	case <-time.After(endsWithin):
		t.Fatal("work that nobody waits for goes on")
	}
}

// eachKind runs a test with a plain call and a stream that may be sent again.
func eachKind(t *testing.T, test func(t *testing.T, path string)) {
	t.Helper()
	for _, path := range []string{"/safe/", "/stream/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			test(t, path)
		})
	}
}

// TestLostAnswerIsServedByAnother guards against requests that wait for a lost answer until their
// callers disconnect, and against blaming the first endpoint for an attempt that this VM has ended.
func TestLostAnswerIsServedByAnother(t *testing.T) {
	eachKind(t, func(t *testing.T, path string) {
		w, endpoints := newHedging(t, lost, answers, answers)
		begin := time.Now()
		got := w.callHedged(t, path)
		require.Less(t, time.Since(begin), lateAnswer)
		require.False(t, got.broken)
		require.Equal(t, whole, got.body)
		requireEnds(t, endpoints[0])
		require.Equal(t, []dispatch.Outcome{dispatch.Abandoned, dispatch.Served}, w.recordedOutcomes())
		require.Empty(t, endpoints[2].requests())
		require.EqualValues(t, 1, w.gateway.hedgesWon.Count())
	})
}

// TestLostEventsAreServedByAnother guards against streams whose header arrives at once and whose
// events are lost, and that are asked for elsewhere only after most callers have left.
func TestLostEventsAreServedByAnother(t *testing.T) {
	w, endpoints := newHedging(t, func(n int, r *http.Request, b []byte, c net.Conn) {
		streamHead(c)
		lost(n, r, b, c)
	}, answers)
	begin := time.Now()
	got := w.callHedged(t, "/stream/")
	require.False(t, got.broken)
	require.Equal(t, whole, got.body)
	require.Less(t, time.Since(begin), time.Second, "the patience of the route")
	requireEnds(t, endpoints[0])
	require.Equal(t, []dispatch.Outcome{dispatch.Abandoned, dispatch.Served}, w.recordedOutcomes())
	require.EqualValues(t, 1, w.gateway.hedgesWon.Count())
}

// TestLateAnswerEndsTheHedge guards against a second answer that is delivered as well, and against
// work of the second endpoint that goes on.
func TestLateAnswerEndsTheHedge(t *testing.T) {
	eachKind(t, func(t *testing.T, path string) {
		w, endpoints := newHedging(t, after(lateAnswer, answers), lost)
		got := w.callHedged(t, path)
		require.False(t, got.broken)
		require.Equal(t, whole, got.body)
		requireEnds(t, endpoints[1])
		require.Equal(t, []dispatch.Outcome{dispatch.Abandoned, dispatch.Served}, w.recordedOutcomes())
		require.Len(t, endpoints[1].requests(), 1)
		require.Zero(t, w.gateway.hedgesWon.Count())
	})
}

// TestUselessSecondAnswer guards against a first attempt that is ended for a second one that doesn't
// serve the request, and against one attempt more than the route allows.
func TestUselessSecondAnswer(t *testing.T) {
	for name, second := range map[string]script{
		"rejects":         respondWith("503 Full", ownHeader+hNotRun+": 1\r\n", ""),
		"fails":           respondWith("500 Oops", ownHeader, "failed"),
		"breaks off":      func(_ int, _ *http.Request, _ []byte, c net.Conn) { reset(c) },
		"answers another": respondWith("200 OK", hID+": r2\r\n"+hSeal+": s\r\n", whole),
		"lacks the seal":  respondWith("200 OK", hID+": r1\r\n", whole),
		"is overloaded":   respondWith("429 Slow", ownHeader, ""),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			eachKind(t, func(t *testing.T, path string) {
				w, endpoints := newHedging(t, after(lateAnswer, answers), second, answers)
				w.recordRequests(100)
				got := w.callHedged(t, path)
				require.False(t, got.broken)
				require.Equal(t, whole, got.body)
				require.Len(t, endpoints[0].requests(), 1)
				require.Len(t, endpoints[1].requests(), 1)
				require.Empty(t, endpoints[2].requests(), "max_attempts is exceeded")
			})
		})
	}
}

// TestFirstFailsBesideTheHedge guards against a second attempt that is ended for a first response
// that doesn't serve the request.
func TestFirstFailsBesideTheHedge(t *testing.T) {
	for name, first := range map[string]script{
		"rejects":    respondWith("503 Full", ownHeader+hNotRun+": 1\r\n", ""),
		"fails":      respondWith("500 Oops", ownHeader, "failed"),
		"breaks off": func(_ int, _ *http.Request, _ []byte, c net.Conn) { reset(c) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			eachKind(t, func(t *testing.T, path string) {
				w, endpoints := newHedging(t, after(hedgeTimeout/2+100*time.Millisecond, first), after(300*time.Millisecond, answers))
				got := w.callHedged(t, path)
				require.False(t, got.broken)
				require.Equal(t, whole, got.body)
				require.Len(t, endpoints[1].requests(), 1)
				want := dispatch.Failed
				if name == "rejects" {
					want = dispatch.Rejected
				}
				require.Equal(t, []dispatch.Outcome{want, dispatch.Served}, w.recordedOutcomes())
			})
		})
	}
}

// TestNoHedge guards against second copies of requests that may run only once, of routes with one
// attempt, beyond the retry budget or the limit on hedges, of a slow service, of a VM that stops, and
// where hedged requests are not enabled.
func TestNoHedge(t *testing.T) {
	for name, test := range map[string]struct {
		path string
		set  func(w *harness)
	}{
		"non-idempotent":   {"/once/", func(*harness) {}},
		"not resumable":    {"/fixed/", func(*harness) {}},
		"disabled":         {"/safe/", func(w *harness) { w.gateway.cfg.HedgeSilent = false }},
		"retry budget":     {"/safe/", func(w *harness) { w.allowance = 0 }},
		"limit":            {"/safe/", func(w *harness) { w.gateway.guard("s").Take(time.Now()) }},
		"others search":    {"/safe/", func(w *harness) { w.gateway.beginHedge("s") }},
		"VM stops":         {"/safe/", func(w *harness) { stopSoon(w, 0) }},
		"VM stops later":   {"/safe/", func(w *harness) { stopSoon(w, hedgeTimeout/4) }},
		"one endpoint":     {"/safe/", func(w *harness) { w.order = w.order[:1] }},
		"service is slow":  {"/safe/", func(w *harness) { makeSlow(w) }},
		"stream, slow":     {"/stream/", func(w *harness) { makeSlow(w) }},
		"caller must wait": {"/safe/", func(w *harness) { observe(w, "safe", 700*time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, endpoints := newHedging(t, after(lateAnswer, answers), answers)
			test.set(w)
			got := w.callHedged(t, test.path)
			require.False(t, got.broken)
			require.Equal(t, whole, got.body)
			require.Empty(t, endpoints[1].requests())
			require.Equal(t, dispatch.Served, w.recordedOutcomes()[len(w.recordedOutcomes())-1])
			require.Zero(t, w.gateway.resends.Count())
		})
	}
}

func stopSoon(w *harness, after time.Duration) {
	now := time.Now()
	stop := func() {
		w.gateway.Stop(shutdown.Plan{Late: now.Add(time.Minute), Answer: now.Add(time.Minute), Break: now.Add(time.Minute)})
	}
	if after == 0 {
		stop()
		return
	}
	time.AfterFunc(after, stop)
}

func makeSlow(w *harness) {
	for range 20 {
		w.gateway.guard("s").RecordOverdue()
	}
}

// observe makes the route's calls usually take the time.
func observe(w *harness, route string, took time.Duration) {
	x := exchange{gateway: w.gateway, route: w.table.Route("h", "/"+route+"/")}
	for range 16 {
		x.sent = time.Now().Add(-took)
		x.recordBegin(&openedAttempt{resp: &upstream.Response{Status: http.StatusOK, Header: http.Header{hSeal: {"s"}}}})
	}
}

// TestBudgetIsExhaustedBeforeSending guards against a hedged request that is sent though the budget
// was used up while it was placed, and against blaming the endpoint that was not asked.
func TestBudgetIsExhaustedBeforeSending(t *testing.T) {
	w, endpoints := newHedging(t, after(lateAnswer, answers), answers)
	w.gateway.cfg.Placer = &drainingPlacer{w}
	require.Equal(t, whole, w.callHedged(t, "/safe/").body)
	require.Empty(t, endpoints[1].requests())
	require.Equal(t, []dispatch.Outcome{dispatch.Abandoned, dispatch.Served}, w.recordedOutcomes())
}

// drainingPlacer uses the retry budget up with the second placement.
type drainingPlacer struct{ *harness }

func (p *drainingPlacer) Place(ctx context.Context, job dispatch.Job) (Placed, error) {
	if p.placements() == 1 {
		p.gateway.SetRetryBounds(retry.Bounds{})
	}
	return p.harness.Place(ctx, job)
}

// TestCallerLeavesDuringTheHedge guards against work of two silent endpoints that goes on after the
// caller has left.
func TestCallerLeavesDuringTheHedge(t *testing.T) {
	eachKind(t, func(t *testing.T, path string) {
		reached := make(chan struct{})
		w, endpoints := newHedging(t, lost, func(n int, r *http.Request, b []byte, c net.Conn) {
			close(reached)
			lost(n, r, b, c)
		})
		c := w.dial(t)
		_, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\n"+hKey+": key\r\n"+hID+": r1\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		<-reached
		require.NoError(t, c.Close())
		requireEnds(t, endpoints[0])
		requireEnds(t, endpoints[1])
		require.Eventually(t, func() bool { return len(w.recordedOutcomes()) == 2 }, 5*time.Second, time.Millisecond)
		require.Equal(t, []dispatch.Outcome{dispatch.Abandoned, dispatch.Abandoned}, w.recordedOutcomes())
	})
}

// TestBothSilent guards against a request of two silent endpoints that has no end, or ends as one
// that has not run.
func TestBothSilent(t *testing.T) {
	eachKind(t, func(t *testing.T, path string) {
		w, endpoints := newHedging(t, lost, lost, answers)
		w.recordRequests(100)
		got := w.callHedged(t, path)
		require.Equal(t, http.StatusGatewayTimeout, got.status)
		requireEnds(t, endpoints[0])
		requireEnds(t, endpoints[1])
		require.Empty(t, endpoints[2].requests())
	})
}

// TestHedgeReleasesMemory guards against memory at helpers that stays reserved after an attempt that
// was ended for another one, whichever it is.
func TestHedgeReleasesMemory(t *testing.T) {
	for name, scripts := range map[string][]script{
		"the second answers": {lost, answers}, "the first answers": {after(lateAnswer, answers), lost},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			held := &reservations{held: make(map[string]bool)}
			w, _ := newHedging(t, append(scripts, held.serve)...)
			w.gateway.cfg.Placer = &sharingPlacer{w}
			w.gateway.cfg.Tickets = ticket.NewReserver(ticket.Config{
				Encoder: held, Transport: w.gateway.cfg.Transport, Log: w.gateway.cfg.Log, Observe: func(ticket.Request, int, http.Header) {},
			})
			require.Equal(t, whole, w.callHedged(t, "/stream/").body)
			require.Eventually(t, func() bool { made, now := held.counts(); return made == 2 && now == 0 }, endsWithin, time.Millisecond)
		})
	}
}

// sharingPlacer places every job with a helper that holds memory for it.
type sharingPlacer struct{ *harness }

func (p *sharingPlacer) Place(ctx context.Context, job dispatch.Job) (Placed, error) {
	placed, err := p.harness.Place(ctx, job)
	placed.Helpers, placed.Shares = []string{"e3"}, []int{5}
	return placed, err
}

// reservations is the memory of a helper, and the provider.MemoryEncoder of its requests.
type reservations struct {
	mu   sync.Mutex
	held map[string]bool
	made int
}

func (r *reservations) Reserve(_ string, v provider.Reservation) (provider.ControlRequest, error) {
	return provider.ControlRequest{Method: "PUT", URI: "/" + v.ID}, nil
}

func (r *reservations) Release(_, id string) (provider.ControlRequest, error) {
	return provider.ControlRequest{Method: "DELETE", URI: "/" + id}, nil
}

func (r *reservations) Succeeded(status int) bool { return status == http.StatusOK }

func (r *reservations) counts() (made, held int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.made, len(r.held)
}

func (r *reservations) serve(_ int, req *http.Request, _ []byte, c net.Conn) {
	r.mu.Lock()
	switch {
	case req.Method == http.MethodDelete:
		delete(r.held, req.URL.Path)
	case !r.held[req.URL.Path]:
		r.held[req.URL.Path] = true
		r.made++
	}
	r.mu.Unlock()
	respond(c, "200 OK", "", "")
}

// TestHedgeIsLogged guards against a request of whose second endpoint the log doesn't tell the reason.
func TestHedgeIsLogged(t *testing.T) {
	w, _ := newHedging(t, lost, answers)
	var lines lockedBuffer
	log, err := event.New(&lines, "json", "info", "vm")
	require.NoError(t, err)
	w.gateway.cfg.Log = log
	observe(w, "safe", 50*time.Millisecond)
	require.Equal(t, whole, w.callHedged(t, "/safe/").body)
	require.Regexp(t, `"attempt":2,"beside":"e1","delay":500000000,"endpoint":"e2","event":760,"expected":\d+,"request":"r1","silent":\d+`, lines.String())
	require.Regexp(t, `"again":true,"attempt":1,"endpoint":"e1","event":712,"outcome":"abandoned","reason":"no response within 500ms, another endpoint answered"`, lines.String())
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestHedgesUnderLoad guards against races between the first answer and the hedge: answers that are
// mixed up, incomplete or missing, more attempts than the route allows, and attempts whose end is not
// reported. The endpoints respond around the hedge delay, reject, break off or lose the answer.
func TestHedgesUnderLoad(t *testing.T) {
	const callers, rounds = 100, 4
	// The hedge delay is half of the caller's timeout or of the route's patience.
	around := map[string]time.Duration{"/safe/": 280 * time.Millisecond, "/patient/thrice/": 130 * time.Millisecond}
	var mu sync.Mutex
	random, arrivals := rand.New(rand.NewSource(1)), make(map[string]int)
	s := func(_ int, r *http.Request, _ []byte, c net.Conn) {
		id := r.Header.Get(hID)
		mu.Lock()
		choice, spread := random.Intn(20), time.Duration(random.Int63n(int64(40*time.Millisecond)))
		arrivals[id]++
		mu.Unlock()
		head := hID + ": " + id + "\r\n" + hSeal + ": s\r\n"
		switch choice {
		case 0, 1:
			lost(0, r, nil, c)
		case 2:
			time.Sleep(spread)
			respond(c, "503 Full", head+hNotRun+": 1\r\n", "")
		case 3:
			time.Sleep(around[r.URL.Path] + spread)
			reset(c)
		case 4, 5:
			time.Sleep(around[r.URL.Path] + spread)
			respond(c, "200 OK", head, "id: 1\ndata: "+id+"\n\n")
		default:
			time.Sleep(spread)
			respond(c, "200 OK", head, "id: 1\ndata: "+id+"\n\n")
		}
	}
	w, endpoints := newHedging(t, s, s, s)
	for _, e := range endpoints {
		e.closed = make(chan struct{}, 1<<12)
	}
	w.allowance = 1e6
	free := &freePlacer{harness: w}
	w.gateway.cfg.Placer = free
	w.recordRequests(callers * rounds * 10)
	served := 0
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for round := range rounds {
				time.Sleep(time.Duration(caller) * 5 * time.Millisecond)
				id, path := fmt.Sprintf("c%d-%d", caller, round), []string{"/safe/", "/patient/thrice/"}[caller%2]
				got, body := w.callAs(t, id, path)
				mu.Lock()
				if got == http.StatusOK {
					served++
					assert.Equal(t, "id: 1\ndata: "+id+"\n\n", body)
				}
				assert.LessOrEqual(t, arrivals[id], 2+caller%2)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	require.Greater(t, served, callers*rounds*9/10)
	require.Positive(t, w.gateway.hedgesSent.Count())
	require.Positive(t, w.gateway.hedgesWon.Count())
	require.Eventually(t, func() bool { return len(w.recordedOutcomes()) == free.placed() }, 5*time.Second, time.Millisecond, "ends are missing")
	t.Logf("%d of %d served, %d hedged, %d won by the second", served, callers*rounds, w.gateway.hedgesSent.Count(), w.gateway.hedgesWon.Count())
}

// freePlacer counts the placements.
type freePlacer struct {
	*harness
	count int
}

func (p *freePlacer) Place(ctx context.Context, job dispatch.Job) (Placed, error) {
	placed, err := p.harness.Place(ctx, job)
	if err == nil {
		p.mu.Lock()
		p.count++
		p.mu.Unlock()
	}
	return placed, err
}

func (p *freePlacer) placed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// callAs sends a request with the ID, whose caller leaves after 600 ms.
func (w *harness) callAs(t *testing.T, id, path string) (status int, body string) {
	t.Helper()
	c := w.dial(t)
	defer func() { _ = c.Close() }()
	req, err := http.NewRequest(http.MethodPost, "http://h"+path, nil)
	require.NoError(t, err)
	req.Header = http.Header{hID: {id}, hKey: {"key"}, hTimeout: {"600ms"}}
	require.NoError(t, req.Write(c))
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(got)
}
