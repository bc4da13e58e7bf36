//go:build review3

// Package cases3 has the stand-ins and clients of the scripts of this review, and the cases
// themselves. It is built by review/build-3.sh and started by the run.sh of a case.
package cases3

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to what runs them. Each returns the reasons why the rule is
// broken; none if it held.
var cases = map[string]func(s *system) []string{}

// TestMain runs the case that the environment names, and exits with the code of its script.
func TestMain(_ *testing.M) {
	run := cases[os.Getenv("CASE")]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Getenv("CASE"))
		os.Exit(exitNotRun)
	}
	s, err := newSystem(os.Getenv("CASE_DIR"), os.Getenv("PROGRAM"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	}
	code := s.runCase(run)
	s.close()
	os.Exit(code)
}

// couldNotRun is panicked with by a case whose system does not start.
type couldNotRun struct{ reason string }

func (s *system) runCase(run func(s *system) []string) (code int) {
	defer func() {
		if r := recover(); r != nil {
			c, ok := r.(couldNotRun)
			if !ok {
				s.close()
				panic(r)
			}
			s.note("could not run: %s", c.reason)
			fmt.Println("could not run:", c.reason)
			code = exitNotRun
		}
	}()
	broken := run(s)
	for _, b := range broken {
		s.note("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	s.note("held")
	fmt.Println("held")
	return exitHeld
}

// system is a store, runners and gateways, on loopback addresses.
type system struct {
	trouble bool
	program string
	dir     string
	started time.Time

	store     *platformtest.Store
	storeHTTP *http.Server
	storeAddr string

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	closed   bool
	gateways []*gateway
	runners  []*runner
	sequence int
}

func newSystem(caseDir, program string, trouble bool) (*system, error) {
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	s := &system{
		trouble: trouble, program: program, dir: dir, started: time.Now(), record: bufio.NewWriter(file), file: file,
		store: platformtest.NewStore(1),
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = l.Addr().String()
	s.storeHTTP = &http.Server{Handler: s.store}
	go func() { _ = s.storeHTTP.Serve(l) }()
	return s, nil
}

// note writes a line with the time since the start into the record.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	fmt.Fprintf(s.record, "%9.3f s  ", time.Since(s.started).Seconds())
	fmt.Fprintf(s.record, format, args...)
	_ = s.record.WriteByte('\n')
}

func (s *system) close() {
	for _, g := range s.gateways {
		g.kill()
	}
	for _, r := range s.runners {
		r.stop()
	}
	_ = s.storeHTTP.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	_ = s.record.Flush()
	_ = s.file.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	_ = os.RemoveAll(s.dir)
}

// nextID returns an id that no other request has.
func (s *system) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return fmt.Sprintf("9c41d07b%08x", s.sequence)
}

// gateway is one process of the system under review.
type gateway struct {
	s       *system
	name    string
	callers string
	ready   string
	metrics string
	path    string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// bounds are those that a site page names and that the settings file has.
type bounds map[string]any

// addGateways writes the settings files of the gateways with the names, and starts them.
func (s *system) addGateways(b bounds, contracts []string, names ...string) {
	addresses := make([][4]string, len(names))
	for i := range addresses {
		for j := range addresses[i] {
			a, err := platformtest.FreeAddress()
			if err != nil {
				panic(couldNotRun{err.Error()})
			}
			addresses[i][j] = a
		}
	}
	var seeds []string
	for _, a := range addresses {
		seeds = append(seeds, a[2])
	}
	for i, name := range names {
		a := addresses[i]
		g := &gateway{s: s, name: name, callers: a[0], ready: a[1], metrics: a[3], path: filepath.Join(s.dir, name+".json")}
		doc := map[string]any{
			"node": name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control"},
			"ip": "127.0.0.1", "zone": "z", "region": "r", "zones": map[string]string{"z": "r"},
			"listen": map[string]string{"front": a[0], "ready": a[1], "control": a[2]},
			"seeds":  seeds, "bootstrap": true, "count_loss": false,
			"limits":   map[string]any{"cpu_share": 0.608, "cpu_cores": 1, "memory_mb": 414, "max_fds": 6150, "link_mbps": 1500.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": heartbeat.Milliseconds(),
			"contracts": contracts, "fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0}, "bounds": b,
			"platform": map[string]any{"address": s.storeAddr, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 3.0, "history_s": 20},
		}
		text, err := json.Marshal(doc)
		if err == nil {
			err = os.WriteFile(g.path, text, 0o600)
		}
		if err != nil {
			panic(couldNotRun{err.Error()})
		}
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways {
		g.start()
	}
	for _, g := range s.gateways {
		g.awaitReady(20 * time.Second)
	}
}

// start starts the process by the command of the deploy file, with a metrics address of its own.
func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.Create(filepath.Join(g.s.dir, g.name+".log"))
	if err != nil {
		panic(couldNotRun{err.Error()})
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(g.s.program, "gateway", "-metrics", g.metrics)
	cmd.Env = append(os.Environ(), bootVariable+"="+g.path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(couldNotRun{err.Error()})
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	g.s.note("gateway %s started", g.name)
}

func (g *gateway) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.s.note("gateway %s gets %v", g.name, sig)
	_ = g.cmd.Process.Signal(sig)
}

func (g *gateway) kill() {
	g.mu.Lock()
	cmd, exited := g.cmd, g.exited
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(wait time.Duration) {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return
		}
	}
	panic(couldNotRun{"gateway " + g.name + " is not ready"})
}

// logLines returns the lines of the gateway's log that have the text.
func (g *gateway) logLines(text string) []string {
	b, err := os.ReadFile(filepath.Join(g.s.dir, g.name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for _, line := range strings.Split(string(b), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

const (
	heartbeat = 1200 * time.Millisecond
	// entryTimeout is the silence after which the platform removes a runner's entry.
	entryTimeout = 3 * heartbeat
	zone         = "z"
)

// Names of the platform.
const (
	bootVariable   = "CORNELSADDLE_BOOT"
	headerAttempt  = "X-Cornelsaddle-Attempt-Id"
	headerDeadline = "X-Cornelsaddle-Deadline-Ms"
	headerSeal     = "X-Cornelsaddle-Runner-Seal"
	headerExpect   = "X-Cornelsaddle-Expect-Runner"
	headerRunner   = "X-Cornelsaddle-Runner-Id"
	headerLoad     = "X-Cornelsaddle-Runner-Load"
	headerNotRun   = "X-Cornelsaddle-Not-Executed"
	headerModel    = "X-Cornelsaddle-Model"
	headerTokens   = "X-Cornelsaddle-Token-Count"
	headerPrefix   = "X-Cornelsaddle-Prompt-Prefix"
	headerTenant   = "X-Cornelsaddle-Tenant"
	headerKey      = "X-Api-Key"
	headerEventID  = "Last-Event-Id"
)

// runner is one runner: it registers itself, serves one request at a time on a connection, rejects
// what it has no slot for, and may crash, after which it starts again at its address.
type runner struct {
	s       *system
	id      string
	service string
	address string
	slots   int
	// handle runs a request that has a slot.
	handle func(r *runner, c net.Conn, req *http.Request, body []byte)
	// down is how long the runner is away after a crash.
	down time.Duration

	mu        sync.Mutex
	listener  net.Listener
	conns     map[net.Conn]bool
	born      int64
	seq       int
	running   int
	coldUntil time.Time
	stopped   chan struct{}
	isStopped bool
	crashes   int
}

func (s *system) addRunner(id, service string, slots int, handle func(r *runner, c net.Conn, req *http.Request, body []byte)) *runner {
	r := &runner{s: s, id: id, service: service, slots: slots, handle: handle, conns: make(map[net.Conn]bool), stopped: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(couldNotRun{err.Error()})
	}
	r.address = l.Addr().String()
	r.begin(l)
	s.runners = append(s.runners, r)
	go r.beat()
	return r
}

// begin begins an incarnation.
func (r *runner) begin(l net.Listener) {
	r.mu.Lock()
	r.listener, r.born, r.seq, r.running = l, time.Now().UnixMilli(), 0, 0
	r.mu.Unlock()
	r.register()
	go r.accept(l)
}

// register writes the runner's entry.
func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil || r.isStopped {
		return
	}
	r.seq++
	entry, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": zone, "version": "v1", "slots": r.slots, "state": "ready",
		"cold_left_ms": max(0, time.Until(r.coldUntil).Milliseconds()), "seq": r.seq, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	r.s.store.Put(platformtest.TableEndpoints, r.id, entry)
}

func (r *runner) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
			r.register()
		}
	}
}

func (r *runner) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.listener != l {
			r.mu.Unlock()
			_ = c.Close()
			return
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.answer(c, req, body) {
			return
		}
	}
}

// answer answers a request, and reports whether the connection stays open.
func (r *runner) answer(c net.Conn, req *http.Request, body []byte) bool {
	attempt := req.Header.Get(headerAttempt)
	if expected := req.Header.Get(headerExpect); expected != "" && expected != r.id {
		return reply(c, http.StatusMisdirectedRequest, http.Header{headerAttempt: {attempt}, headerRunner: {r.id}}, nil)
	}
	if req.URL.Path == "/healthz" {
		return reply(c, http.StatusOK, http.Header{headerRunner: {r.id}}, nil)
	}
	if attempt == "" {
		return reply(c, http.StatusBadRequest, http.Header{headerNotRun: {"1"}}, nil)
	}
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	load := fmt.Sprintf("%d,0,%d", r.running, r.slots)
	born := r.born
	r.mu.Unlock()
	if full {
		r.s.note("runner %s rejects %s: full", r.id, attempt)
		return reply(c, http.StatusServiceUnavailable, http.Header{headerAttempt: {attempt}, headerNotRun: {"1"}, headerLoad: {load}}, nil)
	}
	defer func() {
		r.mu.Lock()
		if r.born == born {
			r.running--
		}
		r.mu.Unlock()
	}()
	r.handle(r, c, req, body)
	return true
}

// crash ends all connections and the listener, and starts the runner again after its time.
func (r *runner) crash() {
	r.mu.Lock()
	if r.listener == nil {
		r.mu.Unlock()
		return
	}
	l, born := r.listener, r.born
	r.listener = nil
	r.crashes++
	_ = l.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
	r.mu.Unlock()
	r.s.note("runner %s crashes", r.id)
	time.AfterFunc(entryTimeout, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.listener == nil && r.born == born {
			r.s.store.Remove(platformtest.TableEndpoints, r.id)
		}
	})
	time.AfterFunc(r.down, func() {
		for {
			r.mu.Lock()
			stopped := r.isStopped
			r.mu.Unlock()
			if stopped {
				return
			}
			l, err := net.Listen("tcp4", r.address)
			if err == nil {
				r.begin(l)
				r.s.note("runner %s is back", r.id)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (r *runner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isStopped {
		return
	}
	r.isStopped = true
	close(r.stopped)
	if r.listener != nil {
		_ = r.listener.Close()
	}
	for c := range r.conns {
		_ = c.Close()
	}
}

// reply writes a whole response, and reports whether that succeeded.
func reply(c net.Conn, status int, header http.Header, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range header {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

// seal returns the header of an answer to an attempt.
func (r *runner) seal(attempt string) http.Header {
	return http.Header{headerAttempt: {attempt}, headerSeal: {r.id + "." + attempt}}
}

// stream writes events at a pace, in chunks, after the one that the request names.
func (r *runner) stream(c net.Conn, req *http.Request, events int, pace time.Duration) {
	attempt := req.Header.Get(headerAttempt)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	for name, values := range r.seal(attempt) {
		fmt.Fprintf(&b, "%s: %s\r\n", name, values[0])
	}
	b.WriteString("\r\n")
	if _, err := c.Write(b.Bytes()); err != nil {
		return
	}
	last, _ := strconv.Atoi(req.Header.Get(headerEventID))
	for i := last + 1; i <= events; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, attempt, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		time.Sleep(pace)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// answer is what a client got.
type answer struct {
	status int
	// whole is set if the whole body came.
	whole bool
	body  string
	err   error
	retry string
}

func (a answer) String() string {
	if a.err != nil {
		return "error " + a.err.Error()
	}
	return fmt.Sprintf("status %d, whole %t, %d bytes", a.status, a.whole, len(a.body))
}

// send sends a request on a connection of its own and reads the answer. The client waits for the
// time, which it states.
func (g *gateway) send(method, path, id string, header http.Header, body []byte, wait time.Duration) answer {
	g.s.note("client sends %s %s %s to %s %s", id, method, path, g.name, header.Get(headerPrefix))
	a := g.exchange(method, path, id, header, body, wait)
	g.s.note("client gets %s: %v", id, a)
	return a
}

func (g *gateway) exchange(method, path, id string, header http.Header, body []byte, wait time.Duration) answer {
	c, err := net.DialTimeout("tcp4", g.callers, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(wait))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, headerAttempt, id, headerDeadline, wait.Milliseconds())
	for name, values := range header {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	if len(body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, whole: err == nil, body: string(text), retry: resp.Header.Get("Retry-After")}
}

const (
	host       = "ficu95.example"
	key        = "n2ctnfzs989anu6wsjnb"
	tenant     = "hule930"
	pathPrompt = "/lohu930/"
	pathBook   = "/puxa403/"
	pathLook   = "/cufi504/"
	engines    = "huvo11a"
	otherPool  = "huvo22b"
	books      = "wuno96b"
)

// configuration returns the operator's configuration, with the routes, kinds and times of the
// example on the pages. coldPerS is that of the plain service; zero for none. pool is the service of the
// route for prompts, engines or otherPool.
func configuration(version int, pool string, coldPerS float64) []byte {
	route := func(name, prefix, kind, service string, timeout, goal, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "goal_ms": goal,
			"priority": 1, "service": service, "max_attempts": attempts, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	plain := map[string]any{"name": books, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
	if coldPerS > 0 {
		plain["cold_s"], plain["cold_per_s"] = 3.0, coldPerS
	}
	doc, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("r-2yhvz3p", pathPrompt, "streaming", pool, 10000, 300, 2, map[string]any{"sticky": true, "resumable": true, "target_gap_ms": 200}),
			route("r-fi6y7z5", pathBook, "non_idempotent", books, 4000, 300, 1, nil),
			route("r-ab1c2d3", pathLook, "idempotent", books, 4000, 300, 2, nil),
		},
		"services": []any{
			engineService(engines), engineService(otherPool), plain,
		},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return doc
}

// engineService returns a service of model runners, with the figures of the example on the pages.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_conns": 374, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 16, "kv_capacity": 450000, "kv_token_bytes": 327680, "link_mbps": 400000.0, "stride": 46,
			"models": []any{map[string]any{"name": "m"}}, "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
			"read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0,
			"usual": map[string]int{"prompt": 13239, "answer": 1540}, "hop_ms": 0.1,
		},
	}
}

// small are the bounds of the small sites.
func small() bounds {
	return bounds{
		"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
		"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2,
		"retry_window_s": 10, "retry_slack": 106, "recovery_s": 12, "pass_ms": 120, "stall_ms": 1500, "max_hold_ms": 20000, "free_ms": 4000, "max_idle_ms": 9000,
	}
}

var smallContracts = []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"}
