package mirror

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// reached reports whether a VM has a copy from a fresh source.
func (c *cluster) reached(vm string) bool {
	f := c.followers[vm]
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Revision().Version > 0 && (f.peerFresh || f.storeReachable)
}

// TestOnlyTheWatcherReadsTheStoreAtTheStart checks that VMs that start together get their
// first copies from the one that lists the topic: in a large deployment, the lists of all
// VMs at once took the store many seconds.
func TestOnlyTheWatcherReadsTheStoreAtTheStart(t *testing.T) {
	c := startCluster(t, time.Hour, false, "b")
	require.Eventually(t, func() bool { return c.reached("b") && c.reached("c") }, 10*time.Second, time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Zero(t, c.storeReads["b"])
	require.Zero(t, c.storeReads["c"])
	require.Positive(t, c.storeReads["a"])
}

// TestStartWithoutWatcher checks that VMs that start while the watcher is out of reach
// list the topic themselves.
func TestStartWithoutWatcher(t *testing.T) {
	c := startCluster(t, 20*time.Millisecond, true, "b")
	require.Eventually(t, func() bool { return c.reached("b") && c.reached("c") }, 10*time.Second, time.Millisecond)
}

// firstCopyObserver records whether its follower would read the store at the moment at which it
// has its first copy.
type firstCopyObserver struct {
	*recorder
	follower *Follower
	reads    bool
}

// Changed implements Observer.
func (o *firstCopyObserver) Changed(rows []provider.Row) {
	o.recorder.Changed(rows)
	o.reads = o.follower.shouldReadStore()
}

// TestFirstCopyFromAFreshSourceNeedsNoStore guards against a read of the store by a VM that has
// just got its first copy from a fresh source: the copy was applied before the source was known
// as fresh, and in between the VM began to follow the store.
func TestFirstCopyFromAFreshSourceNeedsNoStore(t *testing.T) {
	c := newCluster(t)
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	require.Eventually(t, func() bool { _, fresh := c.followers["a"].source(); return fresh }, 10*time.Second, time.Millisecond)
	o := &firstCopyObserver{recorder: newRecorder()}
	o.follower = &Follower{Mirror: New(o), topic: provider.Configuration, peers: clusterPeers{c, "d"}, sources: clusterSources{c, "d"}}
	require.True(t, o.follower.readPeer(t.Context(), "a", 0))
	require.True(t, o.has("k", "1"))
	require.False(t, o.reads)
}
