package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func ids(d *Directory) []string {
	usable := d.Usable()
	list := make([]string, 0, len(usable))
	for _, e := range usable {
		list = append(list, e.ID)
	}
	return list
}

// TestRemovedAtOnce drops an endpoint whose line goes while the registry is well.
func TestRemovedAtOnce(t *testing.T) {
	d := New(2 * time.Second)
	d.Put(Entry{ID: "a"})
	d.Remove(start, "a")
	require.Empty(t, ids(d))
	require.Zero(t, d.Len())
	d.Remove(start, "a")
}

// TestDrainingGetsNoWork keeps an endpoint known that leaves.
func TestDrainingGetsNoWork(t *testing.T) {
	d := New(2 * time.Second)
	d.Put(Entry{ID: "a", State: Draining})
	require.Empty(t, ids(d))
	_, known := d.Entry("a")
	require.True(t, known)
}

// TestLapsedDuringOutage keeps lines that went with the registry until they had
// the time to come back, and drops those that did not.
func TestLapsedDuringOutage(t *testing.T) {
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
	require.ElementsMatch(t, []string{"a", "b"}, ids(d))
	_, known := d.Entry("c")
	require.False(t, known, "one that said that it leaves has left")
	d.Put(Entry{ID: "a"})
	d.Expire(at(2900 * time.Millisecond))
	require.ElementsMatch(t, []string{"a", "b"}, ids(d))
	d.Expire(at(3 * time.Second))
	require.Equal(t, []string{"a"}, ids(d))
	d.Remove(at(4*time.Second), "a")
	require.Empty(t, ids(d))
}

// TestSecondOutage gives lines their time anew.
func TestSecondOutage(t *testing.T) {
	d := New(2 * time.Second)
	d.Put(Entry{ID: "a"})
	d.Outage()
	d.Restored(at(0))
	d.Outage()
	d.Remove(at(5*time.Second), "a")
	d.Expire(at(6 * time.Second))
	require.Equal(t, []string{"a"}, ids(d))
	d.Restored(at(7 * time.Second))
	d.Expire(at(8900 * time.Millisecond))
	require.Equal(t, []string{"a"}, ids(d))
	d.Expire(at(9 * time.Second))
	require.Empty(t, ids(d))
}

// TestRestoredWithoutOutage changes nothing.
func TestRestoredWithoutOutage(t *testing.T) {
	d := New(2 * time.Second)
	d.Put(Entry{ID: "a"})
	d.Restored(at(0))
	d.Remove(at(time.Millisecond), "a")
	require.Empty(t, ids(d))
}
