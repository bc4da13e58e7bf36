//go:build review

// Package standin plays the cases of the review that are scripts: it starts gateways as
// processes, and is their store, their runners and their clients.
package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

// Exit codes of a case.
const (
	held = iota
	broken
	notRun
)

const (
	host      = "case.example"
	key       = "key-of-the-case"
	service   = "pool"
	grace     = 8 * time.Second
	lossSlack = 200 * time.Millisecond
	// sentInTime is the time after SIGTERM up to which a request that is sent is excused if its
	// runner is at work in the last sixth of the grace period.
	sentInTime = 3 * time.Second
	timeout    = 15 * time.Second
	// stillServed bounds the wait for the answers without a stop.
	stillServed = 30 * time.Second
)

// request is what the client and the runners know of one request.
type request struct {
	ID      string
	Sent    time.Time
	Running time.Time // when a runner got it; zero if none did
	Ended   time.Time // when its answer or its connection ended
	Status  int
	Events  int
	Err     error
}

// world is the store, the runners, the gateways and the record of one case.
type world struct {
	mu       sync.Mutex
	requests map[string]*request
	lines    []string
	zero     time.Time // times in the record count from here
	store    *platformtest.Store
	dir      string
	procs    []*exec.Cmd
}

func TestMain(*testing.M) {
	w := &world{requests: map[string]*request{}, zero: time.Now()}
	code, err := w.play(os.Getenv("CASE"), os.Getenv("TROUBLE") != "0")
	w.cleanUp()
	if err != nil {
		w.note("could not run: %v", err)
		code = notRun
	}
	w.note("exit code %d", code)
	if path := os.Getenv("RECORD"); path != "" {
		_ = os.WriteFile(path, []byte(strings.Join(w.lines, "\n")+"\n"), 0o644)
	}
	os.Exit(code)
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(w.zero).Seconds()) + fmt.Sprintf(format, args...)
	w.lines = append(w.lines, line)
	fmt.Println(line)
}

func (w *world) cleanUp() {
	for _, p := range w.procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}

// serve serves a handler on a free loopback address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

func encode(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

// configuration has one resumable streaming route, as of the site's sheet, and the engine of its
// service where engine is set.
func configuration(goalMs, gapMs int, engine bool) []byte {
	s := map[string]any{"name": service, "health_path": "/healthz", "max_conns": 424}
	if engine {
		s["engine"] = map[string]any{
			"slots": 16, "kv_capacity": kvCapacity, "stride": 46, "step_ms": stepMs, "per_seq_ms": 0.00483, "context_per_k": contextPerK,
			"read_per_s": readPerMs * 1000, "pairs_per_m": pairsPerM, "chunk": 2048, "report_lag_ms": 200.0, "hop_ms": 0.1,
		}
	}
	return encode(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "path_prefix": "/q/", "kind": "streaming", "timeout_ms": timeout.Milliseconds(), "goal_ms": goalMs,
			"priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": engine, "resumable": true, "target_gap_ms": gapMs,
		}},
		"services": []any{s},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "yard", "api_keys": []string{key}, "priority": 1}},
	})
}

// addRunner lists a runner that has been up for a while.
func (w *world) addRunner(id string, h http.Handler) error {
	address, err := serve(h)
	if err != nil {
		return err
	}
	w.store.Put(platformtest.TableEndpoints, id, encode(map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 16, "state": "ready",
		"cold_left_ms": 0, "seq": 7, "born": time.Now().Add(-time.Hour).UnixMilli(),
	}))
	return nil
}

// gateway is one gateway process.
type gateway struct {
	front string
	cmd   *exec.Cmd
	ended chan struct{}
}

