package mirror

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// cluster is a set of VMs with copies of one store, which can reject the calls of
// some VMs or leave them without a response.
type cluster struct {
	mu      sync.Mutex
	rows    []provider.Row
	version int64
	// epoch counts the calls of restore.
	epoch   int64
	changed chan struct{}
	// rejected are the VMs whose calls the store fails.
	rejected map[string]bool
	// unresponsive are the VMs to which the store does not respond.
	unresponsive map[string]bool
	followers    map[string]*Follower
	observers    map[string]*recorder
	watchers     map[string]bool
	relays       map[string]bool
	storeReads   map[string]int
	// peerReads counts the reads by a VM of another one, and silent are the VMs that
	// can't be called.
	peerReads map[[2]string]int
	silent    map[string]bool
	// polls counts the reads in progress by a VM of another one that may be held.
	polls map[[2]string]int
	// dark are the VMs that have lost power: calls to them get no answer, also those that
	// are in progress.
	dark map[string]bool
	// spread is the time over which the VMs read the store at their start.
	spread time.Duration
	// tooLarge is set while changes are too large for one response.
	tooLarge bool
}

var errRejected = errors.New("call rejected")

// clusterStore is one VM's connection to the store.
type clusterStore struct {
	*cluster
	vm string
}

func (s clusterStore) List(ctx context.Context, _ provider.Topic) (provider.Page, error) {
	s.mu.Lock()
	unresponsive := s.unresponsive[s.vm]
	s.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return provider.Page{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeReads[s.vm]++
	if s.rejected[s.vm] {
		return provider.Page{}, errRejected
	}
	return provider.Page{Rows: append([]provider.Row(nil), s.rows...), Version: s.version, Epoch: s.epoch}, nil
}

func (s clusterStore) Follow(ctx context.Context, _ provider.Topic, after int64, wait time.Duration) (provider.Page, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		s.storeReads[s.vm]++
		if s.rejected[s.vm] {
			s.mu.Unlock()
			return provider.Page{}, errRejected
		}
		p := provider.Page{Version: s.version, Epoch: s.epoch}
		if after > s.version {
			s.mu.Unlock()
			return provider.Page{}, &provider.ExpiredError{After: after}
		}
		for _, r := range s.rows {
			if r.Version > after {
				p.Rows = append(p.Rows, r)
			}
		}
		change, tooLarge := s.changed, s.tooLarge
		s.mu.Unlock()
		if len(p.Rows) > 0 && tooLarge {
			return provider.Page{}, &provider.ResponseTooLargeError{Bytes: 1}
		}
		if len(p.Rows) > 0 && !s.isUnresponsive() {
			return p, nil
		}
		if s.isUnresponsive() {
			<-ctx.Done()
			return provider.Page{}, ctx.Err()
		}
		select {
		case <-change:
		case <-deadline:
			return p, nil
		case <-ctx.Done():
			return provider.Page{}, ctx.Err()
		}
	}
}

func (s clusterStore) isUnresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unresponsive[s.vm]
}

func (s clusterStore) Put(context.Context, provider.Topic, string, []byte) error { return nil }

func (s clusterStore) Remove(context.Context, provider.Topic, string) error { return nil }

// clusterPeers is one VM's connection to the others.
type clusterPeers struct {
	*cluster
	vm string
}

func (p clusterPeers) Call(ctx context.Context, address string, _ peer.Method, params, result any) (peer.Identity, error) {
	request, ok := params.(readMessage)
	answer, ok2 := result.(*pageMessage)
	if !ok || !ok2 {
		return peer.Identity{}, errRejected
	}
	p.mu.Lock()
	f := p.followers[address]
	if p.silent[address] {
		f = nil
	}
	p.peerReads[[2]string{p.vm, address}]++
	p.mu.Unlock()
	if f == nil {
		return peer.Identity{}, errRejected
	}
	if request.WaitMs > 0 {
		p.countPoll(address, 1)
		defer p.countPoll(address, -1)
	}
	*answer = f.serve(ctx, request)
	p.mu.Lock()
	dark := p.dark[address]
	p.mu.Unlock()
	if dark {
		<-ctx.Done()
	}
	return peer.Identity{VM: address}, ctx.Err()
}

func (p clusterPeers) countPoll(address string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polls[[2]string{p.vm, address}] += n
}

// clusterSources is one VM's selection of sources.
type clusterSources struct {
	*cluster
	vm string
}

func (s clusterSources) Watches(provider.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchers[s.vm]
}

func (s clusterSources) Relays(provider.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays[s.vm]
}

// Spread implements Sources.
func (s clusterSources) Spread() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spread, true
}

func (s clusterSources) Peers(topic provider.Topic) []string {
	var list []string
	if !s.Watches(topic) && !s.Relays(topic) {
		s.mu.Lock()
		for vm := range s.relays {
			list = append(list, vm)
		}
		s.mu.Unlock()
	}
	for _, vm := range []string{"a", "b", "c"} {
		if vm != s.vm {
			list = append(list, vm)
		}
	}
	return list
}

func (c *cluster) put(r provider.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = r.Version
	r.Epoch = c.epoch
	c.rows = append(c.rows, r)
	close(c.changed)
	c.changed = make(chan struct{})
}

// backup returns the store's rows and version.
func (c *cluster) backup() provider.Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	return provider.Page{Rows: append([]provider.Row(nil), c.rows...), Version: c.version}
}

// restore replaces the store's content by a backup and begins a new epoch.
func (c *cluster) restore(backup provider.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows, c.version = backup.Rows, backup.Version
	c.epoch++
	for i := range c.rows {
		c.rows[i].Epoch = c.epoch
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cluster) rejectVMs(vms ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected = make(map[string]bool)
	for _, vm := range vms {
		c.rejected[vm] = true
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// newCluster starts the VMs a, b and c, of which a is the watcher and the given ones are
// relays.
func newCluster(t *testing.T, relays ...string) *cluster {
	t.Helper()
	return startCluster(t, 0, false, relays...)
}

// startCluster is newCluster with a spread of the reads of the store at the start, and a
// watcher that can be out of reach.
func startCluster(t *testing.T, spread time.Duration, watcherLost bool, relays ...string) *cluster {
	t.Helper()
	c := &cluster{
		spread:  spread,
		changed: make(chan struct{}), version: 1, followers: make(map[string]*Follower),
		observers: make(map[string]*recorder), watchers: map[string]bool{"a": true}, storeReads: make(map[string]int),
		relays: make(map[string]bool), peerReads: make(map[[2]string]int), silent: make(map[string]bool), dark: make(map[string]bool),
		polls: make(map[[2]string]int),
	}
	for _, vm := range relays {
		c.relays[vm] = true
	}
	if watcherLost {
		c.rejected = map[string]bool{"a": true}
		c.silent["a"] = true
	}
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	for _, vm := range []string{"a", "b", "c"} {
		r := newRecorder()
		// No test of a cluster depends on how long its VMs take.
		r.keepFor = time.Hour
		follower := Start(provider.Configuration, r, clusterStore{c, vm}, clusterPeers{c, vm}, clusterSources{c, vm}, log, func(int64) {})
		c.mu.Lock()
		c.followers[vm], c.observers[vm] = follower, r
		c.mu.Unlock()
		t.Cleanup(follower.Stop)
	}
	return c
}

func (c *cluster) awaitAll(t *testing.T, key, value string) {
	t.Helper()
	for vm, r := range c.observers {
		require.Eventually(t, func() bool { return r.has(key, value) }, 10*time.Second, time.Millisecond, vm)
	}
}
