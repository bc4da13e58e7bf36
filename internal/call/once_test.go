package call

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/standin/service"
)

// maxActions is greater than the number of actions of a call without faults.
const maxActions = 5

// TestKilledBeforeEachAction kills a VM before each of a call's actions. A
// repeat on another VM must not run the call a second time, and the
// reported outcomes must be true.
func TestKilledBeforeEachAction(t *testing.T) {
	for n := int64(1); n <= maxActions; n++ {
		run := newTestRun(t, 2)
		killBeforeAction(run.vms[0], n)
		_, first := run.vms[0].Once(run.request("r-1", "k", "100"))
		run.vms[0].Wait()
		_, second := run.vms[1].Once(run.request("r-2", "k", "100"))
		run.vms[1].Wait()
		effects := run.service.Effects()["k"]
		require.LessOrEqual(t, effects, 1, "killed before action %d", n)
		for id, err := range map[string]error{"r-1": first, "r-2": second} {
			e := errcode.From(err)
			switch {
			case e == nil:
				require.Equal(t, 1, effects, "killed before action %d", n)
			case e.Ran == errcode.RanNo:
				require.NotContains(t, run.service.Started(), id, "killed before action %d", n)
			}
		}
		state, err := run.vms[1].State("framers", "ledger-desk", "k")
		require.NoError(t, err)
		require.NotEqual(t, errcode.RanNo, state.Ran, "killed before action %d", n)
	}
}

func TestStoreOutageBeforeAndDuringCall(t *testing.T) {
	run := newTestRun(t, 1)
	run.platform.SetFaults(wire.PlatformFaults{Down: true})
	_, err := run.vms[0].Once(run.request("r-1", "k", "100"))
	require.True(t, errcode.Is(err, errcode.StoreUnavailable))
	require.Equal(t, errcode.RanNo, errcode.From(err).Ran)
	require.Positive(t, errcode.From(err).RetryAfter)
	require.Empty(t, run.service.Started())

	run.platform.SetFaults(wire.PlatformFaults{})
	run.vms[0].beforeAction = func(a calls.Action) {
		if _, ok := a.(calls.Send); ok {
			run.platform.SetFaults(wire.PlatformFaults{Down: true})
		}
	}
	_, err = run.vms[0].Once(run.request("r-2", "k", "100"))
	require.NoError(t, err, "a store outage after the call was recorded must not fail the call")
	run.platform.SetFaults(wire.PlatformFaults{})
	run.vms[0].Wait()
	state, err := run.vms[0].State("framers", "ledger-desk", "k")
	require.NoError(t, err)
	require.Equal(t, errcode.RanYes, state.Ran)
	require.Equal(t, 1, run.service.Effects()["k"])
}

func TestStoreLosesMessages(t *testing.T) {
	for _, faults := range []wire.PlatformFaults{{LoseAnswers: 1}, {LoseAnswers: 3}, {LoseRequests: 2}, {LoseAnswers: 9, LoseRequests: 9}} {
		run := newTestRun(t, 1)
		run.platform.SetFaults(faults)
		_, err := run.vms[0].Once(run.request("r-1", "k", "100"))
		run.vms[0].Wait()
		effects := run.service.Effects()["k"]
		if err == nil {
			require.Equal(t, 1, effects)
			continue
		}
		require.Equal(t, errcode.RanNo, errcode.From(err).Ran)
		require.Zero(t, effects)
		run.platform.SetFaults(wire.PlatformFaults{})
		_, err = run.vms[0].Once(run.request("r-2", "k", "100"))
		require.NoError(t, err, "a call that provably did not run may be repeated with its key")
		require.Equal(t, 1, run.service.Effects()["k"])
	}
}

func TestLostServiceAnswerMakesOutcomeUnknown(t *testing.T) {
	run := newTestRun(t, 2)
	run.service.SetFaults(service.Faults{LoseAnswers: 1})
	for i, vm := range run.vms {
		_, err := vm.Once(run.request("r", "k", "100"))
		require.True(t, errcode.Is(err, errcode.CallOutcomeUnknown), "call %d: %v", i, err)
	}
	require.Equal(t, 1, run.service.Effects()["k"])
}

