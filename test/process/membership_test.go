package process_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/node"
	"cornelsaddle.example/cornelsaddle/standin/engine"
	"cornelsaddle.example/cornelsaddle/standin/service"
)

const adminToken = "0123456789abcdef"

// mustPostJSON posts v to a stand-in and requires a status below 300.
func mustPostJSON(t *testing.T, address, path string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	require.NoError(t, err)
	res, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Less(t, res.StatusCode, 300)
}

// status fetches /status from the VM's admin listener.
func (s *system) status(i int) (node.Status, error) {
	var st node.Status
	req, err := http.NewRequest(http.MethodGet, "http://"+s.admins[i]+"/status", nil)
	if err != nil {
		return st, err
	}
	req.Header.Set("Authorization", "Bearer "+adminToken)
	client := http.Client{Timeout: time.Second}
	res, err := client.Do(req)
	if err != nil {
		return st, err
	}
	defer func() { _ = res.Body.Close() }()
	return st, json.NewDecoder(res.Body).Decode(&st)
}

// registerVMs publishes the VMs in the platform's list and waits until each VM
// lists all others as peers.
func (s *system) registerVMs(t *testing.T) {
	t.Helper()
	var list wire.VMList
	for i, address := range s.peers {
		list.VMs = append(list.VMs, wire.VM{ID: fmt.Sprintf("entry-%d", i+1), Peer: address, FailureDomain: "upanga", State: wire.VMLive})
	}
	mustPostJSON(t, s.platform, wire.PathVMs, list)
	require.Eventually(t, func() bool {
		for i := range s.admins {
			st, err := s.status(i)
			if err != nil || len(st.Peers) != len(s.admins)-1 {
				return false
			}
		}
		return true
	}, waitTimeout, 50*time.Millisecond)
}

// startedAttempts returns the number of attempts that the engine has started.
func startedAttempts(t *testing.T, address string) int {
	t.Helper()
	var list wire.StartedList
	require.True(t, getJSON(address, wire.PathStarted, &list))
	return len(list.Started)
}

// sendPrompts sends four prompts through each of the VMs and requires complete
// answers.
func (s *system) sendPrompts(t *testing.T, vms []int) {
	t.Helper()
	for _, i := range vms {
		for n := range 4 {
			res := post(t, s.callers[i], wire.PathCompletions, "", prompt(n))
			require.Equal(t, http.StatusOK, res.StatusCode)
			_, complete := readStream(t, res.Body)
			require.True(t, complete)
		}
	}
}

// TestLeavingEndpointGetsNoNewWork guards against requests to an engine that has
// reported itself as leaving. The engine reports it while one VM is paused and
// withdraws the report before that VM resumes. Once the leaving mark has
// propagated, no VM may send a request to the engine, including the VM that was
// paused.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := startSystem(t)
	s.registerVMs(t)
	leaving := s.engines[0]
	require.NoError(t, s.vms[3].cmd.Process.Signal(syscall.SIGSTOP))
	mustPostJSON(t, leaving, wire.PathFaults, wire.EngineFaults{Leaving: true})
	noNewAttempts := func(vms []int) func() bool {
		return func() bool {
			before := startedAttempts(t, leaving)
			s.sendPrompts(t, vms)
			return startedAttempts(t, leaving) == before
		}
	}
	require.Eventually(t, noNewAttempts([]int{0, 1, 2}), waitTimeout, time.Millisecond)
	mustPostJSON(t, leaving, wire.PathFaults, wire.EngineFaults{})
	require.NoError(t, s.vms[3].cmd.Process.Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool {
		st, err := s.status(3)
		return err == nil && st.Ready
	}, waitTimeout, 10*time.Millisecond)
	// The VM that was paused can receive the leaving mark only from its peers:
	// the engine's load reports no longer contain it.
	require.Eventually(t, noNewAttempts([]int{3}), waitTimeout, time.Millisecond)
	before := startedAttempts(t, leaving)
	for range 4 {
		s.sendPrompts(t, []int{0, 1, 2, 3})
	}
	require.Equal(t, before, startedAttempts(t, leaving))
}

// TestEndpointsListedAsLeavingGetNoNewWork guards against requests to endpoints
// that only the platform's list marks as leaving: an engine and a plain service.
// They must still get no requests after the list has become empty.
func TestEndpointsListedAsLeavingGetNoNewWork(t *testing.T) {
	s := startSystem(t)
	s.registerVMs(t)
	mustPostJSON(t, s.platform, wire.PathVMs, wire.VMList{VMs: []wire.VM{
		{ID: "scribe-1", State: wire.VMLeaving},
		{ID: "ledger-1", State: wire.VMLeaving},
	}})
	all := []int{0, 1, 2, 3}
	require.Eventually(t, func() bool {
		before := startedAttempts(t, s.engines[0])
		s.sendPrompts(t, all)
		return startedAttempts(t, s.engines[0]) == before
	}, waitTimeout, time.Millisecond)
	before := startedAttempts(t, s.engines[0])
	mustPostJSON(t, s.platform, wire.PathVMs, wire.VMList{})
	for i := range s.callers {
		require.Eventually(t, func() bool {
			res := post(t, s.callers[i], "/v1/services/ledger-desk/deposit", fmt.Sprintf("deposit-%d-%d", i, time.Now().UnixNano()), map[string]int{"amount": 1})
			return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(wire.HeaderRan) == "no"
		}, waitTimeout, 10*time.Millisecond)
	}
	s.sendPrompts(t, all)
	require.Equal(t, before, startedAttempts(t, s.engines[0]))
}