func (w *world) startGateway(name, store string, seeds ...string) (*gateway, string, error) {
	var a [4]string
	for i := range a {
		address, err := platformtest.FreeAddress()
		if err != nil {
			return nil, "", err
		}
		a[i] = address
	}
	settings := encode(map[string]any{
		"node": name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1",
		"zone": "zone-a", "region": "region-a", "zones": map[string]any{"zone-a": "region-a"},
		"listen": map[string]any{"front": a[0], "ready": a[1], "control": a[2]}, "seeds": append(seeds, a[2]), "bootstrap": true,
		"limits":   map[string]any{"cpu_share": 0.8, "cpu_cores": 1, "memory_mb": 544, "max_fds": 8200, "link_mbps": 2000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
		"bounds": map[string]any{
			"stable_window_ms": 3000, "drain_ms": 2000, "grace_s": grace.Seconds(), "loss_slack_ms": lossSlack.Milliseconds(), "config_apply_ms": 2000,
			"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 102, "recovery_s": 12, "pass_ms": 120,
			"stall_ms": 1500, "max_hold_ms": 20000, "free_ms": 4000, "max_idle_ms": 9000,
		},
		"platform": map[string]any{"address": store, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20},
	})
	file := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return nil, "", err
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, "", err
	}
	g := &gateway{front: a[0], cmd: exec.Command("target/cornelsaddle", "gateway", "-metrics", a[3]), ended: make(chan struct{})}
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "CORNELSADDLE_BOOT=" + file}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return nil, "", err
	}
	w.procs = append(w.procs, g.cmd)
	go func() {
		_, _ = g.cmd.Process.Wait()
		close(g.ended)
	}()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + a[1] + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return g, a[2], nil
			}
		}
	}
	return nil, "", fmt.Errorf("%s does not become ready", name)
}

// start starts the store, the runners and two gateways.
func (w *world) start(config []byte, runners map[string]http.Handler) (*gateway, error) {
	dir, err := os.MkdirTemp("", "review-case")
	if err != nil {
		return nil, err
	}
	w.dir, w.store = dir, platformtest.NewStore(1)
	store, err := serve(w.store)
	if err != nil {
		return nil, err
	}
	w.store.Put(platformtest.TableOperator, "config", config)
	for id, h := range runners {
		if err := w.addRunner(id, h); err != nil {
			return nil, err
		}
	}
	a, peers, err := w.startGateway("front-a-1", store)
	if err != nil {
		return nil, err
	}
	if _, _, err := w.startGateway("front-a-2", store, peers); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // longer than the stable window
	return a, nil
}

// stop sends SIGTERM, and SIGKILL after the grace period, as the platform does.
func (w *world) stop(g *gateway) time.Time {
	w.mu.Lock()
	w.zero = time.Now()
	at := w.zero
	w.mu.Unlock()
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	w.note("front-a-1 gets SIGTERM; times below count from here")
	go func() {
		select {
		case <-g.ended:
			w.note("front-a-1 has ended")
		case <-time.After(grace):
			_ = g.cmd.Process.Kill()
			w.note("front-a-1 gets SIGKILL")
		}
	}()
	return at
}

// client is a client's kept connection.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// ask sends a request and reads its answer to the end. It reports whether the connection may be
// used again.
func (w *world) ask(c *client, id, path, tokens string) (*request, bool) {
	q := &request{ID: id}
	w.mu.Lock()
	w.requests[id] = q
	w.mu.Unlock()
	text := "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Cornelsaddle-Attempt-Id: " + id + "\r\nX-Cornelsaddle-Deadline-Ms: " +
		strconv.FormatInt(timeout.Milliseconds(), 10) + "\r\nX-Api-Key: " + key + "\r\n"
	if tokens != "" {
		text += "X-Cornelsaddle-Model: m\r\nX-Cornelsaddle-Token-Count: " + tokens + "\r\nX-Cornelsaddle-Prompt-Prefix: " + id + ":" + strings.Split(tokens, ",")[0] + "\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(stillServed))
	_, err := io.WriteString(c.conn, text+"Content-Length: 4\r\n\r\nbody")
	w.mu.Lock()
	q.Sent = time.Now()
	w.mu.Unlock()
	w.note("%s sent to front-a-1", id)
	var keep bool
	var status, events int
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(c.r, nil); err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			status, events, keep = resp.StatusCode, strings.Count(string(body), "\n\n"), err == nil && !resp.Close
		}
	}
	w.mu.Lock()
	q.Ended, q.Status, q.Events, q.Err = time.Now(), status, events, err
	w.mu.Unlock()
	if err != nil {
		w.note("%s: the connection ends without a complete answer (status %d, %d events)", id, status, events)
	} else {
		w.note("%s: whole answer, status %d, %d events", id, status, events)
	}
	return q, keep
}

// runs records that a runner got a request.
func (w *world) runs(id, runner string) {
	w.mu.Lock()
	if q := w.requests[id]; q != nil && q.Running.IsZero() {
		q.Running = time.Now()
	}
	w.mu.Unlock()
	w.note("%s reaches runner %s", id, runner)
}

