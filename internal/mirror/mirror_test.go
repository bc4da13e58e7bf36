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

// recorder is an Observer that applies what it is told.
type recorder struct {
	mu       sync.Mutex
	rows     map[string]string
	listed   bool
	outages  int
	restored int
}

func newRecorder() *recorder { return &recorder{rows: make(map[string]string)} }

func (r *recorder) Changed(rows []provider.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = true
	for _, row := range rows {
		if row.Removed {
			delete(r.rows, row.Key)
			continue
		}
		r.rows[row.Key] = string(row.Value)
	}
}

func (r *recorder) Outage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages++
}

func (r *recorder) Restored(time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored++
}

func (r *recorder) has(key, value string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key] == value
}

func row(key, value string, version int64) provider.Row {
	return provider.Row{Key: key, Value: []byte(value), Version: version}
}

func gone(key string, version int64) provider.Row {
	return provider.Row{Key: key, Version: version, Removed: true}
}

// TestRowsOnlyGrow brings old news after new ones, from another source: they
// change nothing.
func TestRowsOnlyGrow(t *testing.T) {
	r := newRecorder()
	m := New(r)
	m.listed(provider.Page{Version: 10, Rows: []provider.Row{row("a", "new", 9), row("b", "x", 3)}})
	require.True(t, r.listed)
	m.followed(provider.Page{Version: 8, Rows: []provider.Row{row("a", "old", 7), gone("b", 2)}})
	require.True(t, r.has("a", "new"))
	require.True(t, r.has("b", "x"))
	m.followed(provider.Page{Version: 12, Rows: []provider.Row{gone("b", 12)}})
	m.followed(provider.Page{Version: 12, Rows: []provider.Row{row("b", "x", 3)}})
	require.True(t, r.has("b", ""), "a removed row does not come back by old news")
	m.followed(provider.Page{Version: 14, Rows: []provider.Row{row("b", "again", 13)}})
	require.True(t, r.has("b", "again"))
	require.Equal(t, int64(14), m.Version())
	require.Equal(t, int64(13), m.Latest())
}

// TestOldListRemovesNothingNewer lists the topic at another VM that is behind.
func TestOldListRemovesNothingNewer(t *testing.T) {
	r := newRecorder()
	m := New(r)
	m.listed(provider.Page{Version: 10, Rows: []provider.Row{row("a", "1", 9)}})
	m.listed(provider.Page{Version: 5})
	require.True(t, r.has("a", "1"))
	m.listed(provider.Page{Version: 11})
	require.True(t, r.has("a", ""))
}

// TestFollowersGetWhatChanged follows one copy from another's version.
func TestFollowersGetWhatChanged(t *testing.T) {
	m := New(newRecorder())
	m.listed(provider.Page{Version: 10, Rows: []provider.Row{row("a", "1", 9), row("b", "1", 4)}})
	done := make(chan page)
	go func() {
		p, err := m.follow(context.Background(), 10, 5*time.Second)
		if err == nil {
			done <- p
		}
	}()
	time.Sleep(10 * time.Millisecond)
	m.followed(provider.Page{Version: 12, Rows: []provider.Row{gone("a", 11), row("b", "2", 12)}})
	p := <-done
	require.Len(t, p.Rows, 2)
	require.Equal(t, int64(12), p.Version)
	p, err := m.follow(context.Background(), 12, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, p.Rows)
	_, err = m.follow(context.Background(), 3, time.Millisecond)
	var expired *provider.ExpiredError
	require.ErrorAs(t, err, &expired, "what was removed before the copy began isn't known")
}

// fleet is several VMs' copies before one store, which may turn some away.
type fleet struct {
	mu     sync.Mutex
	rows   []provider.Row
	ver    int64
	change chan struct{}
	// away are the VMs that the store does not answer.
	away map[string]bool
	// silent are those that it lets wait.
	silent    map[string]bool
	followers map[string]*Follower
	observers map[string]*recorder
	watching  map[string]bool
	reads     map[string]int
}

var errAway = errors.New("turned away")

// store is one VM's way to the store.
type store struct {
	*fleet
	vm string
}

