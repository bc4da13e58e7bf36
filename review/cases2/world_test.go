//go:build review2

// Package cases2 has the cases of the second review that are scripts. Each starts gateways as
// processes, with the build of the deploy file, and is the platform, the clients and the runners.
package cases2

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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

// Names of the wire.
const (
	headerAttempt  = "X-Cornelsaddle-Attempt-Id"
	headerSeal     = "X-Cornelsaddle-Runner-Seal"
	headerKey      = "X-Api-Key"
	headerTenant   = "X-Cornelsaddle-Tenant"
	headerDeadline = "X-Cornelsaddle-Deadline-Ms"
	headerExpect   = "X-Cornelsaddle-Expect-Runner"
	headerNotRun   = "X-Cornelsaddle-Not-Executed"
	headerRunnerID = "X-Cornelsaddle-Runner-Id"
	headerTokens   = "X-Cornelsaddle-Token-Count"
	headerModel    = "X-Cornelsaddle-Model"
	headerPrefix   = "X-Cornelsaddle-Prompt-Prefix"
	headerHelpers  = "X-Cornelsaddle-Helpers"

	host = "studio.example"
	zone = "kariakoo"
)

// trouble tells whether the case has its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// world is a deployment: the platform's store, runners and gateways.
type world struct {
	t         *testing.T
	store     *platformtest.Store
	storeAddr string
	folder    string
	started   time.Time

	mu     sync.Mutex
	record *os.File
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, store: platformtest.NewStore(1), folder: t.TempDir(), started: time.Now()}
	name := os.Getenv("RECORD")
	if name == "" {
		name = filepath.Join(w.folder, "record.txt")
	}
	f, err := os.Create(name)
	w.must(err)
	w.record = f
	t.Cleanup(func() { _ = f.Close() })
	w.storeAddr = w.listen(w.store)
	return w
}

// must ends a case that can't run.
func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		if w.record != nil {
			w.note("CANNOT RUN: %v", err)
		}
		w.t.FailNow()
	}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(w.record, line)
	w.t.Log(line)
}

// listen serves HTTP on a free loopback address.
func (w *world) listen(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	w.must(err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// configure writes a version of the configuration to the store, which acknowledges it.
func (w *world) configure(version int, routes []map[string]any, services []map[string]any, tenants []map[string]any) time.Time {
	for _, r := range routes {
		r["host"] = host
	}
	w.store.Put(platformtest.TableOperator, "config", encode(map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}))
	return time.Now()
}

func encode(doc any) []byte {
	b, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return b
}

// gateway is a running gateway.
type gateway struct {
	name, front, ready, control, settings string
	cmd                                   *exec.Cmd
	exited                                chan struct{}
}

func (w *world) free() string {
	a, err := platformtest.FreeAddress()
	w.must(err)
	return a
}

// newGateway returns a gateway that is not started, with the settings of a small deployment.
func (w *world) newGateway(name string, seeds ...string) *gateway {
	g := &gateway{name: name, front: w.free(), ready: w.free(), control: w.free(), settings: filepath.Join(w.folder, name+".json")}
	all := append([]string{g.control}, seeds...)
	w.must(os.WriteFile(g.settings, encode(map[string]any{
		"node": name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1", "zone": zone, "region": "dar-coast",
		"zones": map[string]string{zone: "dar-coast"}, "listen": map[string]string{"front": g.front, "ready": g.ready, "control": g.control},
		"seeds": all, "bootstrap": true, "heartbeat_ms": 1200, "discovery": "platform", "entry": "virtual_ip",
		"limits":    map[string]any{"cpu_share": 0.608, "cpu_cores": 1, "memory_mb": 414, "max_fds": 6150, "link_mbps": 1500.0, "disk_mb": 0},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "enforce_revoke": false, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
			"retry_window_s": 10, "retry_slack": 106, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "stall_ms": 1500, "max_hold_ms": 20000, "free_ms": 4000, "max_idle_ms": 9000,
		},
		"platform": map[string]any{"address": w.storeAddr, "form": "table", "writes_per_s": 400, "reads_per_s": 2000},
	}), 0o600))
	return g
}

