package call

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/service"
)

const (
	historySeeds   = 6
	historyKeys    = 4
	historyVMs     = 3
	historyCallers = 6
	checkTimeout   = time.Minute
)

// observed is the outcome of a call as reported to its caller.
type observed struct {
	ran    errcode.Ran
	answer string
}

// readEffects is the input of the last operation of a history, which reads how
// often the call ran.
type readEffects struct{}

// atMostOnce models the calls with one key, which run once or not at all. The
// state is the number of effects and the answer, "" if none was observed.
var atMostOnce = porcupine.NondeterministicModel{
	Init: func() []any { return []any{callState{}} },
	Step: func(state, input, output any) []any {
		s := state.(callState)
		if _, ok := input.(readEffects); ok {
			if s.effects == output.(int) {
				return []any{s}
			}
			return nil
		}
		return s.statesAfter(output.(observed))
	},
	Equal: func(a, b any) bool { return a.(callState) == b.(callState) },
}

type callState struct {
	effects int
	answer  string
}

// statesAfter returns the possible states after a caller observed o; none if o
// contradicts s.
func (s callState) statesAfter(o observed) []any {
	switch o.ran {
	case errcode.RanNo:
		return []any{s}
	case errcode.RanYes:
		if s.effects == 0 || s.answer == "" || s.answer == o.answer {
			return []any{callState{1, o.answer}}
		}
		return nil
	}
	if s.effects == 0 {
		return []any{s, callState{effects: 1}}
	}
	return []any{s}
}

// TestHistoriesAreLinearizable runs concurrent calls with the same keys on
// several VMs. Meanwhile the store loses requests and responses and has outages,
// the service refuses calls and loses responses, and VMs are killed between two
// actions.
func TestHistoriesAreLinearizable(t *testing.T) {
	outcomes := make(map[errcode.Ran]int)
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run := newTestRun(t, historyVMs)
			rng := rand.New(rand.NewPCG(seed, 5))
			for _, vm := range run.vms[1:] {
				killBeforeAction(vm, int64(1+rng.IntN(12)))
			}
			history := run.history(rng)
			run.checkRefusals(t, history)
			for key, ops := range history {
				model := atMostOnce.ToModel()
				require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, ops, checkTimeout), "key %s: %v", key, ops)
				for _, op := range ops[:len(ops)-1] {
					outcomes[op.Output.(observed).ran]++
				}
			}
		})
	}
	t.Log(outcomes)
	for _, ran := range []errcode.Ran{errcode.RanYes, errcode.RanNo, errcode.RanUnknown} {
		require.Positive(t, outcomes[ran], "no caller observed ran=%s", ran)
	}
}

// history makes the calls while faults are injected, and returns the operations
// by key.
func (r *testRun) history(rng *rand.Rand) map[string][]porcupine.Operation {
	stop := make(chan struct{})
	var faults, callers sync.WaitGroup
	faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 1))
	faults.Go(func() { r.injectFaults(faultRNG, stop) })
	var mu sync.Mutex
	ops := make(map[string][]porcupine.Operation)
	for client := range historyCallers {
		callerRNG := rand.New(rand.NewPCG(rng.Uint64(), 2))
		callers.Go(func() {
			for i := range 3 * historyKeys {
				key := fmt.Sprintf("k-%d", callerRNG.IntN(historyKeys))
				op := r.recordCall(client, fmt.Sprintf("r-%d-%d", client, i), key, callerRNG.IntN(historyVMs))
				mu.Lock()
				ops[key] = append(ops[key], op)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	close(stop)
	faults.Wait()
	r.platform.SetFaults(wire.PlatformFaults{})
	r.service.SetFaults(service.Faults{})
	for _, vm := range r.vms {
		vm.Wait()
	}
	return r.completeHistories(ops)
}

// completeHistories appends the number of effects to each key's history. A
// call with an unknown outcome may take effect until then, so its end is set to
// the end of the run.
func (r *testRun) completeHistories(ops map[string][]porcupine.Operation) map[string][]porcupine.Operation {
	end := time.Now().UnixNano()
	for key := range ops {
		for i, op := range ops[key] {
			if op.Output.(observed).ran == errcode.RanUnknown {
				ops[key][i].Return = end
			}
		}
		ops[key] = append(ops[key], porcupine.Operation{
			ClientId: historyCallers, Input: readEffects{}, Call: end + 1, Output: r.service.Effects()[key], Return: end + 2,
		})
	}
	return ops
}

func (r *testRun) recordCall(client int, id, key string, vm int) porcupine.Operation {
	op := porcupine.Operation{ClientId: client, Input: id, Call: time.Now().UnixNano()}
	answer, err := r.vms[vm].Once(r.request(id, key, "100"))
	out := observed{ran: errcode.RanYes, answer: string(answer.Body)}
	if err != nil {
		out = observed{ran: errcode.From(err).Ran}
	}
	op.Output = out
	op.Return = time.Now().UnixNano()
	return op
}

// injectFaults changes the faults of the store and the service at random until
// stop is closed.
func (r *testRun) injectFaults(rng *rand.Rand, stop chan struct{}) {
	for {
		r.platform.SetFaults(wire.PlatformFaults{
			Down:         rng.IntN(6) == 0,
			LoseAnswers:  rng.IntN(3),
			LoseRequests: rng.IntN(3),
			DelayMs:      int64(rng.IntN(2) * rng.IntN(20)),
		})
		r.service.SetFaults(service.Faults{Refuse: rng.IntN(5) == 0, LoseAnswers: rng.IntN(2)})
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1+rng.IntN(8)) * time.Millisecond):
		}
	}
}

// checkRefusals checks property P4 for calls: a call reported as not run is
// not among those that the service started.
func (r *testRun) checkRefusals(t *testing.T, history map[string][]porcupine.Operation) {
	t.Helper()
	started := r.service.Started()
	for _, ops := range history {
		for _, op := range ops {
			if out, ok := op.Output.(observed); ok && out.ran == errcode.RanNo {
				require.NotContains(t, started, op.Input)
			}
		}
	}
}

// TestModelCatchesSecondEffect checks that the model rejects the histories that
// sending a call before recording it can produce.
func TestModelCatchesSecondEffect(t *testing.T) {
	yes := func(client int, answer string, from, to int64) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Input: "r", Call: from, Output: observed{errcode.RanYes, answer}, Return: to}
	}
	read := func(n int) porcupine.Operation {
		return porcupine.Operation{ClientId: 9, Input: readEffects{}, Call: 100, Output: n, Return: 101}
	}
	model := atMostOnce.ToModel()
	require.True(t, porcupine.CheckOperations(model, []porcupine.Operation{yes(1, "a", 1, 4), yes(2, "a", 2, 3), read(1)}))
	require.False(t, porcupine.CheckOperations(model, []porcupine.Operation{yes(1, "a", 1, 4), yes(2, "b", 2, 3), read(2)}))
	require.False(t, porcupine.CheckOperations(model, []porcupine.Operation{yes(1, "a", 1, 4), read(0)}))
}
