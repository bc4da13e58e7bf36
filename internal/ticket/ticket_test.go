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

// memory encodes orders for the tests' engines.
type memory struct{}

type order struct {
	Op     string
	ID     string
	Tokens int
	HoldMs int64
}

func encode(o order) (provider.Order, error) {
	body, err := json.Marshal(o)
	return provider.Order{Method: http.MethodPost, URI: "/order", Header: http.Header{}, Body: body}, err
}

func (memory) Reserve(_ string, r provider.Reservation) (provider.Order, error) {
	return encode(order{"reserve", r.ID, r.Tokens, r.Hold.Milliseconds()})
}

func (memory) Release(_, id string) (provider.Order, error) {
	return encode(order{Op: "release", ID: id})
}

func (memory) Done(status int) bool { return status == http.StatusOK }

// engine holds reservations until they are released or their hold ends.
type engine struct {
	mu    sync.Mutex
	total int
	held  map[string]int
	until map[string]time.Time
	// mute lets orders go unanswered; they are carried out all the same.
	mute  bool
	peak  int
	seen  int
	close chan struct{}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.seen++
	done := e.carryOut(o)
	mute := e.mute
	e.mu.Unlock()
	if mute {
		<-e.close
		return
	}
	if !done {
		w.WriteHeader(http.StatusConflict)
	}
}

// carryOut does an order; the lock is held.
func (e *engine) carryOut(o order) bool {
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

func (e *engine) expire() {
	for id, until := range e.until {
		if time.Now().After(until) {
			delete(e.held, id)
			delete(e.until, id)
		}
	}
}

func (e *engine) reservations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	return len(e.held)
}

const freeWithin = 900 * time.Millisecond

func newKeeper(t *testing.T) *Keeper {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	transport := upstream.New(func() {})
	t.Cleanup(transport.Close)
	return NewKeeper(memory{}, transport, log, freeWithin, 20*time.Second)
}

func newEngine(t *testing.T, total int) (*engine, Want) {
	t.Helper()
	e := &engine{total: total, held: make(map[string]int), until: make(map[string]time.Time), close: make(chan struct{})}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(e.close) })
	return e, Want{Endpoint: server.URL, Address: strings.TrimPrefix(server.URL, "http://"), Tokens: 60}
}

func awaitFree(t *testing.T, engines ...*engine) {
	t.Helper()
	for _, e := range engines {
		require.Eventually(t, func() bool { return e.reservations() == 0 }, 10*time.Second, time.Millisecond)
	}
}

// TestGrantIsRenewedAndReleased keeps memory for longer than one hold, and frees
// it with the request.
func TestGrantIsRenewedAndReleased(t *testing.T) {
	k := newKeeper(t)
	a, wantA := newEngine(t, 100)
	b, wantB := newEngine(t, 100)
	g, err := k.Reserve(context.Background(), "r", []Want{wantA, wantB})
	require.NoError(t, err)
	require.Equal(t, []string{"r.0", "r.1"}, g.IDs)
	time.Sleep(freeWithin * 3 / 2)
	require.Equal(t, 1, a.reservations())
	require.Equal(t, 1, b.reservations())
	g.Release()
	awaitFree(t, a, b)
}

// TestMemoryOfADeadVMEndsByItself stops renewing without a release, as a VM does
// that is killed: what it held ends within the bound on idle memory.
func TestMemoryOfADeadVMEndsByItself(t *testing.T) {
	k := newKeeper(t)
	a, want := newEngine(t, 100)
	g, err := k.Reserve(context.Background(), "r", []Want{want})
	require.NoError(t, err)
	g.cancel()
	g.done.Wait()
	died := time.Now()
	a.mu.Lock()
	until := a.until["r.0"]
	a.mu.Unlock()
	require.LessOrEqual(t, until.Sub(died), freeWithin)
	awaitFree(t, a)
}

// TestAllOrNothing frees what was granted when another engine has no room, and
// two prompts that want each other's engines don't wait for each other.
func TestAllOrNothing(t *testing.T) {
	k := newKeeper(t)
	a, wantA := newEngine(t, 100)
	b, wantB := newEngine(t, 100)
	for range 5 {
		var wg sync.WaitGroup
		var grants [2]*Grant
		for i, wants := range [][]Want{{wantA, wantB}, {wantB, wantA}} {
			wg.Go(func() {
				g, err := k.Reserve(context.Background(), "r"+string(rune('0'+i)), wants)
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
		awaitFree(t, a, b)
	}
	require.LessOrEqual(t, a.peak, 100)
}

// TestUnansweredOrdersEndByThemselves loses every answer: the orders are carried
// out, the request is not sent, and the memory is free within its bound.
func TestUnansweredOrdersEndByThemselves(t *testing.T) {
	k := newKeeper(t)
	e, want := newEngine(t, 100)
	e.mute = true
	_, err := k.Reserve(context.Background(), "r", []Want{want})
	var failed *NotGrantedError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, want.Endpoint, failed.Endpoint)
	require.Eventually(t, func() bool { return e.reservations() == 0 }, freeWithin, time.Millisecond)
}

// TestNilGrantIsReleased is what a request without shares does.
func TestNilGrantIsReleased(*testing.T) {
	var g *Grant
	g.Release()
}
