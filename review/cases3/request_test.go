//go:build review3

package cases3

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["request-at-once"] = requestAtOnce }

// badPath is that of the request that crashes each runner which begins to run it.
const badPath = pathLook + "bad/2f"

// addBooks adds runners of the plain service, which work for 100 ms and crash by the bad request after
// 20 ms.
func (s *system) addBooks(n int, down time.Duration, bad *arrivals) {
	for i := range n {
		r := s.addRunner(fmt.Sprintf("i-b00c%02x", i), books, 6, func(r *runner, c net.Conn, req *http.Request, _ []byte) {
			attempt := req.Header.Get(headerAttempt)
			if req.URL.Path == badPath {
				bad.reach()
				r.s.note("runner %s runs %s, which crashes it", r.id, attempt)
				time.Sleep(20 * time.Millisecond)
				r.mu.Lock()
				up := r.listener != nil
				r.mu.Unlock()
				if up {
					bad.crash()
				}
				r.crash()
				return
			}
			r.s.note("runner %s runs %s", r.id, attempt)
			time.Sleep(100 * time.Millisecond)
			reply(c, http.StatusOK, r.seal(attempt), []byte(strings.Repeat("x", 800)))
		})
		r.down = down
	}
}

// bookings sends requests that may run once at most, at a rate, to all gateways in turn until stop is
// closed. lost counts those that have no answer, or one that doesn't tell whether they ran.
func (s *system) bookings(every time.Duration, stop <-chan struct{}) (sent, lost *atomic.Int64, wait func()) {
	sent, lost = &atomic.Int64{}, &atomic.Int64{}
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			g := s.gateways[n%len(s.gateways)]
			wg.Go(func() {
				id := s.nextID()
				sent.Add(1)
				a := g.send(http.MethodPost, pathBook+"2f", id, http.Header{headerKey: {key}}, []byte("booking "+id), 4*time.Second)
				if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable || !a.whole {
					lost.Add(1)
				}
			})
		}
	})
	return sent, lost, wg.Wait
}

// requestAtOnce sends the bad request every five seconds, by five clients at once, to all machines.
func requestAtOnce(s *system) []string {
	const between, times, clients = 5 * time.Second, 5, 5
	bad := &arrivals{}
	s.store.Put("op", "config", configuration(1, engines, 0))
	s.addBooks(12, 2500*time.Millisecond, bad)
	s.addGateways(small(), smallContracts, "front-a-1", "front-b-1", "front-c-1")
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	sent, lost, wait := s.bookings(20*time.Millisecond, stop)
	time.Sleep(2 * time.Second)
	path := badPath
	if !s.trouble {
		path = pathLook + "good/2f"
	}
	var wg sync.WaitGroup
	for range times {
		for i := range clients {
			g := s.gateways[i%len(s.gateways)]
			wg.Go(func() { g.send(http.MethodGet, path, s.nextID(), http.Header{headerKey: {key}}, nil, 4*time.Second) })
		}
		time.Sleep(between)
	}
	close(stop)
	wait()
	wg.Wait()
	count, third := bad.later(3, stableWindow)
	summary := fmt.Sprintf("crashes of runners: %d; the request reached runners later than %v after it had crashed the third %d times; bookings: %d sent, %d without a telling answer",
		bad.crashCount(), stableWindow, count, sent.Load(), lost.Load())
	s.note("%s", summary)
	fmt.Println(summary)
	if count > 3 {
		return []string{fmt.Sprintf("BUDGET: the request reached runners %d times later than %v after it had crashed the third, at %.3f s; three may",
			count, stableWindow, third.Sub(s.started).Seconds())}
	}
	return nil
}