// start starts the process of a gateway, by the command of the deploy file.
func (w *world) start(g *gateway) {
	log, err := os.OpenFile(filepath.Join(w.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	w.must(err)
	defer func() { _ = log.Close() }()
	bin := os.Getenv("PROGRAM")
	if bin == "" {
		bin = "../../target/cornelsaddle"
	}
	cmd := exec.Command(bin, "gateway", "-metrics", w.free())
	cmd.Env = append(os.Environ(), "CORNELSADDLE_BOOT="+g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	w.must(cmd.Start())
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	w.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-exited
		if os.Getenv("KEEPLOG") != "" {
			b, _ := os.ReadFile(filepath.Join(w.folder, g.name+".log"))
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEPLOG"), g.name+".log"), b, 0o600)
		}
	})
}

// startGateways starts gateways and waits until all are ready.
func (w *world) startGateways(n int) []*gateway {
	var list []*gateway
	var seeds []string
	for i := range n {
		g := w.newGateway("front-"+zone+"-"+strconv.Itoa(i+1), seeds...)
		if len(seeds) < 2 {
			seeds = append(seeds, g.control)
		}
		list = append(list, g)
		w.start(g)
	}
	for _, g := range list {
		w.awaitReady(g)
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	return list
}

func (w *world) awaitReady(g *gateway) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	w.must(fmt.Errorf("%s is not ready", g.name))
}

// runner is a runner that answers calls.
type runner struct {
	w       *world
	id      string
	service string
	address string
	born    int64
	work    time.Duration
	onRun   func(r *http.Request, body []byte)
	handle  func(rw http.ResponseWriter, r *http.Request, body []byte) bool

	mu   sync.Mutex
	runs map[string]int
}

// newRunner starts a runner and lists it.
func (w *world) newRunner(id, service string, slots int, work time.Duration) *runner {
	e := &runner{w: w, id: id, service: service, born: time.Now().UnixMilli(), work: work, runs: make(map[string]int)}
	e.address = w.listen(e)
	e.list("ready", slots)
	return e
}

func (e *runner) list(state string, slots int) {
	e.w.store.Put(platformtest.TableEndpoints, e.id, encode(map[string]any{
		"service": e.service, "address": e.address, "zone": zone, "version": "v1", "slots": slots, "state": state, "cold_left_ms": 0,
		"stage": "combined", "models": []any{map[string]any{"name": "m"}}, "seq": 1, "born": e.born,
	}))
}

func (e *runner) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get(headerAttempt)
	if attempt != "" {
		rw.Header().Set(headerAttempt, attempt)
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != e.id {
		rw.Header().Set(headerRunnerID, e.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.handle != nil && e.handle(rw, r, body) {
		return
	}
	e.mu.Lock()
	e.runs[attempt]++
	e.mu.Unlock()
	if e.onRun != nil {
		e.onRun(r, body)
	}
	time.Sleep(e.work)
	rw.Header().Set(headerSeal, e.id+"."+attempt)
	text := "done by " + e.service + " for " + attempt
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
}

func (e *runner) runsOf(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[attempt]
}

// client is a client's connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (w *world) dial(g *gateway) *client {
	c, err := net.DialTimeout("tcp4", g.front, time.Second)
	w.must(err)
	return &client{c, bufio.NewReader(c)}
}

// head returns the head of a request, without the blank line.
func head(method, path, attempt, key string, deadline time.Duration, more ...string) string {
	s := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headerAttempt + ": " + attempt + "\r\n" + headerKey + ": " + key + "\r\n" +
		headerDeadline + ": " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n"
	for _, line := range more {
		s += line + "\r\n"
	}
	return s
}

// answer reads an answer.
func (c *client) answer(within time.Duration) (status int, header http.Header, body string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(b), err
}

// broken ends a case in which a rule was broken, and held one in which it held.
func (w *world) broken(format string, args ...any) {
	w.note("BROKEN: "+format, args...)
	w.t.Errorf(format, args...)
}

// held ends a case in which the rule held.
func (w *world) held(format string, args ...any) { w.note("HELD: "+format, args...) }

// trace makes a process that hangs print what its goroutines wait for, and notes those that wait for
// the lock of a copy of a topic of the store.
func (w *world) trace(g *gateway) {
	if g.cmd.Process.Signal(syscall.SIGQUIT) != nil {
		return
	}
	<-g.exited
	b, err := os.ReadFile(filepath.Join(w.folder, g.name+".log"))
	if err != nil {
		return
	}
	for _, stack := range strings.Split(string(b), "\n\n") {
		if !strings.Contains(stack, "mirror.(*Mirror).pass(") || !strings.Contains(stack, "mirror.(*Mirror).Latest(") {
			continue
		}
		w.note("a goroutine of %s, the innermost call first:", g.name)
		for _, line := range strings.Split(stack, "\n") {
			if call, _, found := strings.Cut(line, "({"); found && !strings.HasPrefix(line, "\t") {
				line = call + "("
			}
			if name, _, found := strings.Cut(line, "(0x"); found {
				line = name
			}
			if strings.Contains(line, "/internal/") && !strings.HasPrefix(line, "\t") && !strings.HasPrefix(line, "created by") {
				w.note("    %s", line[strings.Index(line, "/internal/")+1:])
			}
		}
		return
	}
}
