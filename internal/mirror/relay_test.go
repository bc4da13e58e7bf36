package mirror

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// follows reports whether a VM's last poll of the others reached a fresh source.
func (c *cluster) follows(vm string) bool {
	f := c.followers[vm]
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peerFresh && !f.storeReachable
}

// reads returns how often a VM has read from another one.
func (c *cluster) reads(from, at string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerReads[[2]string{from, at}]
}

// pollsAt reports whether a VM waits for changes at another one.
func (c *cluster) pollsAt(from, at string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.polls[[2]string{from, at}] > 0
}

// newFollowedCluster is newCluster, once all VMs have a row and b and c follow others.
func newFollowedCluster(t *testing.T, relays ...string) *cluster {
	t.Helper()
	c := newCluster(t, relays...)
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	require.Eventually(t, func() bool { return c.follows("b") && c.follows("c") }, 10*time.Second, time.Millisecond)
	return c
}

// cutOffFromWatcher cuts b and c off from the store and the watcher, until both have
// noticed.
func (c *cluster) cutOffFromWatcher(t *testing.T) {
	t.Helper()
	c.rejectVMs("b", "c")
	c.mu.Lock()
	c.silent["a"] = true
	c.mu.Unlock()
	for _, vm := range []string{"b", "c"} {
		require.Eventually(t, func() bool { return c.followers[vm].isStale() }, 10*time.Second, time.Millisecond, vm)
	}
}

// TestRelayHandsOn checks that a VM that follows a relay gets the changes, and neither
// reads from the watcher nor from the store.
func TestRelayHandsOn(t *testing.T) {
	c := newCluster(t, "b")
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	// If the relay was no fresh source yet when c asked it first, c goes by the watcher for standbyTime.
	require.Eventually(t, func() bool { return c.follows("b") && c.follows("c") && c.pollsAt("c", "b") }, 10*time.Second, time.Millisecond)
	c.mu.Lock()
	c.peerReads = make(map[[2]string]int)
	c.storeReads = make(map[string]int)
	c.mu.Unlock()
	for version := int64(3); version < 10; version++ {
		c.put(row("k", string(rune('0'+version)), version))
		c.awaitAll(t, "k", string(rune('0'+version)))
	}
	require.Zero(t, c.reads("c", "a"), "the relay has what the watcher has")
	require.Positive(t, c.reads("c", "b"))
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Zero(t, c.storeReads["c"])
	require.Zero(t, c.storeReads["b"])
}

// TestFollowersOfALostRelay cuts a relay off from the watcher and the store, without
// cutting it off from the VM that follows it: that one must get the next change within the
// two seconds allowed for applying a configuration, and may not take the relay's copy for
// fresh.
func TestFollowersOfALostRelay(t *testing.T) {
	c := newFollowedCluster(t, "b")
	c.cutOffFromWatcher(t)
	c.mu.Lock()
	c.silent["a"] = false
	c.mu.Unlock()
	c.put(row("k", "2", 3))
	const propagationLimit = 2 * time.Second
	require.Eventually(t, func() bool { return c.observers["c"].has("k", "2") }, propagationLimit, time.Millisecond)
}

// TestRelaysThatFollowEachOtherBecomeStale makes the watcher unreachable for two relays
// that the store rejects: neither may take the other for fresh.
func TestRelaysThatFollowEachOtherBecomeStale(t *testing.T) {
	c := newFollowedCluster(t, "b", "c")
	c.cutOffFromWatcher(t)
	require.GreaterOrEqual(t, c.followers["b"].Revision().Version, int64(2))
}

// TestAgeIsHandedOn checks that a copy is no fresher than that of the relay from which it
// was read.
func TestAgeIsHandedOn(t *testing.T) {
	c := newFollowedCluster(t, "b")
	b := c.followers["b"]
	require.Eventually(t, func() bool {
		m := b.serve(t.Context(), readMessage{After: b.Revision().Version, AfterEpoch: new(int64)})
		return !m.Stale && m.AgeMs > 0
	}, 10*time.Second, time.Millisecond)
	a := c.followers["a"].serve(t.Context(), readMessage{})
	require.False(t, a.Stale)
	require.Zero(t, a.AgeMs, "the watcher reaches the store")
	require.True(t, c.followers["c"].serve(t.Context(), readMessage{}).Stale, "only a relay hands on")
}

// newClusterOfTwoWatchers is newCluster with the watchers a and b, once all VMs have a row and c
// follows one of them.
func newClusterOfTwoWatchers(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t)
	c.mu.Lock()
	c.watchers["b"] = true
	c.mu.Unlock()
	c.put(row("k", "1", 2))
	c.awaitAll(t, "k", "1")
	require.Eventually(t, func() bool { return c.follows("c") }, 10*time.Second, time.Millisecond)
	return c
}

// TestFollowersOfDarkWatchers takes the power from both watchers just after a VM has begun to
// wait for the first of them: that VM must get the next change from the store within the two
// seconds allowed for applying a configuration, and for sending nothing more to an endpoint that
// leaves. It polled one dark VM after the other before it turned to the store.
func TestFollowersOfDarkWatchers(t *testing.T) {
	c := newClusterOfTwoWatchers(t)
	polls := c.reads("c", "a")
	require.Eventually(t, func() bool { return c.reads("c", "a") > polls }, 10*time.Second, time.Millisecond)
	c.mu.Lock()
	c.dark["a"], c.dark["b"] = true, true
	c.mu.Unlock()
	c.put(row("k", "2", 3))
	const propagationLimit = 2 * time.Second
	require.Eventually(t, func() bool { return c.observers["c"].has("k", "2") }, propagationLimit, time.Millisecond)
}

// TestFollowerOfADarkWatcherStaysWithTheOther checks that a VM which has found another source,
// as its first one doesn't answer, goes on with that one and doesn't wait for the dark one at each
// change.
func TestFollowerOfADarkWatcherStaysWithTheOther(t *testing.T) {
	c := newClusterOfTwoWatchers(t)
	c.mu.Lock()
	c.dark["a"] = true
	c.mu.Unlock()
	c.put(row("k", "2", 3))
	require.Eventually(t, func() bool { return c.observers["c"].has("k", "2") }, 10*time.Second, time.Millisecond)
	// The change alone doesn't show that c has found the other source: a read of the store that c
	// began before it followed a VM brings it as well.
	require.Eventually(t, func() bool { return c.pollsAt("c", "b") }, 10*time.Second, time.Millisecond)
	before := c.reads("c", "a")
	for version := int64(4); version < 8; version++ {
		value := string(rune('0' + version))
		c.put(row("k", value, version))
		require.Eventually(t, func() bool { return c.observers["c"].has("k", value) }, peerPollWait, time.Millisecond)
	}
	require.Equal(t, before, c.reads("c", "a"))
	require.Less(t, c.reads("c", "b"), 20, "the other source is not asked without a pause")
}
