package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/routing"
)

// trickle sends a body of the length in pieces, one each interval, until it is whole or the
// connection ends, and returns the response; nil for none.
func (w *harness) trickle(t *testing.T, length, piece int, interval time.Duration) *http.Response {
	c := w.dial(t)
	defer func() { _ = c.Close() }()
	_, err := fmt.Fprintf(c, "POST /safe/ HTTP/1.1\r\nHost: h\r\n%s: r1\r\n%s: key\r\nContent-Length: %d\r\n\r\n", hID, hKey, length)
	if err != nil {
		return nil
	}
	answered := make(chan struct{})
	go func() {
		for sent := 0; sent < length; sent += piece {
			select {
			case <-answered:
				return
			case <-time.After(interval):
			}
			if _, err := io.WriteString(c, strings.Repeat("x", min(piece, length-sent))); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	close(answered)
	if err != nil {
		return nil
	}
	_ = resp.Body.Close()
	return resp
}

// TestBodyThatComesTooSlowlyIsRefused guards against callers who hold a connection and memory
// without end, by a byte now and then, and against a refusal of those whose line is only slow.
func TestBodyThatComesTooSlowlyIsRefused(t *testing.T) {
	limits := routing.Limits{MaxBodyBytes: 1 << 20, BodyGrace: 300 * time.Millisecond, BodyRate: 1000}
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarnessWithLimits(t, nil, limits, e)
	resp := w.trickle(t, 10_000, 1, 20*time.Millisecond)
	require.NotNil(t, resp)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.True(t, resp.Close, "the rest of the body must not be taken for a request")
	require.Empty(t, e.requests())
	// Four times the least rate, for longer than the grace.
	resp = w.trickle(t, 4_000, 100, 25*time.Millisecond)
	require.NotNil(t, resp)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Len(t, e.requests(), 1)
}

// TestPaceEndsWithTheBody guards against a check that interrupts the connection after the body was
// read, when it is in use for the next request.
func TestPaceEndsWithTheBody(t *testing.T) {
	limits := routing.Limits{MaxBodyBytes: 1 << 20, BodyGrace: 50 * time.Millisecond, BodyRate: 1 << 20}
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	w := newHarnessWithLimits(t, nil, limits, e)
	c := w.dial(t)
	defer func() { _ = c.Close() }()
	for range 4 {
		require.Equal(t, 200, w.exchange(t, c, "POST", "/safe/", "body", nil).status)
		time.Sleep(2 * limits.BodyGrace)
	}
}

// TestSlowCallersDoNotKeepOthersFromBeingServed lets 1,000 callers send a byte a second, and others
// whole requests: these are served meanwhile, and the slow ones hold nothing afterwards.
func TestSlowCallersDoNotKeepOthersFromBeingServed(t *testing.T) {
	const slow, others = 1000, 100
	limits := routing.Limits{MaxBodyBytes: 1 << 20, BodyGrace: 1500 * time.Millisecond}
	e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
	memory := newMemory(64 << 20)
	w := newHarnessWithLimits(t, memory, limits, e)
	var callers sync.WaitGroup
	var refused atomic.Int64
	for range slow {
		callers.Go(func() {
			if resp := w.trickle(t, 1000, 1, time.Second); resp != nil && resp.StatusCode == http.StatusRequestTimeout {
				refused.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return w.gateway.InFlight() == slow }, 10*time.Second, time.Millisecond)
	for range others {
		require.Equal(t, 200, w.call(t, "POST", "/safe/", "body", nil).status)
	}
	callers.Wait()
	require.Equal(t, int64(slow), refused.Load())
	require.Eventually(t, func() bool { return w.gateway.InFlight() == 0 }, 5*time.Second, time.Millisecond)
	requireReleased(t, memory)
	require.Len(t, e.requests(), others)
}