func TestCallRefusedByServiceMayBeRepeated(t *testing.T) {
	run := newTestRun(t, 2)
	run.service.SetFaults(service.Faults{Refuse: true})
	_, err := run.vms[0].Once(run.request("r-1", "k", "100"))
	require.Equal(t, errcode.RanNo, errcode.From(err).Ran)
	run.service.SetFaults(service.Faults{})
	_, err = run.vms[1].Once(run.request("r-2", "k", "100"))
	require.NoError(t, err)
	_, err = run.vms[1].Once(run.request("r-3", "k", "200"))
	require.True(t, errcode.Is(err, errcode.KeyReused))
	require.Equal(t, []string{"r-2"}, run.service.Started())
}

func TestLargeResultsAreReplayed(t *testing.T) {
	run := newTestRun(t, 2)
	run.service.SetFaults(service.Faults{AnswerBytes: 4 * maxInlineBytes})
	first, err := run.vms[0].Once(run.request("r-1", "k", "100"))
	require.NoError(t, err)
	require.Len(t, first.Body, 4*maxInlineBytes)
	repeated, err := run.vms[1].Once(run.request("r-2", "k", "100"))
	require.NoError(t, err)
	require.True(t, bytes.Equal(first.Body, repeated.Body))

	run.service.SetFaults(service.Faults{AnswerBytes: 9 << 20})
	_, err = run.vms[0].Once(run.request("r-3", "huge", "100"))
	require.True(t, errcode.Is(err, errcode.ResultTooLarge), "%v", err)
	require.Equal(t, errcode.RanYes, errcode.From(err).Ran)
}

// TestLargeResultDuringObjectStoreOutage checks that the caller gets a
// response that cannot be stored, and that a repeat reports that the call ran.
func TestLargeResultDuringObjectStoreOutage(t *testing.T) {
	run := newTestRun(t, 2)
	run.service.SetFaults(service.Faults{AnswerBytes: 2 * maxInlineBytes})
	run.vms[0].store = failingObjectStore{run.vms[0].store}
	answer, err := run.vms[0].Once(run.request("r-1", "k", "100"))
	require.NoError(t, err)
	require.Len(t, answer.Body, 2*maxInlineBytes)
	run.vms[0].Wait()
	_, err = run.vms[1].Once(run.request("r-2", "k", "100"))
	require.True(t, errcode.Is(err, errcode.ResultTooLarge))
	require.Equal(t, errcode.RanYes, errcode.From(err).Ran)
	require.Equal(t, 1, run.service.Effects()["k"])
}

// failingObjectStore is a Store whose object store is down.
type failingObjectStore struct{ Store }

func (failingObjectStore) PutObject(string, []byte) error { return &platform.StatusError{Status: 503} }

// endedVM is a Liveness that reports the processes of one VM as ended.
type endedVM struct{ vm string }

func (g endedVM) HasEnded(vm string, _ int64) bool { return vm == g.vm }

func TestEndedProcessMakesOutcomeUnknown(t *testing.T) {
	run := newTestRun(t, 2)
	run.vms[1].SetLiveness(endedVM{"entry-0"})
	killBeforeAction(run.vms[0], 2)
	_, _ = run.vms[0].Once(run.request("r-1", "k", "100"))
	_, err := run.vms[1].Once(run.request("r-2", "k", "100"))
	require.True(t, errcode.Is(err, errcode.CallOutcomeUnknown))
	state, err := run.vms[1].State("framers", "ledger-desk", "k")
	require.NoError(t, err)
	require.Equal(t, State{Status: calls.StatusUnknown, Ran: errcode.RanUnknown}, state)
}

// TestWritesPerCall counts the requests to the store: two writes per recorded
// call, one per repeat of its key, and no reads.
func TestWritesPerCall(t *testing.T) {
	const n = 50
	run := newTestRun(t, 1)
	for i := range n {
		_, err := run.vms[0].Once(run.request("r", fmt.Sprint("k-", i), "100"))
		require.NoError(t, err)
	}
	require.EqualValues(t, 2*n, run.platform.Counts().Writes)
	_, err := run.vms[0].Once(run.request("r", "k-0", "100"))
	require.NoError(t, err)
	require.EqualValues(t, 2*n+1, run.platform.Counts().Writes)
	require.Zero(t, run.platform.Counts().Reads)
}
