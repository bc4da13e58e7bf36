package mirror

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
