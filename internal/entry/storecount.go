package entry

import (
	"context"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// storeCall is a call of the store, as a label of the counters.
type storeCall string

const (
	callList   storeCall = "list"
	callFollow storeCall = "follow"
	callPut    storeCall = "put"
	callRemove storeCall = "remove"
)

// Names of the counters of calls to the store, of those that failed, and of the bytes of
// the rows' keys and values that were read and written.
const (
	storeCalls    = "store.calls"
	storeFailures = "store.failures"
	storeBytes    = "store.row_bytes"
)

// countedStore counts the calls to a store by call and topic.
type countedStore struct {
	store    provider.Store
	registry gometrics.Registry
}

// List implements provider.Store.
func (s *countedStore) List(ctx context.Context, topic provider.Topic) (provider.Page, error) {
	page, err := s.store.List(ctx, topic)
	s.count(callList, topic, rowBytes(page.Rows), err)
	return page, err
}

// Follow implements provider.Store.
func (s *countedStore) Follow(ctx context.Context, topic provider.Topic, after int64, wait time.Duration) (provider.Page, error) {
	page, err := s.store.Follow(ctx, topic, after, wait)
	s.count(callFollow, topic, rowBytes(page.Rows), err)
	return page, err
}

// Put implements provider.Store.
func (s *countedStore) Put(ctx context.Context, topic provider.Topic, key string, value []byte) error {
	err := s.store.Put(ctx, topic, key, value)
	s.count(callPut, topic, len(key)+len(value), err)
	return err
}

// Remove implements provider.Store.
func (s *countedStore) Remove(ctx context.Context, topic provider.Topic, key string) error {
	err := s.store.Remove(ctx, topic, key)
	s.count(callRemove, topic, len(key), err)
	return err
}

func (s *countedStore) count(call storeCall, topic provider.Topic, bytes int, err error) {
	counter := func(name string) gometrics.Counter {
		return gometrics.GetOrRegisterCounter(metrics.Labelled(name, "call", string(call), "topic", topic.String()), s.registry)
	}
	counter(storeCalls).Inc(1)
	counter(storeBytes).Inc(int64(bytes))
	if err != nil {
		counter(storeFailures).Inc(1)
	}
}

func rowBytes(rows []provider.Row) int {
	n := 0
	for _, r := range rows {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
