//go:build review3

package cases3

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["cold-after-freeze"] = coldAfterFreeze }

const (
	// coldPerS and coldFor are those of the configuration, overshoot and slack the bounds of the site.
	coldPerS  = 15.0
	coldFor   = 3 * time.Second
	overshoot = 1.5
	coldSlack = 5
)

// grown are the bounds of the site melkronde-gp-grown.
func grown() bounds {
	return bounds{
		"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000, "grace_s": 8,
		"loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_stretch_ms": 6000, "retry_budget_ratio": 0.2,
		"retry_window_s": 10, "retry_slack": 258, "cold_overshoot": overshoot, "cold_slack": coldSlack, "evacuate_ms": 5000, "recovery_s": 15,
		"pass_ms": 200, "stall_ms": 1500, "max_hold_ms": 20000, "free_ms": 4000, "max_idle_ms": 9000,
	}
}

var grownContracts = []string{
	"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream", "tenants", "places", "pressure", "platform", "spans",
}

// coldLog has the times at which requests have reached the cold runners.
type coldLog struct {
	mu   sync.Mutex
	runs map[string][]time.Time
}

// reach records a request, and returns how many have reached the runner in the last second.
func (l *coldLog) reach(runner string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.runs[runner] = append(l.runs[runner], now)
	return l.since(runner, now.Add(-time.Second))
}

func (l *coldLog) since(runner string, from time.Time) int {
	n := 0
	for _, at := range l.runs[runner] {
		if at.After(from) {
			n++
		}
	}
	return n
}

// coldAfterFreeze stops the machine that places the requests of a service for 1.7 s, and continues it.
// Just after that the two runners of the service turn cold. A cold runner crashes by more than twice the
// requests in one second that it tolerates.
func coldAfterFreeze(s *system) []string {
	const every, frozen = 22 * time.Millisecond, 1700 * time.Millisecond
	const bound = coldPerS*overshoot + coldSlack
	reached := &coldLog{runs: make(map[string][]time.Time)}
	var mu sync.Mutex
	var broken []string
	most := 0
	s.store.Put("op", "config", configuration(1, engines, coldPerS))
	for i := range 2 {
		r := s.addRunner(fmt.Sprintf("i-c01d%02x", i), books, 16, func(r *runner, c net.Conn, req *http.Request, _ []byte) {
			attempt := req.Header.Get(headerAttempt)
			r.mu.Lock()
			cold := time.Now().Before(r.coldUntil)
			r.mu.Unlock()
			r.s.note("runner %s runs %s", r.id, attempt)
			if cold {
				n := reached.reach(r.id)
				mu.Lock()
				most = max(most, n)
				if float64(n) > bound {
					broken = append(broken, fmt.Sprintf("FAILBACK: the cold runner %s got %d requests in the second before %.3f s; %.1f may",
						r.id, n, time.Since(s.started).Seconds(), bound))
				}
				mu.Unlock()
				if n > 2*coldPerS {
					r.crash()
					return
				}
			}
			time.Sleep(120 * time.Millisecond)
			reply(c, http.StatusOK, r.seal(attempt), []byte(strings.Repeat("x", 800)))
		})
		r.down = 10 * time.Second
	}
	s.addGateways(grown(), grownContracts, "front-a-1", "front-b-1", "front-c-1")
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var lost atomic.Int64
	var stopped atomic.Pointer[gateway]
	var wg sync.WaitGroup
	for _, g := range s.gateways {
		wg.Go(func() {
			ticker := time.NewTicker(every)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				wg.Go(func() {
					id, header := s.nextID(), http.Header{headerKey: {key}}
					if n%2 != 0 {
						// A client abandons an idempotent request that was not read after a second.
						wait := 4 * time.Second
						if stopped.Load() == g {
							wait = time.Second
						}
						g.send(http.MethodGet, pathLook+"2f/"+id, id, header, nil, wait)
						return
					}
					a := g.send(http.MethodPost, pathBook+"2f", id, header, []byte("booking "+id), 4*time.Second)
					if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable || !a.whole {
						lost.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	holder := s.holderOf(books)
	s.note("%s places the requests of the service", holder.name)
	if s.trouble {
		stopped.Store(holder)
		holder.signal(syscall.SIGSTOP)
	}
	time.Sleep(frozen)
	if s.trouble {
		holder.signal(syscall.SIGCONT)
		stopped.Store(nil)
	}
	time.Sleep(50 * time.Millisecond)
	cold := time.Now()
	for _, r := range s.runners {
		r.mu.Lock()
		r.coldUntil = cold.Add(coldFor)
		r.mu.Unlock()
		r.register()
		s.note("runner %s is cold for %v", r.id, coldFor)
	}
	time.Sleep(200 * time.Millisecond)
	reached.mu.Lock()
	clear(reached.runs)
	reached.mu.Unlock()
	time.Sleep(coldFor - 200*time.Millisecond)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	crashes := 0
	for _, r := range s.runners {
		crashes += r.crashes
	}
	summary := fmt.Sprintf("most requests in one second at a cold runner: %d, bound %.1f; crashes of cold runners: %d; bookings without a telling answer: %d",
		most, bound, crashes, lost.Load())
	s.note("%s", summary)
	fmt.Println(summary)
	return broken
}

// holderOf returns the gateway that places the requests for a service, by its own log.
func (s *system) holderOf(service string) *gateway {
	for _, g := range s.gateways {
		lines := g.logLines(`"` + service + `"`)
		for i := len(lines) - 1; i >= 0; i-- {
			if strings.Contains(lines[i], `"holder"`) {
				for _, other := range s.gateways {
					if strings.Contains(lines[i], `"holder":"`+other.name+`"`) {
						return other
					}
				}
			}
		}
	}
	panic(couldNotRun{"no holder"})
}
