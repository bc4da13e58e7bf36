package process_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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

// putJSON posts v to a stand-in.
func putJSON(t *testing.T, address, path string, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	require.NoError(t, err)
	res, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Less(t, res.StatusCode, 300)
}

// status asks a VM for its status.
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

// acquaint puts the VMs on the platform's list and waits until all know each
// other.
func (s *system) acquaint(t *testing.T) {
	t.Helper()
	var list wire.VMList
	for i, address := range s.peers {
		list.VMs = append(list.VMs, wire.VM{ID: fmt.Sprintf("entry-%d", i+1), Peer: address, FailureDomain: "upanga", State: wire.VMLive})
	}
	putJSON(t, s.platform, wire.PathVMs, list)
	require.Eventually(t, func() bool {
		for i := range s.admins {
			st, err := s.status(i)
			if err != nil || len(st.Peers) != len(s.admins)-1 {
				return false
			}
		}
		return true
	}, waitLimit, 50*time.Millisecond)
}

// startedAt is the number of attempts that the engine has started.
func startedAt(t *testing.T, address string) int {
	t.Helper()
	var list wire.StartedList
	require.True(t, getJSON(address, wire.PathStarted, &list))
	return len(list.Started)
}

// round sends a few prompts through each of the VMs.
func (s *system) round(t *testing.T, vms []int) {
	t.Helper()
	for _, i := range vms {
		for n := range 4 {
			res := post(t, s.callers[i], wire.PathCompletions, "", prompt(n))
			require.Equal(t, http.StatusOK, res.StatusCode)
			_, whole := readStream(t, res.Body)
			require.True(t, whole)
		}
	}
}

// TestLeavingEndpointGetsNoNewWork: one engine says that it leaves while one VM
// is paused, and takes its word back. Once the mark has spread, no VM sends it
// anything, the one that was paused neither.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := startSystem(t)
	s.acquaint(t)
	leaving := s.engines[0]
	require.NoError(t, s.vms[3].cmd.Process.Signal(syscall.SIGSTOP))
	putJSON(t, leaving, wire.PathFaults, wire.EngineFaults{Leaving: true})
	quiet := func(vms []int) func() bool {
		return func() bool {
			before := startedAt(t, leaving)
			s.round(t, vms)
			return startedAt(t, leaving) == before
		}
	}
	require.Eventually(t, quiet([]int{0, 1, 2}), waitLimit, time.Millisecond)
	putJSON(t, leaving, wire.PathFaults, wire.EngineFaults{})
	require.NoError(t, s.vms[3].cmd.Process.Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool {
		st, err := s.status(3)
		return err == nil && st.Ready
	}, waitLimit, 10*time.Millisecond)
	// The paused VM hears of the mark from its peers only: the engine's own
	// reports do not say it any more.
	require.Eventually(t, quiet([]int{3}), waitLimit, time.Millisecond)
	before := startedAt(t, leaving)
	for range 4 {
		s.round(t, []int{0, 1, 2, 3})
	}
	require.Equal(t, before, startedAt(t, leaving))
}

// TestListedEndpointsGetNoNewWork: the platform's list alone says that an engine
// and a plain service leave.
func TestListedEndpointsGetNoNewWork(t *testing.T) {
	s := startSystem(t)
	s.acquaint(t)
	putJSON(t, s.platform, wire.PathVMs, wire.VMList{VMs: []wire.VM{
		{ID: "scribe-1", State: wire.VMLeaving},
		{ID: "ledger-1", State: wire.VMLeaving},
	}})
	all := []int{0, 1, 2, 3}
	require.Eventually(t, func() bool {
		before := startedAt(t, s.engines[0])
		s.round(t, all)
		return startedAt(t, s.engines[0]) == before
	}, waitLimit, time.Millisecond)
	before := startedAt(t, s.engines[0])
	putJSON(t, s.platform, wire.PathVMs, wire.VMList{})
	for i := range s.callers {
		require.Eventually(t, func() bool {
			res := post(t, s.callers[i], "/v1/services/ledger-desk/deposit", fmt.Sprintf("deposit-%d-%d", i, time.Now().UnixNano()), map[string]int{"amount": 1})
			return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(wire.HeaderRan) == "no"
		}, waitLimit, 10*time.Millisecond)
	}
	s.round(t, all)
	require.Equal(t, before, startedAt(t, s.engines[0]))
}

// longPrompt streams for some seconds.
func longPrompt(i int) wire.CompletionRequest {
	req := prompt(i)
	req.MaxTokens = 1200
	return req
}