// longPrompt returns a request whose answer streams for some seconds.
func longPrompt(i int) wire.CompletionRequest {
	req := prompt(i)
	req.MaxTokens = 1200
	return req
}

// TestDrainFinishesStreams guards against streams interrupted by a drain. Two VMs receive
// SIGTERM at the same time, with streams in flight and the store down.
func TestDrainFinishesStreams(t *testing.T) {
	s := startSystem(t)
	s.registerVMs(t)
	const streams = 6
	var wg sync.WaitGroup
	complete := make([]bool, streams)
	for i := range streams {
		req := longPrompt(i)
		res := post(t, s.callers[i%2], wire.PathCompletions, "", req)
		require.Equal(t, http.StatusOK, res.StatusCode)
		wg.Go(func() {
			text, done := readStream(t, res.Body)
			complete[i] = done && text == engine.AnswerText(req.Prompt, int64(req.MaxTokens))
		})
	}
	mustPostJSON(t, s.platform, wire.PathFaults, wire.PlatformFaults{Down: true})
	for i := range 2 {
		require.NoError(t, s.vms[i].cmd.Process.Signal(syscall.SIGTERM))
	}
	require.Eventually(t, func() bool { return s.peerIsLeaving(2, "entry-1") && s.peerIsLeaving(3, "entry-2") }, waitTimeout, 10*time.Millisecond)
	wg.Wait()
	for i := range complete {
		require.True(t, complete[i], "stream %d", i)
	}
	for i := range 2 {
		<-s.vms[i].done
		require.NoError(t, s.vms[i].err)
	}
}

// TestDrainFinishesCalls guards against calls interrupted by a drain. A non-idempotent call
// is in flight at the service when its VM receives SIGTERM.
func TestDrainFinishesCalls(t *testing.T) {
	s := startSystem(t)
	mustPostJSON(t, s.service, wire.PathFaults, service.Faults{DelayMs: 1000})
	var res *http.Response
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		res = post(t, s.callers[0], "/v1/services/ledger-desk/deposit", "deposit-1", struct{}{})
	}()
	require.Eventually(t, func() bool {
		st, err := s.status(0)
		return err == nil && st.InFlight == 1
	}, waitTimeout, time.Millisecond)
	require.NoError(t, s.vms[0].cmd.Process.Signal(syscall.SIGTERM))
	<-answered
	require.Equal(t, http.StatusOK, res.StatusCode)
	<-s.vms[0].done
	require.NoError(t, s.vms[0].err)
	var effects service.Effects
	require.True(t, getJSON(s.service, wire.PathEffects, &effects))
	require.Equal(t, map[string]int{"deposit-1": 1}, effects.Effects)
}

// peerIsLeaving reports whether the status of VM i lists the peer vm as leaving.
func (s *system) peerIsLeaving(i int, vm string) bool {
	st, err := s.status(i)
	if err != nil {
		return false
	}
	for _, p := range st.Peers {
		if p.VM == vm {
			return p.Leaving
		}
	}
	return false
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	s := startSystem(t)
	res := post(t, s.callers[0], wire.PathCompletions, "", longPrompt(1))
	require.Equal(t, http.StatusOK, res.StatusCode)
	p := s.vms[0]
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool {
		st, err := s.status(0)
		return err == nil && st.State != "serving"
	}, waitTimeout, 5*time.Millisecond)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	<-p.done
	require.Error(t, p.err, "a shutdown that interrupts requests must exit with an error")
	_, complete := readStream(t, res.Body)
	require.False(t, complete)
}

// versionMonitor polls the configuration versions of the VMs until stop is closed.
// regression describes the last decrease seen; it is empty if there was none.
type versionMonitor struct {
	stop       chan struct{}
	done       chan struct{}
	regression string
}

