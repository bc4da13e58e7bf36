package process_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/lease"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/service"
)

const (
	leaseKey   = lease.KeyPrefix + "orders/scribe-pool"
	pollPeriod = 50 * time.Millisecond
	// resumedHolderWatch is how long the system is observed after the paused
	// former lease holder resumes.
	resumedHolderWatch = 3 * time.Second
)

// callSystem has three VMs, a plain service, and two engines with a deployed
// model version. The second engine does not check fencing numbers.
type callSystem struct {
	*system
	dir      string
	ctl      string
	platform string
	doc      configuration.Document
}

// startCallSystem starts the processes with model version v1 configured and waits
// until the VMs are ready.
func startCallSystem(t *testing.T) *callSystem {
	t.Helper()
	dir := t.TempDir()
	standinBin := build(t, "cornelsaddle.example/cornelsaddle/standin/cmd/standin")
	serveBin := build(t, "cornelsaddle.example/cornelsaddle/cmd/cornelsaddle")
	c := &callSystem{
		system:   &system{service: addressOnly(startStandin(t, standinBin, "-role", "service"))},
		dir:      dir,
		ctl:      build(t, "cornelsaddle.example/cornelsaddle/cmd/cornelsaddlectl"),
		platform: addressOnly(startStandin(t, standinBin, "-role", "platform")),
	}
	c.doc = configuration.Document{
		Organisations: map[string]configuration.Organisation{
			"framers": {KeyDigests: []string{calls.Digest([]byte(callerKey))}, Weight: 1, Services: []string{"ledger-desk"}},
		},
		Services: map[string]configuration.Service{
			"scribe-pool": {Kind: configuration.KindModel, MaxTimeoutMs: 30_000},
			"ledger-desk": {Kind: configuration.KindPlain, MaxTimeoutMs: 10_000, Operations: map[string]configuration.Operation{
				"deposit": {Idempotent: false},
			}},
		},
		Endpoints: map[string]configuration.Endpoint{
			"ledger-1": {Service: "ledger-desk", Address: c.service, FailureDomain: "upanga"},
		},
		Limits: configuration.Limits{RetryBudget: 0.2, CallRetentionHours: 24},
	}
	for i, checks := range []string{"true", "false"} {
		engine := addressOnly(startStandin(t, standinBin, "-role", "engine", "-model", "scribe-pool", "-checks-fencing="+checks))
		c.engines = append(c.engines, engine)
		c.doc.Endpoints[fmt.Sprintf("scribe-%d", i+1)] = configuration.Endpoint{
			Service: "scribe-pool", Address: engine, FailureDomain: "upanga", MemoryTokens: 400_000,
		}
	}
	c.apply(t, 0, "v1")
	for i := range 3 {
		c.startVM(t, serveBin, dir, c.platform, i)
	}
	return c
}

// addressOnly returns the address from the results of startStandin. The process
// itself is killed at the end of the test.
func addressOnly(a string, _ *process) string { return a }

// apply applies the configuration with the given model version, on top of the
// configuration version base.
func (c *callSystem) apply(t *testing.T, base int, version string) {
	t.Helper()
	s := c.doc.Services["scribe-pool"]
	s.Deploy = &configuration.Deploy{Version: version, MaxUnavailable: 1}
	c.doc.Services["scribe-pool"] = s
	data, err := json.Marshal(c.doc)
	require.NoError(t, err)
	folder := filepath.Join(c.dir, version)
	require.NoError(t, os.Mkdir(folder, 0o755))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "10-all.json"), data, 0o644))
	out, err := exec.Command(c.ctl, "apply", "-platform", c.platform, "-base", fmt.Sprint(base), folder).CombinedOutput()
	require.NoError(t, err, string(out))
}

// mustGetJSON decodes the JSON response to a GET into the value.
func mustGetJSON(t *testing.T, address, path string, into any) {
	t.Helper()
	res, err := http.Get("http://" + address + path)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	require.NoError(t, json.NewDecoder(res.Body).Decode(into))
}

// postJSON posts body as JSON and ignores the status of the response.
func postJSON(t *testing.T, address, path string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	res, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
}

