package quota

import (
	"sync"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

// fakeStore is an in-memory table service that can be unavailable or lose
// responses.
type fakeStore struct {
	mu          sync.Mutex
	rows        map[string]wire.Row
	lastVersion int64
	// With down, all requests fail; with loseResponses, writes are applied but
	// their outcome is reported as unknown.
	down, loseResponses bool
}

func newFakeStore() *fakeStore { return &fakeStore{rows: make(map[string]wire.Row)} }

func (s *fakeStore) setFaults(down, loseResponses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.loseResponses = down, loseResponses
}

func (s *fakeStore) Get(key string) (wire.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return wire.Row{}, errors.WithStack(&platform.StatusError{Path: key, Status: 503})
	}
	return s.rows[key], nil
}

func (s *fakeStore) Apply(txn wire.Txn) (wire.TxnResult, platform.Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return wire.TxnResult{}, platform.OutcomeNotApplied, errors.WithStack(&platform.StatusError{Path: wire.PathTxn, Status: 503})
	}
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return wire.TxnResult{}, platform.OutcomeNotApplied, nil
		}
	}
	s.lastVersion++
	for _, p := range txn.Puts {
		s.rows[p.Key] = wire.Row{Key: p.Key, Version: s.lastVersion, Value: p.Value}
	}
	if s.loseResponses {
		return wire.TxnResult{}, platform.OutcomeUnknown, errors.WithStack(&platform.StatusError{Path: wire.PathTxn, Status: 504})
	}
	return wire.TxnResult{Applied: true, Version: s.lastVersion}, platform.OutcomeApplied, nil
}
