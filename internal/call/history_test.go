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
	checkLimit     = time.Minute
)

// observed is what one caller was told.
type observed struct {
	ran    errcode.Ran
	answer string
}

// effects is the input of the last operation of a history: it reads how often
// the call ran.
type effects struct{}

// atMostOnce is the model of one key: a call that runs once or not at all. Its
// state is the number of effects and the answer, "" where none was seen.
var atMostOnce = porcupine.NondeterministicModel{
	Init: func() []any { return []any{callState{}} },
	Step: func(state, input, output any) []any {
		s := state.(callState)
		if _, ok := input.(effects); ok {
			if s.effects == output.(int) {
				return []any{s}
			}
			return nil
		}
		return s.told(output.(observed))
	},
	Equal: func(a, b any) bool { return a.(callState) == b.(callState) },
}

type callState struct {
	effects int
	answer  string
}

// told returns the states in which a caller can be told that.
func (s callState) told(o observed) []any {
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
// several VMs, with the store losing answers and requests and going down, the
// service losing answers, and VMs killed between any two actions.
func TestHistoriesAreLinearizable(t *testing.T) {
	told := make(map[errcode.Ran]int)
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run := newTestRun(t, historyVMs)
			rng := rand.New(rand.NewPCG(seed, 5))
			for _, vm := range run.vms[1:] {
				killBefore(vm, int64(1+rng.IntN(12)))
			}
			history := run.history(rng)
			run.checkRefusals(t, history)
			for key, ops := range history {
				model := atMostOnce.ToModel()
				require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, ops, checkLimit), "key %s: %v", key, ops)
				for _, op := range ops[:len(ops)-1] {
					told[op.Output.(observed).ran]++
				}
			}
		})
	}
	t.Log(told)
	for _, ran := range []errcode.Ran{errcode.RanYes, errcode.RanNo, errcode.RanUnknown} {
		require.Positive(t, told[ran], "nobody was told %s", ran)
	}
}

// history makes the calls and returns the operations by key.
func (r *testRun) history(rng *rand.Rand) map[string][]porcupine.Operation {
	stop := make(chan struct{})
	var faults, callers sync.WaitGroup
	disturber := rand.New(rand.NewPCG(rng.Uint64(), 1))
	faults.Go(func() { r.disturb(disturber, stop) })
	var mu sync.Mutex
	ops := make(map[string][]porcupine.Operation)
	for client := range historyCallers {
		choose := rand.New(rand.NewPCG(rng.Uint64(), 2))
		callers.Go(func() {
			for i := range 3 * historyKeys {
				key := fmt.Sprintf("k-%d", choose.IntN(historyKeys))
				op := r.observe(client, fmt.Sprintf("r-%d-%d", client, i), key, choose.IntN(historyVMs))
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
	return r.close(ops)
}

// close ends each key's history with the number of its effects. A call whose
// outcome its caller does not know may take effect until then.
func (r *testRun) close(ops map[string][]porcupine.Operation) map[string][]porcupine.Operation {
	end := time.Now().UnixNano()
	for key := range ops {
		for i, op := range ops[key] {
			if op.Output.(observed).ran == errcode.RanUnknown {
				ops[key][i].Return = end
			}
		}
		ops[key] = append(ops[key], porcupine.Operation{
			ClientId: historyCallers, Input: effects{}, Call: end + 1, Output: r.service.Effects()[key], Return: end + 2,
		})
	}
	return ops
}

func (r *testRun) observe(client int, id, key string, vm int) porcupine.Operation {
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

// disturb breaks the store and the service until it is told to stop.
func (r *testRun) disturb(rng *rand.Rand, stop chan struct{}) {
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

// checkRefusals is P4 for calls: whoever was told no is not in the service's
// log of what was started.
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

// TestModelCatchesSecondEffect shows that the model refuses what a caller that
// sends before it records brings about.
func TestModelCatchesSecondEffect(t *testing.T) {
	yes := func(client int, answer string, from, to int64) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Input: "r", Call: from, Output: observed{errcode.RanYes, answer}, Return: to}
	}
	read := func(n int) porcupine.Operation {
		return porcupine.Operation{ClientId: 9, Input: effects{}, Call: 100, Output: n, Return: 101}
	}
	model := atMostOnce.ToModel()
	require.True(t, porcupine.CheckOperations(model, []porcupine.Operation{yes(1, "a", 1, 4), yes(2, "a", 2, 3), read(1)}))
	require.False(t, porcupine.CheckOperations(model, []porcupine.Operation{yes(1, "a", 1, 4), yes(2, "b", 2, 3), read(2)}))
	require.False(t, porcupine.CheckOperations(model, []porcupine.Operation{yes(1, "a", 1, 4), read(0)}))
}