// TestDrainCutsNothing: two VMs get SIGTERM at once, with streams in flight and
// the store down.
func TestDrainCutsNothing(t *testing.T) {
	s := startSystem(t)
	s.acquaint(t)
	const streams = 6
	var wg sync.WaitGroup
	whole := make([]bool, streams)
	for i := range streams {
		req := longPrompt(i)
		res := post(t, s.callers[i%2], wire.PathCompletions, "", req)
		require.Equal(t, http.StatusOK, res.StatusCode)
		wg.Go(func() {
			text, done := readStream(t, res.Body)
			whole[i] = done && text == engine.AnswerText(req.Prompt, int64(req.MaxTokens))
		})
	}
	putJSON(t, s.platform, wire.PathFaults, wire.PlatformFaults{Down: true})
	for i := range 2 {
		require.NoError(t, s.vms[i].cmd.Process.Signal(syscall.SIGTERM))
	}
	require.Eventually(t, func() bool { return s.seesLeaving(2, "entry-1") && s.seesLeaving(3, "entry-2") }, waitLimit, 10*time.Millisecond)
	wg.Wait()
	for i := range whole {
		require.True(t, whole[i], "stream %d", i)
	}
	for i := range 2 {
		<-s.vms[i].done
		require.NoError(t, s.vms[i].err)
	}
}

// TestDrainFinishesCalls: a call that may not be repeated is at the service when
// its VM gets SIGTERM.
func TestDrainFinishesCalls(t *testing.T) {
	s := startSystem(t)
	putJSON(t, s.service, wire.PathFaults, service.Faults{DelayMs: 1000})
	var res *http.Response
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		res = post(t, s.callers[0], "/v1/services/ledger-desk/deposit", "deposit-1", struct{}{})
	}()
	require.Eventually(t, func() bool {
		st, err := s.status(0)
		return err == nil && st.InFlight == 1
	}, waitLimit, time.Millisecond)
	require.NoError(t, s.vms[0].cmd.Process.Signal(syscall.SIGTERM))
	<-answered
	require.Equal(t, http.StatusOK, res.StatusCode)
	<-s.vms[0].done
	require.NoError(t, s.vms[0].err)
	var effects service.Effects
	require.True(t, getJSON(s.service, wire.PathEffects, &effects))
	require.Equal(t, map[string]int{"deposit-1": 1}, effects.Effects)
}

// seesLeaving reports whether the VM knows that the other shuts down.
func (s *system) seesLeaving(i int, vm string) bool {
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
	}, waitLimit, 5*time.Millisecond)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	<-p.done
	require.Error(t, p.err, "a cut is a failure")
	_, whole := readStream(t, res.Body)
	require.False(t, whole)
}

// versions polls the VMs' versions until it is stopped, and notes one that goes
// down.
type versions struct {
	stop chan struct{}
	done chan struct{}
	fell string
}

func (s *system) watchVersions() *versions {
	v := &versions{stop: make(chan struct{}), done: make(chan struct{})}
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
					v.fell = fmt.Sprintf("%s: %d after %d", st.VM, st.Configuration, last[i])
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

// TestRacingOperatorsLoseNothing: two operators change a file each from the same
// base, while answers of the store are lost and one VM is paused.
func TestRacingOperatorsLoseNothing(t *testing.T) {
	s := startSystem(t)
	s.acquaint(t)
	watch := s.watchVersions()
	paused := s.vms[3]
	require.NoError(t, paused.cmd.Process.Signal(syscall.SIGSTOP))
	putJSON(t, s.platform, wire.PathFaults, wire.PlatformFaults{LoseAnswers: 2})
	const rounds = 3
	var wg sync.WaitGroup
	failures := make([]error, 2)
	for i := range failures {
		wg.Go(func() { failures[i] = s.operate(t.TempDir(), fmt.Sprintf("bench-%d", i), rounds) })
	}
	wg.Wait()
	for _, err := range failures {
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
	}, waitLimit, 20*time.Millisecond)
	close(watch.stop)
	<-watch.done
	require.Empty(t, watch.fell)

	final := t.TempDir()
	out, err := exec.Command(s.ctl, "fetch", "-platform", s.platform, final).CombinedOutput()
	require.NoError(t, err, string(out))
	for i := range failures {
		data, err := os.ReadFile(filepath.Join(final, fmt.Sprintf("bench-%d.json", i)))
		require.NoError(t, err)
		require.Contains(t, string(data), fmt.Sprintf(`"max_timeout_ms":%d`, 1000+rounds))
	}
}

// operate makes changes of one file, each from the newest version.
func (s *system) operate(dir, name string, rounds int) error {
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

// TestCutOffVMTakesNoWork: with the store down and its peers gone, a VM is not
// ready, and it comes back with the store.
func TestCutOffVMTakesNoWork(t *testing.T) {
	s := startSystem(t)
	s.acquaint(t)
	putJSON(t, s.platform, wire.PathFaults, wire.PlatformFaults{Down: true})
	for i := 1; i < len(s.vms); i++ {
		require.NoError(t, s.vms[i].cmd.Process.Kill())
	}
	require.Eventually(t, func() bool {
		st, err := s.status(0)
		return err == nil && !st.Ready && st.Standing == "cut_off"
	}, waitLimit, 50*time.Millisecond)
	res := post(t, s.callers[0], wire.PathCompletions, "", prompt(1))
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, "no", res.Header.Get(wire.HeaderRan))
	putJSON(t, s.platform, wire.PathFaults, wire.PlatformFaults{})
	require.Eventually(t, func() bool {
		st, err := s.status(0)
		return err == nil && st.Ready
	}, waitLimit, 50*time.Millisecond)
}