func (s *system) monitorVersions() *versionMonitor {
	v := &versionMonitor{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(v.done)
		last := make([]int64, len(s.admins))
		for {
			for i := range s.admins {
				st, err := s.status(i)
				if err != nil {
					continue
				}
				if st.Configuration < last[i] {
					v.regression = fmt.Sprintf("%s: %d after %d", st.VM, st.Configuration, last[i])
				}
				last[i] = st.Configuration
			}
			select {
			case <-v.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return v
}

// TestConcurrentAppliesLoseNoChanges guards against lost configuration updates. Two
// operators concurrently change one file each, while responses to store writes are
// lost and one VM is paused.
func TestConcurrentAppliesLoseNoChanges(t *testing.T) {
	s := startSystem(t)
	s.registerVMs(t)
	monitor := s.monitorVersions()
	paused := s.vms[3]
	require.NoError(t, paused.cmd.Process.Signal(syscall.SIGSTOP))
	mustPostJSON(t, s.platform, wire.PathFaults, wire.PlatformFaults{LoseAnswers: 2})
	const rounds = 3
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		wg.Go(func() { errs[i] = s.applyChanges(t.TempDir(), fmt.Sprintf("bench-%d", i), rounds) })
	}
	wg.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	require.NoError(t, paused.cmd.Process.Signal(syscall.SIGCONT))
	const newest = 1 + 2*rounds
	require.Eventually(t, func() bool {
		for i := range s.admins {
			if st, err := s.status(i); err != nil || st.Configuration != newest || !st.Ready {
				return false
			}
		}
		return true
	}, waitTimeout, 20*time.Millisecond)
	close(monitor.stop)
	<-monitor.done
	require.Empty(t, monitor.regression)

	final := t.TempDir()
	out, err := exec.Command(s.ctl, "fetch", "-platform", s.platform, final).CombinedOutput()
	require.NoError(t, err, string(out))
	for i := range errs {
		data, err := os.ReadFile(filepath.Join(final, fmt.Sprintf("bench-%d.json", i)))
		require.NoError(t, err)
		require.Contains(t, string(data), fmt.Sprintf(`"max_timeout_ms":%d`, 1000+rounds))
	}
	// Apply the newest folder again and wait until it is in force on all VMs, as
	// the operators' documentation describes.
	apply := exec.Command(s.ctl, "apply", "-json", "-platform", s.platform, "-base", fmt.Sprint(newest),
		"-wait", waitTimeout.String(), "-admin", strings.Join(s.admins, ","), final)
	apply.Env = append(os.Environ(), "CORNELSADDLE_ADMIN_TOKEN="+adminToken)
	out, err = apply.Output()
	require.NoError(t, err, string(out))
	var accepted struct {
		Version int64    `json:"version"`
		InForce []string `json:"in_force"`
	}
	require.NoError(t, json.Unmarshal(out, &accepted), string(out))
	require.Equal(t, int64(newest+1), accepted.Version)
	require.Len(t, accepted.InForce, len(s.admins))
}

// applyChanges changes one file rounds times, each time on top of the newest
// configuration version.
func (s *system) applyChanges(dir, name string, rounds int) error {
	for n := 1; n <= rounds; n++ {
		var f struct {
			Version int64 `json:"version"`
		}
		out, err := exec.Command(s.ctl, "fetch", "-json", "-platform", s.platform, dir).Output()
		if err != nil {
			return err
		}
		if err := json.Unmarshal(out, &f); err != nil {
			return err
		}
		data := fmt.Sprintf(`{"services":{%q:{"kind":"plain","max_timeout_ms":%d,"operations":{"a":{"idempotent":true}}}}}`, name, 1000+n)
		if err := os.WriteFile(filepath.Join(dir, name+".json"), []byte(data), 0o644); err != nil {
			return err
		}
		cmd := exec.Command(s.ctl, "apply", "-platform", s.platform, "-base", fmt.Sprint(f.Version), dir)
		cmd.Stderr = os.Stderr
		if err := cmd.Run(); err != nil {
			return err
		}
	}
	return nil
}

// TestCutOffVMTakesNoWork guards against requests served from a possibly outdated
// configuration. With the store down and all peers killed, a VM must not be ready
// and must refuse requests; it must be ready again once the store is back.
func TestCutOffVMTakesNoWork(t *testing.T) {
	s := startSystem(t)
	s.registerVMs(t)
	mustPostJSON(t, s.platform, wire.PathFaults, wire.PlatformFaults{Down: true})
	for i := 1; i < len(s.vms); i++ {
		require.NoError(t, s.vms[i].cmd.Process.Kill())
	}
	require.Eventually(t, func() bool {
		st, err := s.status(0)
		return err == nil && !st.Ready && st.Standing == "cut_off"
	}, waitTimeout, 50*time.Millisecond)
	res := post(t, s.callers[0], wire.PathCompletions, "", prompt(1))
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, "no", res.Header.Get(wire.HeaderRan))
	mustPostJSON(t, s.platform, wire.PathFaults, wire.PlatformFaults{})
	require.Eventually(t, func() bool {
		st, err := s.status(0)
		return err == nil && st.Ready
	}, waitTimeout, 50*time.Millisecond)
}
