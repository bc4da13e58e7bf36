package mirror

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// of sets the epoch of rows.
func of(epoch int64, rows ...provider.Row) []provider.Row {
	for i := range rows {
		rows[i].Epoch = epoch
	}
	return rows
}

// restoredMirror returns a copy of epoch 1 with the rows, and its observer.
func restoredMirror(rows ...provider.Row) (*Mirror, *recorder) {
	r := newRecorder()
	m := New(r)
	m.applyList(provider.Page{Rows: of(1, rows...), Version: 900, Epoch: 1})
	return m, r
}

// A store that was restored holds older rows, and lacks others. The copy keeps what
// it knows for a limited time, and then takes over what the store has.
func TestRestoredStoreDoesNotReplaceNewerRows(t *testing.T) {
	m, r := restoredMirror(row("old", "1", 850), row("changed", "2", 895), row("added", "1", 898))
	change, ok := m.applyList(provider.Page{Rows: of(2, row("old", "1", 850), row("changed", "1", 860)), Version: 880, Epoch: 2})
	require.True(t, ok)
	require.True(t, change.entered)
	require.Equal(t, []string{"added", "changed"}, change.kept)
	require.True(t, r.has("changed", "2"))
	require.True(t, r.has("added", "1"))
	require.Nil(t, m.releaseKept(time.Now()), "too early")
	require.Equal(t, []string{"added", "changed"}, m.releaseKept(time.Now().Add(testKeepFor)))
	require.True(t, r.has("changed", "1"))
	require.False(t, r.has("added", "1"))
	require.True(t, r.has("old", "1"))
}

// A row that was removed, and which the restored store has again, stays removed for a
// limited time.
func TestRestoredStoreDoesNotBringBackRemovedRows(t *testing.T) {
	m, r := restoredMirror(row("k", "1", 850))
	require.True(t, m.applyChanges(provider.Page{Rows: of(1, tombstone("k", 910)), Version: 910, Epoch: 1}))
	m.applyList(provider.Page{Rows: of(2, row("k", "1", 850)), Version: 880, Epoch: 2})
	require.False(t, r.has("k", "1"))
	m.releaseKept(time.Now().Add(testKeepFor))
	require.True(t, r.has("k", "1"))
}

// Versions are issued again: a change of the new epoch applies although its version
// is lower than that of the row known, and is served to followers.
func TestReissuedVersionsAreApplied(t *testing.T) {
	m, r := restoredMirror(row("k", "1", 890))
	m.applyList(provider.Page{Rows: of(2, row("k", "0", 870)), Version: 880, Epoch: 2})
	require.True(t, m.applyChanges(provider.Page{Rows: of(2, row("k", "2", 881)), Version: 881, Epoch: 2}))
	require.True(t, r.has("k", "2"))
	require.Equal(t, provider.Revision{Epoch: 2, Version: 881}, m.Latest())
	p, _, err := m.changesSince(provider.Revision{Epoch: 2, Version: 880})
	require.NoError(t, err)
	require.Len(t, p.Rows, 1)
	require.Empty(t, p.kept, "the row was written again")
	m.releaseKept(time.Now().Add(testKeepFor))
	require.True(t, r.has("k", "2"))
}

// A version of another epoch is no version to continue from, even if it is the same.
func TestVersionsOfAnotherEpochAreNotContinued(t *testing.T) {
	m, _ := restoredMirror(row("k", "1", 890))
	m.applyList(provider.Page{Rows: of(2, row("k", "2", 895)), Version: 900, Epoch: 2})
	_, _, err := m.changesSince(provider.Revision{Epoch: 1, Version: 900})
	var expired *provider.ExpiredError
	require.ErrorAs(t, err, &expired)
	require.False(t, m.applyChanges(provider.Page{Rows: of(1, row("k", "3", 901)), Version: 901, Epoch: 1}))
	_, ok := m.applyList(provider.Page{Rows: of(1, row("k", "3", 901)), Version: 901, Epoch: 1})
	require.False(t, ok)
}

// A VM that starts after the restoration learns from another one what the store has
// lost, also if it has read the store before.
func TestKeptRowsReachVMsThatStartLater(t *testing.T) {
	m, _ := restoredMirror(row("k", "2", 890), row("gone", "1", 800), row("new", "1", 899))
	m.applyChanges(provider.Page{Rows: of(1, tombstone("gone", 905)), Version: 905, Epoch: 1})
	list := provider.Page{Rows: of(2, row("k", "1", 870), row("gone", "1", 800)), Version: 880, Epoch: 2}
	m.applyList(list)
	p, ok := m.list()
	require.True(t, ok)
	later := newRecorder()
	n := New(later)
	message := encodePage(p, true)
	_, ok = n.applyList(message.page())
	require.True(t, ok)
	n.applyKept(message.kept(), message.Epoch, p.keepFor)
	require.True(t, later.has("k", "2"))
	require.True(t, later.has("new", "1"))
	require.False(t, later.has("gone", "1"))
	n.applyChanges(provider.Page{Rows: of(2, row("k", "3", 885)), Version: 885, Epoch: 2})
	require.True(t, later.has("k", "3"))
	n.releaseKept(time.Now().Add(testKeepFor))
	require.False(t, later.has("new", "1"))
	require.True(t, later.has("gone", "1"))
	require.True(t, later.has("k", "3"))
}

// A second list of the same epoch does not end the time for which lost rows are kept.
func TestSecondListOfEpochKeepsLostRows(t *testing.T) {
	m, r := restoredMirror(row("k", "1", 890))
	m.applyList(provider.Page{Version: 880, Epoch: 2})
	m.applyList(provider.Page{Version: 990, Epoch: 2})
	require.True(t, r.has("k", "1"))
	m.releaseKept(time.Now().Add(testKeepFor))
	require.False(t, r.has("k", "1"))
}

// TestStoreComesBackFromBackup lets the store of a cluster go back while all VMs
// follow it: none of them loses what was acknowledged before, and all of them see
// what is written afterwards under versions that were issued before.
func TestStoreComesBackFromBackup(t *testing.T) {
	c := newCluster(t)
	c.put(row("k", "1", 10))
	c.awaitAll(t, "k", "1")
	backup := c.backup()
	c.put(row("k", "2", 20))
	c.put(row("l", "1", 21))
	c.awaitAll(t, "k", "2")
	c.awaitAll(t, "l", "1")
	c.restore(backup)
	for vm, f := range c.followers {
		require.Eventually(t, func() bool { return f.Revision().Epoch == 1 }, 10*time.Second, time.Millisecond, vm)
		require.True(t, c.observers[vm].has("k", "2"))
	}
	c.put(row("l", "2", 12))
	c.awaitAll(t, "l", "2")
}