func (s store) List(ctx context.Context, _ provider.Topic) (provider.Page, error) {
	s.mu.Lock()
	silent := s.silent[s.vm]
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return provider.Page{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[s.vm]++
	if s.away[s.vm] {
		return provider.Page{}, errAway
	}
	return provider.Page{Rows: append([]provider.Row(nil), s.rows...), Version: s.ver}, nil
}

func (s store) Follow(ctx context.Context, _ provider.Topic, after int64, wait time.Duration) (provider.Page, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		s.reads[s.vm]++
		if s.away[s.vm] {
			s.mu.Unlock()
			return provider.Page{}, errAway
		}
		p := provider.Page{Version: s.ver}
		for _, r := range s.rows {
			if r.Version > after {
				p.Rows = append(p.Rows, r)
			}
		}
		change := s.change
		s.mu.Unlock()
		if len(p.Rows) > 0 && !s.isSilent() {
			return p, nil
		}
		if s.isSilent() {
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

func (s store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[s.vm]
}

func (s store) Put(context.Context, provider.Topic, string, []byte) error { return nil }

func (s store) Remove(context.Context, provider.Topic, string) error { return nil }

// peers is one VM's way to the others.
type peers struct{ *fleet }

func (p peers) Call(ctx context.Context, address string, _ peer.Method, params, result any) (peer.Identity, error) {
	ask, ok := params.(readMessage)
	answer, ok2 := result.(*pageMessage)
	if !ok || !ok2 {
		return peer.Identity{}, errAway
	}
	p.mu.Lock()
	f := p.followers[address]
	p.mu.Unlock()
	if f == nil {
		return peer.Identity{}, errAway
	}
	*answer = f.answer(ctx, ask)
	return peer.Identity{VM: address}, ctx.Err()
}

// sources is one VM's choice of whom to follow.
type sources struct {
	*fleet
	vm string
}

func (s sources) Watches(provider.Topic) bool { return s.watching[s.vm] }

func (s sources) Peers(provider.Topic) []string {
	var list []string
	for _, vm := range []string{"a", "b", "c"} {
		if vm != s.vm {
			list = append(list, vm)
		}
	}
	return list
}

func (f *fleet) put(r provider.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ver = r.Version
	f.rows = append(f.rows, r)
	close(f.change)
	f.change = make(chan struct{})
}

func (f *fleet) turnAway(vms ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = make(map[string]bool)
	for _, vm := range vms {
		f.away[vm] = true
	}
	close(f.change)
	f.change = make(chan struct{})
}

// newFleet starts the VMs a, b and c, of which a watches the store.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		change: make(chan struct{}), ver: 1, followers: make(map[string]*Follower),
		observers: make(map[string]*recorder), watching: map[string]bool{"a": true}, reads: make(map[string]int),
	}
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	for _, vm := range []string{"a", "b", "c"} {
		r := newRecorder()
		follower := Start(provider.Configuration, r, store{f, vm}, peers{f}, sources{f, vm}, log)
		f.mu.Lock()
		f.followers[vm], f.observers[vm] = follower, r
		f.mu.Unlock()
		t.Cleanup(follower.Stop)
	}
	return f
}

func (f *fleet) allHave(t *testing.T, key, value string) {
	t.Helper()
	for vm, r := range f.observers {
		require.Eventually(t, func() bool { return r.has(key, value) }, 10*time.Second, time.Millisecond, vm)
	}
}

// TestOthersFollowTheWatcher checks that news reach all, and that after a while
// only the watcher asks the store.
func TestOthersFollowTheWatcher(t *testing.T) {
	f := newFleet(t)
	f.put(row("k", "1", 2))
	f.allHave(t, "k", "1")
	require.Eventually(t, func() bool {
		f.followers["b"].mu.Lock()
		defer f.followers["b"].mu.Unlock()
		return f.followers["b"].fromPeer
	}, 10*time.Second, time.Millisecond)
	f.put(row("k", "2", 3))
	f.allHave(t, "k", "2")
}

// TestVMsThatTheStoreTurnsAway learn from the others, whoever they are.
func TestVMsThatTheStoreTurnsAway(t *testing.T) {
	f := newFleet(t)
	f.put(row("k", "1", 2))
	f.allHave(t, "k", "1")
	f.turnAway("a", "b")
	f.put(row("k", "2", 3))
	f.allHave(t, "k", "2")
	f.turnAway("c")
	f.put(row("k", "3", 4))
	f.allHave(t, "k", "3")
}

// TestWatcherThatTheStoreIsSilentTo cuts the only watcher off without an answer:
// the others, whom the store would serve, must have the next change within the
// two seconds that a configuration has.
func TestWatcherThatTheStoreIsSilentTo(t *testing.T) {
	f := newFleet(t)
	f.put(row("k", "1", 2))
	f.allHave(t, "k", "1")
	require.Eventually(t, func() bool {
		f.followers["b"].mu.Lock()
		defer f.followers["b"].mu.Unlock()
		return f.followers["b"].fromPeer && !f.followers["b"].answers
	}, 10*time.Second, time.Millisecond)
	f.mu.Lock()
	f.silent = map[string]bool{"a": true}
	f.mu.Unlock()
	f.put(row("k", "2", 3))
	const inForce = 2 * time.Second
	for _, vm := range []string{"b", "c"} {
		require.Eventually(t, func() bool { return f.observers[vm].has("k", "2") }, inForce, time.Millisecond, vm)
	}
}

// TestOutageOfTheStore is told as one by each VM, although they reach each
// other, and its end as well.
func TestOutageOfTheStore(t *testing.T) {
	f := newFleet(t)
	f.put(row("k", "1", 2))
	f.allHave(t, "k", "1")
	f.turnAway("a", "b", "c")
	for vm, r := range f.observers {
		require.Eventually(t, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.outages > 0
		}, 10*time.Second, time.Millisecond, vm)
	}
	f.turnAway()
	f.put(row("k", "2", 3))
	f.allHave(t, "k", "2")
	for vm, r := range f.observers {
		require.Eventually(t, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.restored > r.outages-1 && r.restored > 1
		}, 10*time.Second, time.Millisecond, vm)
	}
}

// TestStartsWithoutTheStore begins a VM that the store turns away.
func TestStartsWithoutTheStore(t *testing.T) {
	f := newFleet(t)
	f.put(row("k", "1", 2))
	f.allHave(t, "k", "1")
	f.turnAway("d")
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	r := newRecorder()
	d := Start(provider.Configuration, r, store{f, "d"}, peers{f}, sources{f, "d"}, log)
	defer d.Stop()
	require.Eventually(t, func() bool { return r.has("k", "1") }, 10*time.Second, time.Millisecond)
}
