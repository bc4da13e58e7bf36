package mirror

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// recorder is an Observer that records the rows and counts the outages.
type recorder struct {
	mu       sync.Mutex
	rows     map[string]string
	listed   bool
	outages  int
	restored int
	keepFor  time.Duration
}

// testKeepFor is how long a copy whose time the test sets keeps rows of earlier epochs.
const testKeepFor = 300 * time.Millisecond

func newRecorder() *recorder { return &recorder{rows: make(map[string]string), keepFor: testKeepFor} }

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

// Supersedes takes a row that was written in the present epoch only.
func (r *recorder) Supersedes(_, _ provider.Row, rewritten bool) bool { return rewritten }

func (r *recorder) KeepFor() time.Duration { return r.keepFor }

func (r *recorder) has(key, value string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[key] == value
}

func row(key, value string, version int64) provider.Row {
	return provider.Row{Key: key, Value: []byte(value), Version: version}
}

func tombstone(key string, version int64) provider.Row {
	return provider.Row{Key: key, Version: version, Removed: true}
}

// TestOlderRowVersionsAreIgnored applies changes from a source that is behind: rows
// older than the stored row or tombstone must change nothing.
func TestOlderRowVersionsAreIgnored(t *testing.T) {
	r := newRecorder()
	m := New(r)
	m.applyList(provider.Page{Version: 10, Rows: []provider.Row{row("a", "new", 9), row("b", "x", 3)}})
	require.True(t, r.listed)
	m.applyChanges(provider.Page{Version: 8, Rows: []provider.Row{row("a", "old", 7), tombstone("b", 2)}})
	require.True(t, r.has("a", "new"))
	require.True(t, r.has("b", "x"))
	m.applyChanges(provider.Page{Version: 12, Rows: []provider.Row{tombstone("b", 12)}})
	m.applyChanges(provider.Page{Version: 12, Rows: []provider.Row{row("b", "x", 3)}})
	require.True(t, r.has("b", ""), "an older version must not restore a removed row")
	m.applyChanges(provider.Page{Version: 14, Rows: []provider.Row{row("b", "again", 13)}})
	require.True(t, r.has("b", "again"))
	require.Equal(t, int64(14), m.Revision().Version)
	require.Equal(t, int64(13), m.Latest().Version)
}

// TestOlderListKeepsNewerRows applies a list from a source that is behind: rows that
// it lacks must be removed only if they are not later than the list.
func TestOlderListKeepsNewerRows(t *testing.T) {
	r := newRecorder()
	m := New(r)
	m.applyList(provider.Page{Version: 10, Rows: []provider.Row{row("a", "1", 9)}})
	m.applyList(provider.Page{Version: 5})
	require.True(t, r.has("a", "1"))
	m.applyList(provider.Page{Version: 11})
	require.True(t, r.has("a", ""))
}

// TestWaitForChanges checks that a follower receives changed and removed rows as
// they arrive, an empty page without changes, and an ExpiredError for a version
// before the copy began.
func TestWaitForChanges(t *testing.T) {
	m := New(newRecorder())
	m.applyList(provider.Page{Version: 10, Rows: []provider.Row{row("a", "1", 9), row("b", "1", 4)}})
	done := make(chan page)
	go func() {
		p, err := m.waitForChanges(context.Background(), provider.Revision{Version: 10}, 5*time.Second)
		if err == nil {
			done <- p
		}
	}()
	time.Sleep(10 * time.Millisecond)
	m.applyChanges(provider.Page{Version: 12, Rows: []provider.Row{tombstone("a", 11), row("b", "2", 12)}})
	p := <-done
	require.Len(t, p.Rows, 2)
	require.Equal(t, int64(12), p.Version)
	p, err := m.waitForChanges(context.Background(), provider.Revision{Version: 12}, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, p.Rows)
	_, err = m.waitForChanges(context.Background(), provider.Revision{Version: 3}, time.Millisecond)
	var expired *provider.ExpiredError
	require.ErrorAs(t, err, &expired, "rows removed before the copy began are unknown")
}

// TestPeersFollowWatcher checks that changes reach all VMs, also after the others
// have switched from the store to the watcher.
func TestPeersFollowWatcher(t *testing.T) {
	c := newCluster(t)
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	require.Eventually(t, func() bool {
		c.followers["b"].mu.Lock()
		defer c.followers["b"].mu.Unlock()
		return c.followers["b"].peerFresh
	}, 10*time.Second, time.Millisecond)
	c.put(row("k", "2", 3))
	c.awaitAll(t, "k", "2")
}

