package call

import (
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	standinplatform "cornelsaddle.example/cornelsaddle/standin/platform"
	"cornelsaddle.example/cornelsaddle/standin/service"
)

// testRun is a set of Runners in one process, each representing a VM, with one
// stand-in platform and one stand-in service.
type testRun struct {
	platform *standinplatform.Server
	service  *service.Server
	vms      []*Runner
	snapshot *confsync.Snapshot
}

func testConfig() calls.Config {
	cfg := calls.DefaultConfig()
	cfg.WriteTimeout = 150 * time.Millisecond
	cfg.BaseBackoff = time.Millisecond
	cfg.MaxBackoff = 10 * time.Millisecond
	return cfg
}

func newTestRun(t testing.TB, vms int) *testRun {
	t.Helper()
	p, err := standinplatform.Start(standinplatform.Config{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	t.Cleanup(p.Close)
	s, err := service.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(s.Close)
	log, err := event.New(io.Discard, "json", "info", "test")
	require.NoError(t, err)
	run := &testRun{platform: p, service: s, snapshot: &confsync.Snapshot{Document: &configuration.Document{
		Endpoints: map[string]configuration.Endpoint{"ledger-1": {Service: "ledger-desk", Address: s.Addr()}},
		Limits:    configuration.Limits{RetryBudget: 0.2, CallRetentionHours: 24},
	}}}
	for i := range vms {
		store := platform.New(p.Addr(), time.Second)
		store.SetVMs(1)
		caller := endpoint.NewCaller()
		t.Cleanup(func() { store.Close(); caller.Close() })
		run.vms = append(run.vms, newRunner(testConfig(), store, caller, log, fmt.Sprintf("entry-%d", i), int64(i)))
	}
	return run
}

func (r *testRun) request(id, key, body string) Request {
	return Request{
		ID:           id,
		Organisation: "framers",
		Service:      "ledger-desk",
		Operation:    "deposit",
		Key:          key,
		Body:         []byte(body),
		Deadline:     time.Now().Add(2 * time.Second),
		Snapshot:     r.snapshot,
	}
}

// killBeforeAction ends the goroutine of the VM's call just before the VM's n-th
// action, as if the process had been killed there.
func killBeforeAction(r *Runner, n int64) {
	var count atomic.Int64
	r.beforeAction = func(calls.Action) {
		if count.Add(1) == n {
			runtime.Goexit()
		}
	}
}
