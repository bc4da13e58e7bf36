//go:build review2

package cases2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// engineRunner is a model runner on plain connections, which can crash and start again.
type engineRunner struct {
	w       *world
	id      string
	service string
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// fatal decides whether a request crashes the runner that runs it.
type fatal struct {
	mu sync.Mutex
	// left is the number of runners that the request with the key still crashes.
	left map[string]int
}

func (f *fatal) crashes(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	key, _, _ := strings.Cut(attempt, "-")
	if f.left[key] == 0 {
		return false
	}
	f.left[key]--
	return true
}

func (w *world) newEngineRunner(id, service string, f *fatal, restart func() time.Duration) *engineRunner {
	e := &engineRunner{w: w, id: id, service: service, conns: make(map[net.Conn]bool)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	w.must(err)
	e.address = l.Addr().String()
	e.serve(l, f, restart)
	w.t.Cleanup(e.stop)
	return e
}

// serve serves connections, and lists the runner as it has started now.
func (e *engineRunner) serve(l net.Listener, f *fatal, restart func() time.Duration) {
	e.mu.Lock()
	e.listener = l
	e.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.conn(c, f, restart)
		}
	}()
	e.w.list(e.id, e.service, e.address, 16, time.Now().UnixMilli())
}

// stop ends all connections, as the end of the process does.
func (e *engineRunner) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	clear(e.conns)
}

// crash ends the process, and starts it again under the ID that it had.
func (e *engineRunner) crash(f *fatal, restart func() time.Duration) {
	e.stop()
	time.AfterFunc(restart(), func() {
		for range 50 {
			l, err := net.Listen("tcp4", e.address)
			if err == nil {
				e.serve(l, f, restart)
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	})
}

func (e *engineRunner) conn(c net.Conn, f *fatal, restart func() time.Duration) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		attempt := r.Header.Get(headerAttempt)
		if expected := r.Header.Get(headerExpect); expected != "" && expected != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerAttempt, attempt, headerRunnerID, e.id)
			continue
		}
		if f.crashes(attempt) {
			time.Sleep(time.Duration(25+rand.IntN(35)) * time.Millisecond)
			e.w.note("runner %s crashes while it runs %s", e.id, attempt)
			e.crash(f, restart)
			return
		}
		// A prompt of 45,000 tokens is read before the first event.
		time.Sleep(250 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerAttempt, attempt, headerSeal, e.id, attempt)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := last + 1; i <= 4; i++ {
			time.Sleep(15 * time.Millisecond)
			event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, attempt, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// list writes the entry of a ready runner.
func (w *world) list(id, service, address string, slots int, born int64) {
	w.store.Put("servers", id, encode(map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0,
		"stage": "combined", "models": []any{map[string]any{"name": "m"}}, "seq": 1, "born": born,
	}))
}

func engineService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 374, "engine": map[string]any{
		"slots": 16, "kv_capacity": 450000, "stride": 46, "models": []any{map[string]any{"name": "m"}}, "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
		"read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0, "hop_ms": 0.1,
	}}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110}
}

// reviewRoute is the route of the condition file reviews.
func reviewRoute() map[string]any {
	return map[string]any{
		"name": "r-review", "path_prefix": "/review/", "kind": "streaming", "timeout_ms": 10000, "goal_ms": 1500, "target_gap_ms": 500, "priority": 1,
		"service": "scribe-pool", "max_attempts": 2, "sticky": true, "resumable": true,
	}
}

// lookupRoute is the route of the checks of an order's status.
func lookupRoute() map[string]any {
	return map[string]any{
		"name": "r-lookup", "path_prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 1000, "goal_ms": 150, "priority": 2, "service": "ledger-desk", "max_attempts": 2,
	}
}

// tally counts lookups at one gateway.
type tally struct {
	sent, answered, overdue, unanswered int
}