// begin does what each runner does first; false if the request is not for it.
func (w *world) begin(rw http.ResponseWriter, r *http.Request, runner string) (string, bool) {
	id := r.Header.Get("X-Cornelsaddle-Attempt-Id")
	rw.Header().Set("X-Cornelsaddle-Attempt-Id", id)
	if want := r.Header.Get("X-Cornelsaddle-Expect-Runner"); want != "" && want != runner {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return id, false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return id, true
}

// stream answers with n events, one each gap.
func stream(rw http.ResponseWriter, r *http.Request, runner, id string, n int, gap time.Duration) bool {
	rw.Header().Set("X-Cornelsaddle-Runner-Seal", runner+".seal")
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= n; i++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s/%d\n\n", i, id, i); err != nil {
			return false
		}
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// verdict judges all requests by the rule LOST for a SIGTERM at a time; without a stop, any request
// without a complete answer is one too many.
func (w *world) verdict(stopped time.Time) int {
	w.mu.Lock()
	all := make([]*request, 0, len(w.requests))
	for _, q := range w.requests {
		all = append(all, q)
	}
	w.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].Sent.Before(all[j].Sent) })
	lost := 0
	for _, q := range all {
		if q.Err == nil {
			continue
		}
		passedOn := !q.Running.IsZero()
		switch {
		case stopped.IsZero():
		case q.Ended.After(stopped.Add(grace + time.Second)), q.Ended.Sub(q.Sent) >= timeout:
			continue
		case !passedOn && q.Ended.Sub(q.Sent) <= lossSlack:
			continue // it crossed the close and was not passed on
		case passedOn && q.Sent.Before(stopped.Add(sentInTime)) && q.Ended.After(stopped.Add(grace*5/6)):
			continue // its runner was at work in the last sixth of the grace period
		}
		lost++
		w.note("LOST: %s, sent %.3f s after SIGTERM, passed on %v, ended after %.3f s", q.ID, q.Sent.Sub(stopped).Seconds(), passedOn, q.Ended.Sub(q.Sent).Seconds())
	}
	w.note("%d requests, %d lost", len(all), lost)
	if lost > 0 {
		return broken
	}
	return held
}

func (w *world) play(name string, trouble bool) (int, error) {
	switch name {
	case "kept":
		return w.playKept(trouble)
	case "waiting":
		return w.playWaiting(trouble)
	}
	return notRun, fmt.Errorf("no case %q", name)
}

// playKept: each client has a stream in progress when its gateway is stopped, and sends its next
// request on the same connection soon after that stream has ended.
func (w *world) playKept(trouble bool) (int, error) {
	const clients, gap, pause = 6, 100 * time.Millisecond, 20 * time.Millisecond
	runner := func(id string) http.Handler {
		return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			attempt, mine := w.begin(rw, r, id)
			if !mine {
				return
			}
			w.runs(attempt, id)
			n := 60 // about 6 s
			if strings.HasSuffix(attempt, "2") {
				n = 35 // about 3.5 s
			}
			if stream(rw, r, id, attempt, n, gap) {
				w.note("%s: its run ends, complete", attempt)
			} else {
				w.note("%s: its run is cut", attempt)
			}
		})
	}
	g, err := w.start(configuration(300, 200, false), map[string]http.Handler{"i-1": runner("i-1"), "i-2": runner("i-2")})
	if err != nil {
		return notRun, err
	}
	var wg sync.WaitGroup
	failed := make(chan error, clients)
	for i := range clients {
		wg.Go(func() {
			c, err := dial(g.front)
			if err != nil {
				failed <- err
				return
			}
			defer func() { _ = c.conn.Close() }()
			if _, keep := w.ask(c, fmt.Sprintf("client-%d-request-1", i), "/q/x", ""); !keep {
				return
			}
			time.Sleep(pause)
			w.ask(c, fmt.Sprintf("client-%d-request-2", i), "/q/x", "")
		})
	}
	time.Sleep(500 * time.Millisecond)
	var stopped time.Time
	if trouble {
		stopped = w.stop(g)
	}
	wg.Wait()
	if len(failed) > 0 {
		return notRun, <-failed
	}
	return w.verdict(stopped), nil
}