// TestRejectedVMsFollowPeers checks that VMs whose store calls fail receive changes
// from the VMs that reach the store, whether or not these are watchers.
func TestRejectedVMsFollowPeers(t *testing.T) {
	c := newCluster(t)
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	c.rejectVMs("a", "b")
	c.put(row("k", "2", 3))
	c.awaitAll(t, "k", "2")
	c.rejectVMs("c")
	c.put(row("k", "3", 4))
	c.awaitAll(t, "k", "3")
}

// TestUnresponsiveStoreOfOnlyWatcher makes the store unresponsive to the only
// watcher. The other VMs, to which the store still responds, must receive the next
// change within the two seconds allowed for applying a configuration.
func TestUnresponsiveStoreOfOnlyWatcher(t *testing.T) {
	c := newCluster(t)
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	require.Eventually(t, func() bool {
		c.followers["b"].mu.Lock()
		defer c.followers["b"].mu.Unlock()
		return c.followers["b"].peerFresh && !c.followers["b"].storeReachable
	}, 10*time.Second, time.Millisecond)
	c.mu.Lock()
	c.unresponsive = map[string]bool{"a": true}
	c.mu.Unlock()
	c.put(row("k", "2", 3))
	const propagationLimit = 2 * time.Second
	for _, vm := range []string{"b", "c"} {
		require.Eventually(t, func() bool { return c.observers[vm].has("k", "2") }, propagationLimit, time.Millisecond, vm)
	}
}

// TestStoreOutage checks that each VM reports an outage when none reaches the store,
// although they reach each other, and reports its end.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t)
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	// A VM may have the row from another one that does not know yet that it reaches the
	// store: only a copy that was fresh can become stale.
	for vm, f := range c.followers {
		require.Eventually(t, func() bool { return !f.isStale() }, 10*time.Second, time.Millisecond, vm)
	}
	c.rejectVMs("a", "b", "c")
	for vm, r := range c.observers {
		require.Eventually(t, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.outages > 0
		}, 10*time.Second, time.Millisecond, vm)
	}
	c.rejectVMs()
	c.put(row("k", "2", 3))
	c.awaitAll(t, "k", "2")
	for vm, r := range c.observers {
		require.Eventually(t, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.restored > r.outages-1 && r.restored > 1
		}, 10*time.Second, time.Millisecond, vm)
	}
}

// TestStartWithoutStore checks that a VM whose store calls fail from the start gets
// the topic from the others.
func TestStartWithoutStore(t *testing.T) {
	c := newCluster(t)
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	c.rejectVMs("d")
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	r := newRecorder()
	d := Start(provider.Configuration, r, clusterStore{c, "d"}, clusterPeers{c, "d"}, clusterSources{c, "d"}, log, func(int64) {})
	defer d.Stop()
	require.Eventually(t, func() bool { return r.has("k", "1") }, 10*time.Second, time.Millisecond)
}

// TestStoreLostByOneWatcherIsNoOutage takes the store away from the watcher only, while
// another VM reaches it: the watcher's copy does not become stale in between.
func TestStoreLostByOneWatcherIsNoOutage(t *testing.T) {
	c := newCluster(t)
	c.mu.Lock()
	c.watchers["b"] = true
	c.mu.Unlock()
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	require.Eventually(t, func() bool { return c.followers["b"].isStoreReachable() }, 10*time.Second, time.Millisecond)
	c.rejectVMs("a")
	require.Eventually(t, func() bool { return !c.followers["a"].isStoreReachable() }, 10*time.Second, time.Millisecond)
	c.put(row("k", "2", 3))
	c.awaitAll(t, "k", "2")
	r := c.observers["a"]
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Zero(t, r.outages)
}

// TestChangesTooLargeForOneResponse guards against a copy that stays behind because the store's
// changes exceed what is read of one response: the topic is listed instead, in pages.
func TestChangesTooLargeForOneResponse(t *testing.T) {
	c := newCluster(t)
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	c.mu.Lock()
	c.tooLarge = true
	c.mu.Unlock()
	c.put(row("k", "2", 3))
	c.awaitAll(t, "k", "2")
}

