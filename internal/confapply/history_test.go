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

// faultyStore is the platform in memory. It loses answers and requests, and is
// down at times.
type faultyStore struct {
	table *table.Table
	mu    sync.Mutex
	rnd   *rand.Rand
	data  map[string][]byte
	// rate is the share of requests that go wrong.
	rate float64
}

// lostError says that an answer or a request was lost.
type lostError struct{}

func (*lostError) Error() string { return "lost" }

func newFaultyStore(seed uint64, rate float64) *faultyStore {
	return &faultyStore{table: table.NewTable(), rnd: rand.New(rand.NewPCG(seed, 1)), data: make(map[string][]byte), rate: rate}
}

func (s *faultyStore) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64() < s.rate
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
	return s.data[key], nil
}

func (s *faultyStore) PutObject(key string, data []byte) error {
	if s.fails() {
		return &lostError{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data[key] = data
	return nil
}

// folder is a valid folder in which the operators' files hold these numbers.
func folder(values map[string]int) []configuration.File {
	files := make([]configuration.File, 0, len(values)+1)
	files = append(files, configuration.File{Name: "00-base.json", Data: []byte(`{"organisations":{},"services":{},"endpoints":{}}`)})
	for name, v := range values {
		data := fmt.Sprintf(`{"services":{%q:{"kind":"plain","max_timeout_ms":%d,"operations":{"a":{"idempotent":true}}}}}`, name, v)
		files = append(files, configuration.File{Name: name + ".json", Data: []byte(data)})
	}
	return files
}

// valuesOf reads the numbers back from the document.
func valuesOf(t require.TestingT, data []byte) map[string]int {
	doc, err := configuration.Decode(data)
	require.NoError(t, err)
	values := make(map[string]int)
	for name, s := range doc.Services {
		values[name] = int(s.MaxTimeoutMs)
	}
	return values
}

// operation is what one operator did; a read has no name.
type operation struct {
	name  string
	value int
}

// outcome is what the operator was told.
type outcome struct {
	accepted, unknown bool
	version           int64
	values            map[string]int
}

// state is the oracle: the newest version and its numbers.
type state struct {
	version int64
	values  map[string]int
}

var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{values: map[string]int{}}} },
	Step: func(s, in, out any) []any {
		st, op, o := s.(state), in.(operation), out.(outcome)
		if op.name == "" {
			if o.version == st.version && maps.Equal(o.values, st.values) {
				return []any{st}
			}
			return nil
		}
		next := state{st.version + 1, maps.Clone(st.values)}
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
		x, y := a.(state), b.(state)
		return x.version == y.version && maps.Equal(x.values, y.values)
	},
}

// applyFunc puts an operator's folder in force.
type applyFunc func(store Store, files []configuration.File, base int64) (int64, error)

func patient(store Store, files []configuration.File, base int64) (int64, error) {
	result, err := Run(store, Change{Files: files, Base: base, Limit: time.Minute})
	return result.Version, err
}

// lastWriterWins moves the head to the folder, whatever was there.
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

// history runs operators that race, each with a file of its own, and records
// what they were told.
func history(t *testing.T, seed uint64, apply applyFunc) []porcupine.Operation {
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
				base, values := snapshot(t, store)
				values[name] = n
				call := time.Since(start).Nanoseconds()
				version, err := apply(store, folder(values), base)
				out := outcome{accepted: err == nil, unknown: err != nil && !errcode.Is(err, errcode.ConfigConflict), version: version}
				record(i, call, operation{name, n}, out)
				call = time.Since(start).Nanoseconds()
				seen, current := snapshot(t, store)
				record(i, call, operation{}, outcome{version: seen, values: current})
			}
		})
	}
	wg.Wait()
	return ops
}

// snapshot reads the newest version, without faults.
func snapshot(t require.TestingT, store *faultyStore) (int64, map[string]int) {
	var head configuration.Head
	row := store.table.Get(configuration.HeadKey)
	if row.Version == wire.AbsentVersion {
		return 0, map[string]int{}
	}
	require.NoError(t, json.Unmarshal(row.Value, &head))
	store.mu.Lock()
	defer store.mu.Unlock()
	return head.Version, valuesOf(t, store.data[head.Object])
}

func TestRacingOperatorsAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		ops := history(t, seed, patient)
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(headModel.ToModel(), ops, time.Minute), "seed %d", seed)
	}
}

// TestLastWriterWinsIsCaught shows that the oracle sees lost changes.
func TestLastWriterWinsIsCaught(t *testing.T) {
	for seed := range uint64(12) {
		ops := history(t, seed, lastWriterWins)
		if porcupine.CheckOperationsTimeout(headModel.ToModel(), ops, time.Minute) == porcupine.Illegal {
			return
		}
	}
	require.Fail(t, "no lost change was seen")
}

func TestRunAgainIsNoNewVersion(t *testing.T) {
	store := newFaultyStore(1, 0)
	first, err := Apply(store, folder(map[string]int{"a": 1}), 0)
	require.NoError(t, err)
	again, err := Apply(store, folder(map[string]int{"a": 1}), 0)
	require.NoError(t, err)
	require.Equal(t, first, again)
}

func TestConflictNamesTheFile(t *testing.T) {
	store := newFaultyStore(1, 0)
	base, err := Apply(store, folder(map[string]int{"a": 1}), 0)
	require.NoError(t, err)
	_, err = Apply(store, folder(map[string]int{"a": 2}), base)
	require.NoError(t, err)
	_, err = Apply(store, folder(map[string]int{"a": 3}), base)
	require.True(t, errcode.Is(err, errcode.ConfigConflict), "%v", err)
	require.ErrorContains(t, err, "a.json")

	result, err := Run(store, Change{Files: folder(map[string]int{"a": 1, "b": 5}), Base: base, Limit: time.Minute})
	require.NoError(t, err)
	require.True(t, result.Joined)
	_, values := snapshot(t, store)
	require.Equal(t, map[string]int{"a": 2, "b": 5}, values)
}

// TestDownStoreIsToldApart: a change that was never sent is refused, one whose
// answer was lost is not known.
func TestDownStoreIsToldApart(t *testing.T) {
	_, err := Run(newFaultyStore(1, 1), Change{Files: folder(nil), Limit: 50 * time.Millisecond})
	require.True(t, errcode.Is(err, errcode.StoreUnavailable), "%v", err)

	store := &doubtfulStore{newFaultyStore(1, 0)}
	_, err = Run(store, Change{Files: folder(nil), Limit: 50 * time.Millisecond})
	require.True(t, errcode.Is(err, errcode.WriteUnknown), "%v", err)
}

// doubtfulStore loses every transaction.
type doubtfulStore struct{ *faultyStore }

func (s *doubtfulStore) Apply(wire.Txn) (wire.TxnResult, platform.Outcome, error) {
	return wire.TxnResult{}, platform.OutcomeUnknown, &lostError{}
}
