package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func usableIDs(d *Directory) []string {
	usable := d.Usable()
	list := make([]string, 0, len(usable))
	for _, e := range usable {
		list = append(list, e.ID)
	}
	return list
}

// An endpoint removed while the registry is available is dropped immediately.
func TestRemovedWithoutOutage(t *testing.T) {
	d := New(2 * time.Second)
	d.Put(Entry{ID: "a"})
	d.Remove(start, "a")
	require.Empty(t, usableIDs(d))
	require.Zero(t, d.Len())
	d.Remove(start, "a")
}

// A draining endpoint stays in the directory but receives no requests.
func TestDrainingIsNotUsable(t *testing.T) {
	d := New(2 * time.Second)
	d.Put(Entry{ID: "a", State: Draining})
	require.Empty(t, usableIDs(d))
	_, known := d.Entry("a")
	require.True(t, known)
}

// Entries removed during a registry outage are kept for the grace period after
// it, and then deleted if they have not reappeared.
func TestRemovedDuringOutage(t *testing.T) {
	d := New(2 * time.Second)
	for _, id := range []string{"a", "b", "c"} {
		d.Put(Entry{ID: id})
	}
	d.Put(Entry{ID: "c", State: Draining})
	d.Outage()
	d.Remove(at(0), "a")
	d.Restored(at(time.Second))
	d.Remove(at(1100*time.Millisecond), "b")
	d.Remove(at(1100*time.Millisecond), "c")
	require.ElementsMatch(t, []string{"a", "b"}, usableIDs(d))
	_, known := d.Entry("c")
	require.False(t, known, "a draining endpoint is removed immediately")
	d.Put(Entry{ID: "a"})
	d.Expire(at(2900 * time.Millisecond))
	require.ElementsMatch(t, []string{"a", "b"}, usableIDs(d))
	d.Expire(at(3 * time.Second))
	require.Equal(t, []string{"a"}, usableIDs(d))
	d.Remove(at(4*time.Second), "a")
	require.Empty(t, usableIDs(d))
}

// A second outage restarts the grace period.
func TestSecondOutageRestartsGracePeriod(t *testing.T) {
	d := New(2 * time.Second)
	d.Put(Entry{ID: "a"})
	d.Outage()
	d.Restored(at(0))
	d.Outage()
	d.Remove(at(5*time.Second), "a")
	d.Expire(at(6 * time.Second))
	require.Equal(t, []string{"a"}, usableIDs(d))
	d.Restored(at(7 * time.Second))
	d.Expire(at(8900 * time.Millisecond))
	require.Equal(t, []string{"a"}, usableIDs(d))
	d.Expire(at(9 * time.Second))
	require.Empty(t, usableIDs(d))
}

// Restored without a preceding outage starts no grace period.
func TestRestoredWithoutOutage(t *testing.T) {
	d := New(2 * time.Second)
	d.Put(Entry{ID: "a"})
	d.Restored(at(0))
	d.Remove(at(time.Millisecond), "a")
	require.Empty(t, usableIDs(d))
}
