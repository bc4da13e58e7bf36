package quota

import (
	"sync"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

// fakeStore is a table service in memory that can be down or lose answers.
type fakeStore struct {
	mu   sync.Mutex
	rows map[string]wire.Row
	next int64
	// down refuses everything; loseAnswers applies writes and says unknown.
	down, loseAnswers bool
}

func newFakeStore() *fakeStore { return &fakeStore{rows: make(map[string]wire.Row)} }

func (s *fakeStore) set(down, loseAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.loseAnswers = down, loseAnswers
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
	s.next++
	for _, p := range txn.Puts {
		s.rows[p.Key] = wire.Row{Key: p.Key, Version: s.next, Value: p.Value}
	}
	if s.loseAnswers {
		return wire.TxnResult{}, platform.OutcomeUnknown, errors.WithStack(&platform.StatusError{Path: wire.PathTxn, Status: 504})
	}
	return wire.TxnResult{Applied: true, Version: s.next}, platform.OutcomeApplied, nil
}