// rows returns up to 100 rows of the platform's table whose keys have the prefix.
func (c *callSystem) rows(t *testing.T, prefix string) []wire.Row {
	t.Helper()
	data, err := json.Marshal(wire.Scan{Prefix: prefix, Limit: 100})
	require.NoError(t, err)
	res, err := http.Post("http://"+c.platform+wire.PathScan, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var result wire.ScanResult
	require.NoError(t, json.NewDecoder(res.Body).Decode(&result))
	return result.Rows
}

// readLease returns the row of the engines' lease, or a zero row if there is none.
func (c *callSystem) readLease(t *testing.T) lease.Row {
	t.Helper()
	var row lease.Row
	for _, r := range c.rows(t, leaseKey) {
		require.NoError(t, json.Unmarshal(r.Value, &row))
	}
	return row
}

func (c *callSystem) describe(t *testing.T, address string) wire.Description {
	t.Helper()
	var d wire.Description
	mustGetJSON(t, address, wire.PathDescription, &d)
	return d
}

// allServe reports whether every engine serves the version, as set by an order
// with that fencing number.
func (c *callSystem) allServe(t *testing.T, version string, fencing int64) bool {
	t.Helper()
	for _, address := range c.engines {
		if d := c.describe(t, address); d.Current.Version != version || d.Current.Fencing != fencing {
			return false
		}
	}
	return true
}

// deposit calls the service and returns the HTTP status and the X-Request-Ran
// header, or 0 and "unknown" if there was no response.
func deposit(t *testing.T, address, idempotencyKey string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/ledger-desk/deposit", bytes.NewReader([]byte(`{"amount":100}`)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set(wire.HeaderIdempotencyKey, idempotencyKey)
	req.Header.Set(wire.HeaderTimeoutMs, "2000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "unknown"
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header.Get(wire.HeaderRan)
}

// effects returns how often the service executed the call with the key.
func (c *callSystem) effects(t *testing.T, key string) int {
	t.Helper()
	var effects service.Effects
	mustGetJSON(t, c.service, wire.PathEffects, &effects)
	return effects.Effects[key]
}

// TestKilledMidCall guards against running a non-idempotent call twice. The VM is
// killed while its call is in flight at the service. Retries through the other
// VMs must not run the call again, and must report "unknown", never "no". With
// the store down, a new call must be refused without running; with the response
// to a store write lost, it must run once.
func TestKilledMidCall(t *testing.T) {
	t.Parallel()
	c := startCallSystem(t)
	postJSON(t, c.service, wire.PathFaults, service.Faults{DelayMs: 1000})
	reported := make(chan string, 1)
	go func() {
		_, ran := deposit(t, c.callers[0], "k-1")
		reported <- ran
	}()
	require.Eventually(t, func() bool { return len(c.rows(t, calls.KeyPrefix)) == 1 }, waitTimeout, pollPeriod)
	require.NoError(t, c.vms[0].cmd.Process.Kill())
	require.Equal(t, "unknown", <-reported)
	for _, address := range c.callers[1:] {
		status, ran := deposit(t, address, "k-1")
		require.Equal(t, http.StatusConflict, status)
		require.Equal(t, "unknown", ran)
	}
	var state struct {
		Status string `json:"status"`
	}
	require.Eventually(t, func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+c.callers[1]+"/v1/calls/ledger-desk/k-1", nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+callerKey)
		res, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer func() { _ = res.Body.Close() }()
		return json.NewDecoder(res.Body).Decode(&state) == nil && state.Status == "unknown"
	}, waitTimeout, pollPeriod)
	for _, address := range c.callers[1:] {
		_, ran := deposit(t, address, "k-1")
		require.Equal(t, "unknown", ran)
	}
	require.LessOrEqual(t, c.effects(t, "k-1"), 1)

	postJSON(t, c.service, wire.PathFaults, service.Faults{})
	postJSON(t, c.platform, wire.PathFaults, wire.PlatformFaults{Down: true})
	status, ran := deposit(t, c.callers[1], "k-2")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "no", ran)
	require.Zero(t, c.effects(t, "k-2"))
	postJSON(t, c.platform, wire.PathFaults, wire.PlatformFaults{LoseAnswers: 1})
	status, ran = deposit(t, c.callers[1], "k-2")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "yes", ran)
	require.Equal(t, 1, c.effects(t, "k-2"))
}

// TestFrozenHolder guards against orders from a stale lease holder. The VM that
// holds the lease on the engines is paused with SIGSTOP until another VM has taken
// the lease and deployed a new version. After SIGCONT it must neither change the
// engines' version nor take the lease back.
func TestFrozenHolder(t *testing.T) {
	t.Parallel()
	c := startCallSystem(t)
	require.Eventually(t, func() bool { f := c.readLease(t).Fencing; return f > 0 && c.allServe(t, "v1", f) }, waitTimeout, pollPeriod)
	first := c.readLease(t)
	var index int
	_, err := fmt.Sscanf(first.Holder, "entry-%d", &index)
	require.NoError(t, err)
	frozen := c.vms[index-1].cmd.Process
	require.NoError(t, frozen.Signal(syscall.SIGSTOP))
	defer func() { _ = frozen.Signal(syscall.SIGCONT) }()

	require.Eventually(t, func() bool { return c.readLease(t).Fencing > first.Fencing }, 2*waitTimeout, pollPeriod)
	second := c.readLease(t)
	require.NotEqual(t, first.Holder, second.Holder)
	c.apply(t, 1, "v2")
	require.Eventually(t, func() bool { return c.allServe(t, "v2", second.Fencing) }, waitTimeout, pollPeriod)

	require.NoError(t, frozen.Signal(syscall.SIGCONT))
	for end := time.Now().Add(resumedHolderWatch); time.Now().Before(end); time.Sleep(pollPeriod) {
		require.True(t, c.allServe(t, "v2", second.Fencing), "the resumed former lease holder issued an order")
		require.Equal(t, second.Fencing, c.readLease(t).Fencing, "the resumed former lease holder took the lease back")
	}
}
