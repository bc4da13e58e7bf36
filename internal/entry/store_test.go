package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/provider"
)

var (
	errStoreUnavailable = errors.New("store unavailable")
	errResponseLost     = errors.New("store response lost")
)

// memoryStore is an in-memory provider.Store that can be made unavailable.
type memoryStore struct {
	// responsesToLose is the number of next writes that are carried out, but
	// return an error.
	responsesToLose int
	mu              sync.Mutex
	rows            map[provider.Topic]map[string]provider.Row
	version         int64
	// epoch counts the calls of restore.
	epoch       int64
	unavailable bool
	change      chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: make(map[provider.Topic]map[string]provider.Row), version: 1, change: make(chan struct{})}
}

func (s *memoryStore) List(_ context.Context, topic provider.Topic) (provider.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return provider.Page{}, errStoreUnavailable
	}
	p := provider.Page{Version: s.version, Epoch: s.epoch}
	for _, r := range s.rows[topic] {
		if !r.Removed {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

func (s *memoryStore) Follow(ctx context.Context, topic provider.Topic, after int64, wait time.Duration) (provider.Page, error) {
	timer := time.After(wait)
	for {
		s.mu.Lock()
		p, change, unavailable := provider.Page{Version: s.version, Epoch: s.epoch}, s.change, s.unavailable
		for _, r := range s.rows[topic] {
			if r.Version > after {
				p.Rows = append(p.Rows, r)
			}
		}
		s.mu.Unlock()
		if unavailable {
			return provider.Page{}, errStoreUnavailable
		}
		if after > p.Version {
			return provider.Page{}, &provider.ExpiredError{After: after}
		}
		if len(p.Rows) > 0 {
			return p, nil
		}
		select {
		case <-change:
		case <-timer:
			return p, nil
		case <-ctx.Done():
			return provider.Page{}, ctx.Err()
		}
	}
}

func (s *memoryStore) Put(_ context.Context, topic provider.Topic, key string, value []byte) error {
	return s.write(topic, provider.Row{Key: key, Value: value})
}

func (s *memoryStore) Remove(_ context.Context, topic provider.Topic, key string) error {
	return s.write(topic, provider.Row{Key: key, Removed: true})
}

func (s *memoryStore) write(topic provider.Topic, row provider.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return errStoreUnavailable
	}
	s.version++
	row.Version, row.Epoch = s.version, s.epoch
	if s.rows[topic] == nil {
		s.rows[topic] = make(map[string]provider.Row)
	}
	s.rows[topic][row.Key] = row
	s.notify()
	if s.responsesToLose > 0 {
		s.responsesToLose--
		return errResponseLost
	}
	return nil
}

func (s *memoryStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.notify()
}

func (s *memoryStore) notify() {
	close(s.change)
	s.change = make(chan struct{})
}

// putConfiguration writes a configuration with one route to the service "s".
func (s *memoryStore) putConfiguration(t *testing.T, version int, path string) {
	t.Helper()
	s.putConfigurationOfKind(t, version, path, "idempotent")
}

// putConfigurationOfKind is like putConfiguration, for a route of the kind.
func (s *memoryStore) putConfigurationOfKind(t *testing.T, version int, path, kind string) {
	t.Helper()
	text := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","path_prefix":"%s","kind":"%s","timeout_ms":5000,"service":"s","max_attempts":2}],
		"services":[{"name":"s"}],"limits":{"max_body_bytes":1000000}}`, version, path, kind)
	require.NoError(t, s.Put(context.Background(), provider.Configuration, "config", []byte(text)))
}

// putEndpoint writes an endpoint of the service "s" to the registry.
func (s *memoryStore) putEndpoint(t *testing.T, id, address, state string) {
	t.Helper()
	text := fmt.Sprintf(`{"service":"s","address":"%s","zone":"z","slots":8,"state":"%s"}`, address, state)
	require.NoError(t, s.Put(context.Background(), provider.Endpoints, id, []byte(text)))
}
