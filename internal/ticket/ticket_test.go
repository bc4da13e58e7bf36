package ticket

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// jsonEncoder is a provider.MemoryEncoder that encodes requests for fakeEngine as JSON.
type jsonEncoder struct{}

type controlMessage struct {
	Op     string
	ID     string
	Tokens int
	HoldMs int64
}

func encode(o controlMessage) (provider.ControlRequest, error) {
	body, err := json.Marshal(o)
	return provider.ControlRequest{Method: http.MethodPost, URI: "/order", Header: http.Header{}, Body: body}, err
}

func (jsonEncoder) Reserve(_ string, r provider.Reservation) (provider.ControlRequest, error) {
	return encode(controlMessage{"reserve", r.ID, r.Tokens, r.Hold.Milliseconds()})
}

func (jsonEncoder) Release(_, id string) (provider.ControlRequest, error) {
	return encode(controlMessage{Op: "release", ID: id})
}

func (jsonEncoder) Succeeded(status int) bool { return status == http.StatusOK }

// fakeEngine is an endpoint that holds reservations until they are released or
// expire.
type fakeEngine struct {
	mu    sync.Mutex
	total int
	held  map[string]int
	until map[string]time.Time
	// noResponse withholds the responses; the requests are still carried out.
	noResponse bool
	peak       int
	seen       int
	close      chan struct{}
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o controlMessage
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.seen++
	done := e.apply(o)
	noResponse := e.noResponse
	e.mu.Unlock()
	if noResponse {
		<-e.close
		return
	}
	if !done {
		w.WriteHeader(http.StatusConflict)
	}
}

// apply carries out a request and reports whether it succeeded. The caller must
// hold the lock.
func (e *fakeEngine) apply(o controlMessage) bool {
	e.expire()
	if o.Op == "release" {
		delete(e.held, o.ID)
		delete(e.until, o.ID)
		return true
	}
	sum := o.Tokens
	for id, tokens := range e.held {
		if id != o.ID {
			sum += tokens
		}
	}
	if sum > e.total {
		return false
	}
	e.held[o.ID] = o.Tokens
	e.until[o.ID] = time.Now().Add(time.Duration(o.HoldMs) * time.Millisecond)
	e.peak = max(e.peak, sum)
	return true
}

func (e *fakeEngine) expire() {
	for id, until := range e.until {
		if time.Now().After(until) {
			delete(e.held, id)
			delete(e.until, id)
		}
	}
}

func (e *fakeEngine) reservations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	return len(e.held)
}

const maxIdle = 900 * time.Millisecond

func newTestReserver(t *testing.T) *Reserver {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	transport := upstream.New(upstream.Config{})
	t.Cleanup(transport.Close)
	return NewReserver(Config{
		Encoder: jsonEncoder{}, Transport: transport, Log: log, MaxIdle: maxIdle, MaxHold: 20 * time.Second,
		Observe: func(Request, int, http.Header) {},
	})
}

func newFakeEngine(t *testing.T, total int) (*fakeEngine, Request) {
	t.Helper()
	e := &fakeEngine{total: total, held: make(map[string]int), until: make(map[string]time.Time), close: make(chan struct{})}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(e.close) })
	return e, Request{Endpoint: server.URL, Address: strings.TrimPrefix(server.URL, "http://"), Tokens: 60}
}

func waitUntilFree(t *testing.T, engines ...*fakeEngine) {
	t.Helper()
	for _, e := range engines {
		require.Eventually(t, func() bool { return e.reservations() == 0 }, 10*time.Second, time.Millisecond)
	}
}

// TestGrantIsRenewedAndReleased guards against reservations that expire during a
// request longer than one hold time, and against memory still reserved after
// Release.
func TestGrantIsRenewedAndReleased(t *testing.T) {
	reserver := newTestReserver(t)
	a, requestA := newFakeEngine(t, 100)
	b, requestB := newFakeEngine(t, 100)
	g, err := reserver.Reserve(context.Background(), "r", []Request{requestA, requestB})
	require.NoError(t, err)
	require.Equal(t, []string{"r.0", "r.1"}, g.IDs)
	time.Sleep(maxIdle * 3 / 2)
	require.Equal(t, 1, a.reservations())
	require.Equal(t, 1, b.reservations())
	g.Release()
	waitUntilFree(t, a, b)
}

// TestReservationExpiresWithoutRenewal stops the renewals without a release, as
// when a VM is killed: its reservation must expire within the limit on idle
// memory.
func TestReservationExpiresWithoutRenewal(t *testing.T) {
	reserver := newTestReserver(t)
	a, request := newFakeEngine(t, 100)
	g, err := reserver.Reserve(context.Background(), "r", []Request{request})
	require.NoError(t, err)
	g.cancel()
	g.done.Wait()
	stopped := time.Now()
	a.mu.Lock()
	until := a.until["r.0"]
	a.mu.Unlock()
	require.LessOrEqual(t, until.Sub(stopped), maxIdle)
	waitUntilFree(t, a)
}

// TestAllOrNothing checks that the reservations already made are released when
// another engine has no room, and that two requests for the same two engines, in
// opposite order, neither both succeed nor deadlock.
func TestAllOrNothing(t *testing.T) {
	reserver := newTestReserver(t)
	a, requestA := newFakeEngine(t, 100)
	b, requestB := newFakeEngine(t, 100)
	for range 5 {
		var wg sync.WaitGroup
		var grants [2]*Grant
		for i, requests := range [][]Request{{requestA, requestB}, {requestB, requestA}} {
			wg.Go(func() {
				g, err := reserver.Reserve(context.Background(), "r"+string(rune('0'+i)), requests)
				if err == nil {
					grants[i] = g
				}
			})
		}
		wg.Wait()
		require.False(t, grants[0] != nil && grants[1] != nil)
		for _, g := range grants {
			g.Release()
		}
		waitUntilFree(t, a, b)
	}
	require.LessOrEqual(t, a.peak, 100)
}

// TestUnansweredReservationsExpire loses every response although the requests are
// carried out: Reserve must fail, and the memory must be free within the limit on
// idle memory.
func TestUnansweredReservationsExpire(t *testing.T) {
	reserver := newTestReserver(t)
	e, request := newFakeEngine(t, 100)
	e.noResponse = true
	_, err := reserver.Reserve(context.Background(), "r", []Request{request})
	var failed *NotGrantedError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, request.Endpoint, failed.Endpoint)
	require.Eventually(t, func() bool { return e.reservations() == 0 }, maxIdle, time.Millisecond)
}

// TestReleaseOfNilGrant releases a nil Grant, as a request without memory shares
// does.
func TestReleaseOfNilGrant(*testing.T) {
	var g *Grant
	g.Release()
}