// TestCrashingRequest sends requests each of which crashes three runners, one after the other, that start
// again soon, and lookups to all gateways beside them.
func TestCrashingRequest(t *testing.T) {
	w := newWorld(t)
	f := &fatal{left: make(map[string]int)}
	restart := func() time.Duration { return time.Duration(80+rand.IntN(170)) * time.Millisecond }
	for i := range 18 {
		w.newEngineRunner(fmt.Sprintf("i-scribe%02d", i), "scribe-pool", f, restart)
	}
	for i := range 3 {
		w.newRunner(fmt.Sprintf("i-ledger%d", i), "ledger-desk", 6, 30*time.Millisecond)
	}
	routes := []map[string]any{reviewRoute(), lookupRoute()}
	w.configure(1, routes, []map[string]any{engineService("scribe-pool"), plainService("ledger-desk")}, []map[string]any{{"name": "org", "api_keys": []string{"key"}}})
	gateways := w.startGateways(3)

	var mu sync.Mutex
	tallies := make(map[string]*tally)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range gateways {
		n := &tally{}
		tallies[g.name] = n
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
				clients.Go(func() {
					attempt := fmt.Sprintf("%s-lookup%d", g.name, i)
					mu.Lock()
					n.sent++
					mu.Unlock()
					c, err := net.DialTimeout("tcp4", g.front, time.Second)
					if err != nil {
						return
					}
					defer func() { _ = c.Close() }()
					_, _ = io.WriteString(c, head("GET", "/lookup/"+attempt, attempt, "key", 4*time.Second)+"\r\n")
					at := time.Now()
					status, _, _, err := (&client{c, bufio.NewReader(c)}).answer(4 * time.Second)
					took := time.Since(at)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err == nil:
						n.answered++
						if status != 200 {
							w.note("%s answered %d after %v", attempt, status, took)
						}
						if took > time.Second {
							n.overdue++
						}
						if took > 1500*time.Millisecond {
							n.unanswered++
						}
					default:
						n.overdue++
						n.unanswered++
						w.note("%s has no answer after %v: %v", attempt, took.Round(time.Millisecond), err)
					}
				})
			}
		})
	}
	end := time.Now().Add(90 * time.Second)
	hung := func() bool {
		mu.Lock()
		defer mu.Unlock()
		for _, n := range tallies {
			if n.unanswered >= 8 {
				return true
			}
		}
		return false
	}
	for n := 0; time.Now().Before(end) && !hung(); n++ {
		key := fmt.Sprintf("review%d", n)
		if trouble() {
			f.mu.Lock()
			f.left[key] = 3
			f.mu.Unlock()
		}
		prompt := fmt.Sprintf("%s: 5c1e07a2:40,%08x:44960", headerPrefix, 0x91bd0000+n)
		for try := range 2 {
			attempt := fmt.Sprintf("%s-%d", key, try)
			g := gateways[(n+try)%len(gateways)]
			c, err := net.DialTimeout("tcp4", g.front, time.Second)
			if err != nil {
				continue
			}
			_, _ = io.WriteString(c, head("POST", "/review/x", attempt, "key", 10*time.Second, headerModel+": m", headerTokens+": 45000,966", prompt, "Content-Length: "+strconv.Itoa(len(key)))+"\r\n"+key)
			status, _, body, err := (&client{c, bufio.NewReader(c)}).answer(2 * time.Second)
			w.note("stream %s at %s: status %d, %d bytes, %v", attempt, g.name, status, len(body), err)
			_ = c.Close()
			if err == nil && status == http.StatusOK {
				break
			}
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	overdue, unanswered := 0, 0
	for name, n := range tallies {
		w.note("%s: %d lookups sent, %d answered, %d not answered by their route's timeout of 1 s, %d not 0.5 s later either", name, n.sent, n.answered, n.overdue, n.unanswered)
		overdue += n.overdue
		unanswered += n.unanswered
	}
	for _, g := range gateways {
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + g.ready + "/readyz")
		if err != nil {
			w.note("%s: readiness: %v", g.name, err)
			continue
		}
		_ = resp.Body.Close()
		w.note("%s: readiness: %d", g.name, resp.StatusCode)
	}
	for i, g := range gateways {
		if tallies[g.name].unanswered >= 8 && trouble() {
			w.trace(gateways[i])
			break
		}
	}
	if unanswered >= 8 && 2*unanswered > overdue {
		w.broken("CONFIG: of %d requests unanswered at their route's timeout, %d had no answer half a second later", overdue, unanswered)
		return
	}
	w.held("%d requests unanswered at their route's timeout, %d half a second later", overdue, unanswered)
}
