//go:build review2

package cases2

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// applyWithin is config_apply_ms of the deployment.
const applyWithin = 2 * time.Second

func depositRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-deposit", "path_prefix": "/deposit/", "kind": "non_idempotent", "timeout_ms": 10000, "goal_ms": 150, "priority": 2, "service": service, "max_attempts": 1,
	}
}

// TestSlowBody sends bookings whose bodies take some seconds. Meanwhile the operator takes a key away,
// and moves the route to another service.
func TestSlowBody(t *testing.T) {
	w := newWorld(t)
	type run struct {
		service, tenant string
		at              time.Time
	}
	runs := make(map[string]run)
	for _, service := range []string{"ledger-desk", "ledger-new"} {
		for i := range 2 {
			e := w.newRunner(fmt.Sprintf("i-%s-%d", service, i), service, 6, 30*time.Millisecond)
			e.onRun = func(r *http.Request, body []byte) {
				w.mu.Lock()
				runs[r.Header.Get(headerAttempt)] = run{service, r.Header.Get(headerTenant), time.Now()}
				w.mu.Unlock()
				w.note("runner %s runs %s for the tenant %q, %d bytes", e.id, r.Header.Get(headerAttempt), r.Header.Get(headerTenant), len(body))
			}
		}
	}
	services := []map[string]any{plainService("ledger-desk"), plainService("ledger-new")}
	w.configure(1, []map[string]any{depositRoute("ledger-desk")}, services, []map[string]any{
		{"name": "kept", "api_keys": []string{"key-kept"}}, {"name": "left", "api_keys": []string{"key-left", "key-dropped"}},
	})
	gateways := w.startGateways(2)

	const body, pieces, gap = 600, 6, time.Second
	type upload struct {
		attempt, key string
		c            *client
		last         time.Time
	}
	var uploads []*upload
	for i, g := range gateways {
		for _, key := range []string{"key-kept", "key-dropped"} {
			u := &upload{attempt: fmt.Sprintf("deposit-%d-%s", i+1, key), key: key, c: w.dial(g)}
			defer func() { _ = u.c.Close() }()
			_, err := io.WriteString(u.c, head("POST", "/deposit/x", u.attempt, key, 10*time.Second, fmt.Sprintf("Content-Length: %d", body))+"\r\n")
			w.must(err)
			uploads = append(uploads, u)
			w.note("the head of %s was sent to %s", u.attempt, g.name)
		}
	}
	var acknowledged time.Time
	for piece := range pieces {
		time.Sleep(gap)
		if piece == 1 && trouble() {
			acknowledged = w.configure(2, []map[string]any{depositRoute("ledger-new")}, services, []map[string]any{
				{"name": "kept", "api_keys": []string{"key-kept"}}, {"name": "left", "api_keys": []string{"key-left"}},
			})
			w.note("the store has acknowledged version 2: the key key-dropped is gone, the route leads to ledger-new")
		}
		for _, u := range uploads {
			_, err := u.c.Write(make([]byte, body/pieces))
			w.must(err)
			u.last = time.Now()
		}
		w.note("%d of %d pieces of each body were sent", piece+1, pieces)
	}
	brokenRuns := 0
	for _, u := range uploads {
		status, _, text, err := u.c.answer(10 * time.Second)
		w.note("%s: status %d, %q, %v", u.attempt, status, text, err)
		w.mu.Lock()
		r, ran := runs[u.attempt]
		w.mu.Unlock()
		switch {
		case !trouble() || !ran:
			if !trouble() && (status != http.StatusOK || r.service != "ledger-desk") {
				w.must(fmt.Errorf("%s is not served in calm", u.attempt))
			}
		case u.last.Sub(acknowledged) <= applyWithin:
			w.must(fmt.Errorf("%s was sent too soon", u.attempt))
		case u.key == "key-dropped" || r.service == "ledger-desk":
			brokenRuns++
			w.note("%s ran at %s with %s, though its last byte was sent %.1f s after version 2 was acknowledged", u.attempt, r.service, u.key, u.last.Sub(acknowledged).Seconds())
		}
	}
	// A request that is sent now is handled as version 2 says.
	for i, g := range gateways {
		for _, key := range []string{"key-kept", "key-dropped"} {
			c := w.dial(g)
			_, _ = io.WriteString(c, head("POST", "/deposit/x", fmt.Sprintf("after-%d-%s", i+1, key), key, 10*time.Second, "Content-Length: 2")+"\r\nab")
			status, _, text, err := c.answer(10 * time.Second)
			w.note("for comparison, a whole request with %s at %s now: status %d, %q, %v", key, g.name, status, text, err)
			_ = c.Close()
		}
	}
	if brokenRuns > 0 {
		w.broken("CONFIG: %d of %d requests ran as only version 1 allows", brokenRuns, len(uploads))
		return
	}
	w.held("no request ran as only version 1 allows")
}
