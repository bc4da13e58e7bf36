package confapply

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	table "cornelsaddle.example/cornelsaddle/standin/platform"
)

// faultyStore is an in-memory table service and object store that fails requests
// at random. A failed transaction loses either the request or the response.
type faultyStore struct {
	table   *table.Table
	mu      sync.Mutex
	rnd     *rand.Rand
	objects map[string][]byte
	// faultRate is the probability of a fault, from 0 to 1.
	faultRate float64
}

// lostError reports a lost request or response.
type lostError struct{}

func (*lostError) Error() string { return "lost" }

func newFaultyStore(seed uint64, rate float64) *faultyStore {
	return &faultyStore{table: table.NewTable(), rnd: rand.New(rand.NewPCG(seed, 1)), objects: make(map[string][]byte), faultRate: rate}
}

func (s *faultyStore) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64() < s.faultRate
}

func (s *faultyStore) Get(key string) (wire.Row, error) {
	if s.fails() {
		return wire.Row{}, &lostError{}
	}
	return s.table.Get(key), nil
}

func (s *faultyStore) Apply(txn wire.Txn) (wire.TxnResult, platform.Outcome, error) {
	if s.fails() {
		return wire.TxnResult{}, platform.OutcomeUnknown, &lostError{}
	}
	result := s.table.Apply(txn)
	if s.fails() {
		return wire.TxnResult{}, platform.OutcomeUnknown, &lostError{}
	}
	if result.Applied {
		return result, platform.OutcomeApplied, nil
	}
	return result, platform.OutcomeNotApplied, nil
}

func (s *faultyStore) GetObject(key string) ([]byte, error) {
	if s.fails() {
		return nil, &lostError{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key], nil
}

func (s *faultyStore) PutObject(key string, data []byte) error {
	if s.fails() {
		return &lostError{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = data
	return nil
}

// filesWith returns the files of a valid folder: a base file, and for each
// operator a file with the operator's value as a timeout.
func filesWith(values map[string]int) []configuration.File {
	files := make([]configuration.File, 0, len(values)+1)
	files = append(files, configuration.File{Name: "00-base.json", Data: []byte(`{"organisations":{},"services":{},"endpoints":{}}`)})
	for name, v := range values {
		data := fmt.Sprintf(`{"services":{%q:{"kind":"plain","max_timeout_ms":%d,"operations":{"a":{"idempotent":true}}}}}`, name, v)
		files = append(files, configuration.File{Name: name + ".json", Data: []byte(data)})
	}
	return files
}

// valuesOf returns the operators' values in the document.
func valuesOf(t require.TestingT, data []byte) map[string]int {
	doc, err := configuration.Decode(data)
	require.NoError(t, err)
	values := make(map[string]int)
	for name, s := range doc.Services {
		values[name] = int(s.MaxTimeoutMs)
	}
	return values
}

// operation is the input of an operation in the history: an operator's change,
// or a read if name is empty.
type operation struct {
	name  string
	value int
}

// outcome is the result of an operation as the operator sees it.
type outcome struct {
	accepted, unknown bool
	version           int64
	values            map[string]int
}

// modelState is a state of the porcupine model: the newest version and its values.
type modelState struct {
	version int64
	values  map[string]int
}

var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{values: map[string]int{}}} },
	Step: func(s, in, out any) []any {
		st, op, o := s.(modelState), in.(operation), out.(outcome)
		if op.name == "" {
			if o.version == st.version && maps.Equal(o.values, st.values) {
				return []any{st}
			}
			return nil
		}
		next := modelState{st.version + 1, maps.Clone(st.values)}
		next.values[op.name] = op.value
		switch {
		case o.unknown:
			return []any{st, next}
		case !o.accepted:
			return []any{st}
		case o.version == next.version:
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool {
		x, y := a.(modelState), b.(modelState)
		return x.version == y.version && maps.Equal(x.values, y.values)
	},
}

// applyFunc is an implementation of Apply under test.
type applyFunc func(store Store, files []configuration.File, base int64) (int64, error)

func applyWithMinuteLimit(store Store, files []configuration.File, base int64) (int64, error) {
	result, err := Run(store, Change{Files: files, Base: base, Limit: time.Minute})
	return result.Version, err
}

// lastWriterWins is a faulty implementation that overwrites the head
// unconditionally.
func lastWriterWins(store Store, files []configuration.File, _ int64) (int64, error) {
	document, _, err := configuration.Build(files)
	if err != nil {
		return 0, err
	}
	head, _, err := readHead(store, configuration.HeadKey)
	if err != nil {
		return 0, err
	}
	next := configuration.Head{Version: head.Version + 1, Object: uuid.NewString()}
	if err := store.PutObject(next.Object, document); err != nil {
		return 0, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	_, _, err = store.Apply(wire.Txn{Puts: []wire.Put{{Key: configuration.HeadKey, Value: value}}})
	return next.Version, err
}

// runOperators runs concurrent operators, each of which changes its own file, and
// records their operations and results.
func runOperators(t *testing.T, seed uint64, apply applyFunc) []porcupine.Operation {
	t.Helper()
	const operators, changes = 4, 4
	store := newFaultyStore(seed, 0.1)
	start := time.Now()
	var mu sync.Mutex
	var ops []porcupine.Operation
	record := func(client int, call int64, in operation, out outcome) {
		end := time.Since(start).Nanoseconds()
		if out.unknown {
			end = math.MaxInt64
		}
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	}
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			name := fmt.Sprintf("operator-%d", i)
			for n := 1; n <= changes; n++ {
				base, values := readNewest(t, store)
				values[name] = n
				call := time.Since(start).Nanoseconds()
				version, err := apply(store, filesWith(values), base)
				out := outcome{accepted: err == nil, unknown: err != nil && !errcode.Is(err, errcode.ConfigConflict), version: version}
				record(i, call, operation{name, n}, out)
				call = time.Since(start).Nanoseconds()
				seen, current := readNewest(t, store)
				record(i, call, operation{}, outcome{version: seen, values: current})
			}
		})
	}
	wg.Wait()
	return ops
}