// callbackTimeout bounds a call that leads to an observer which reads the copy.
const callbackTimeout = 10 * time.Second

// within runs f, and fails the test if f has not returned in time.
func within(t *testing.T, what string, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(callbackTimeout):
		t.Fatalf("%s hangs", what)
	}
}

// readingRecorder is a recorder that reads the copy whenever it is notified.
type readingRecorder struct {
	*recorder
	copy *Mirror
	// latest has the latest revision of the copy at each notification.
	latest []provider.Revision
}

func (r *readingRecorder) read() {
	r.copy.Revision()
	r.copy.Kept()
	r.copy.isStale()
	r.copy.list()
	r.latest = append(r.latest, r.copy.Latest())
}

func (r *readingRecorder) Changed(rows []provider.Row) {
	r.recorder.Changed(rows)
	r.read()
}

func (r *readingRecorder) Outage() {
	r.recorder.Outage()
	r.read()
}

func (r *readingRecorder) Restored(at time.Time) {
	r.recorder.Restored(at)
	r.read()
}

// TestObserverMayReadTheCopy guards against a VM that hangs for good: what an observer does with
// a change may lead back to the copy, in the goroutine that applies the change.
func TestObserverMayReadTheCopy(t *testing.T) {
	r := &readingRecorder{recorder: newRecorder()}
	r.copy = New(r)
	within(t, "the first list", func() {
		r.copy.applyList(provider.Page{Version: 10, Rows: []provider.Row{row("a", "1", 9), row("lost", "1", 8)}})
	})
	within(t, "the end of the outage", func() { r.copy.setStale(false, time.Now()) })
	within(t, "a change", func() { r.copy.applyChanges(provider.Page{Version: 12, Rows: []provider.Row{row("a", "2", 12)}}) })
	within(t, "an outage", func() { r.copy.setStale(true, time.Time{}) })
	within(t, "a new epoch", func() {
		r.copy.applyList(provider.Page{Epoch: 1, Version: 20, Rows: []provider.Row{{Key: "b", Value: []byte("1"), Epoch: 1, Version: 15}}})
	})
	within(t, "a row that another VM keeps", func() {
		r.copy.applyKept([]provider.Row{row("c", "1", 11)}, 1, time.Second)
	})
	within(t, "the release of kept rows", func() { r.copy.releaseKept(time.Now().Add(time.Hour)) })
	require.Len(t, r.latest, 7)
	require.Equal(t, int64(9), r.latest[0].Version)
	require.Equal(t, int64(12), r.latest[2].Version, "the copy has the change that the observer receives")
	require.Equal(t, provider.Revision{Epoch: 1, Version: 20}, r.copy.Revision())
}

// blockingRecorder is a recorder whose first notification waits.
type blockingRecorder struct {
	*recorder
	received, proceed chan struct{}
	order             chan int64
}

func (r *blockingRecorder) Changed(rows []provider.Row) {
	if rows[0].Version == 1 {
		close(r.received)
		<-r.proceed
	}
	r.recorder.Changed(rows)
	r.order <- rows[0].Version
}

// TestChangesReachTheObserverInOrder guards against changes of two sources that overtake each
// other on their way to the observer, and against a copy that counts as up to date while the
// observer has not received a change.
func TestChangesReachTheObserverInOrder(t *testing.T) {
	r := &blockingRecorder{newRecorder(), make(chan struct{}), make(chan struct{}), make(chan int64, 2)}
	m := New(r)
	go m.applyList(provider.Page{Version: 1, Rows: []provider.Row{row("a", "1", 1)}})
	<-r.received
	applied := make(chan struct{})
	go func() {
		m.applyChanges(provider.Page{Version: 2, Rows: []provider.Row{row("a", "2", 2)}})
		close(applied)
	}()
	within(t, "a read of the copy during a notification", func() { require.Equal(t, int64(1), m.Latest().Version) })
	select {
	case <-applied:
		t.Fatal("a change was applied before the observer had the one before it")
	case <-time.After(50 * time.Millisecond):
	}
	close(r.proceed)
	within(t, "the second change", func() { <-applied })
	require.Equal(t, []int64{1, 2}, []int64{<-r.order, <-r.order})
	require.True(t, r.has("a", "2"))
}