// readNewest returns the newest version and its values, without injected faults.
func readNewest(t require.TestingT, store *faultyStore) (int64, map[string]int) {
	var head configuration.Head
	row := store.table.Get(configuration.HeadKey)
	if row.Version == wire.AbsentVersion {
		return 0, map[string]int{}
	}
	require.NoError(t, json.Unmarshal(row.Value, &head))
	store.mu.Lock()
	defer store.mu.Unlock()
	return head.Version, valuesOf(t, store.objects[head.Object])
}

func TestConcurrentChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		ops := runOperators(t, seed, applyWithMinuteLimit)
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(headModel.ToModel(), ops, time.Minute), "seed %d", seed)
	}
}

// TestLastWriterWinsIsDetected checks that the linearizability check detects lost
// changes, in the histories of an implementation that overwrites the head
// unconditionally.
func TestLastWriterWinsIsDetected(t *testing.T) {
	for seed := range uint64(12) {
		ops := runOperators(t, seed, lastWriterWins)
		if porcupine.CheckOperationsTimeout(headModel.ToModel(), ops, time.Minute) == porcupine.Illegal {
			return
		}
	}
	require.Fail(t, "no history with a lost change was detected")
}

func TestRepeatedApplyKeepsVersion(t *testing.T) {
	store := newFaultyStore(1, 0)
	first, err := Apply(store, filesWith(map[string]int{"a": 1}), 0)
	require.NoError(t, err)
	repeated, err := Apply(store, filesWith(map[string]int{"a": 1}), 0)
	require.NoError(t, err)
	require.Equal(t, first, repeated)
}

func TestConflictNamesTheFile(t *testing.T) {
	store := newFaultyStore(1, 0)
	base, err := Apply(store, filesWith(map[string]int{"a": 1}), 0)
	require.NoError(t, err)
	_, err = Apply(store, filesWith(map[string]int{"a": 2}), base)
	require.NoError(t, err)
	_, err = Apply(store, filesWith(map[string]int{"a": 3}), base)
	require.True(t, errcode.Is(err, errcode.ConfigConflict), "%v", err)
	require.ErrorContains(t, err, "a.json")

	result, err := Run(store, Change{Files: filesWith(map[string]int{"a": 1, "b": 5}), Base: base, Limit: time.Minute})
	require.NoError(t, err)
	require.True(t, result.Merged)
	_, values := readNewest(t, store)
	require.Equal(t, map[string]int{"a": 2, "b": 5}, values)
}

// TestUnsentAndLostWritesAreDistinguished checks that a change whose transaction
// was never sent fails with StoreUnavailable, and one whose response was lost
// with WriteUnknown.
func TestUnsentAndLostWritesAreDistinguished(t *testing.T) {
	_, err := Run(newFaultyStore(1, 1), Change{Files: filesWith(nil), Limit: 50 * time.Millisecond})
	require.True(t, errcode.Is(err, errcode.StoreUnavailable), "%v", err)

	store := &unknownOutcomeStore{newFaultyStore(1, 0)}
	_, err = Run(store, Change{Files: filesWith(nil), Limit: 50 * time.Millisecond})
	require.True(t, errcode.Is(err, errcode.WriteUnknown), "%v", err)
}

// unknownOutcomeStore leaves the outcome of every transaction unknown.
type unknownOutcomeStore struct{ *faultyStore }

func (s *unknownOutcomeStore) Apply(wire.Txn) (wire.TxnResult, platform.Outcome, error) {
	return wire.TxnResult{}, platform.OutcomeUnknown, &lostError{}
}
