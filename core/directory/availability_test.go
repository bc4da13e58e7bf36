package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An incarnation that is known to leave stays so, whatever the registry lists
// later; another incarnation under the same ID is not concerned.
func TestLeavingIsNeverUndone(t *testing.T) {
	for name, leave := range map[string]func(d *Directory){
		"marked":            func(d *Directory) { d.MarkLeaving(Incarnation{"a", 1}) },
		"drained":           func(d *Directory) { d.Put(Entry{ID: "a", Started: 1, State: Draining}) },
		"marked, unlisted":  func(d *Directory) { d.Remove(start, "a"); d.MarkLeaving(Incarnation{"a", 1}) },
		"drained, unlisted": func(d *Directory) { d.Put(Entry{ID: "a", Started: 1, State: Draining}); d.Remove(start, "a") },
	} {
		t.Run(name, func(t *testing.T) {
			d := New(time.Second)
			d.Put(Entry{ID: "a", Started: 1})
			leave(d)
			d.Put(Entry{ID: "a", Started: 1})
			_, availability := d.Lookup(start, "a")
			require.Equal(t, Leaving, availability)
			require.Empty(t, usableIDs(d))
			d.Put(Entry{ID: "a", Started: 2})
			_, availability = d.Lookup(start, "a")
			require.Equal(t, Available, availability)
		})
	}
}

// Leaving endpoints are removed as soon as the registry drops them, also during an
// outage.
func TestLeavingEndpointIsRemovedDuringOutage(t *testing.T) {
	d := New(time.Second)
	d.Put(Entry{ID: "a"})
	require.True(t, d.MarkLeaving(Incarnation{"a", 0}))
	require.False(t, d.MarkLeaving(Incarnation{"a", 0}))
	d.Outage()
	d.Remove(start, "a")
	require.Zero(t, d.Len())
}

// The number of incarnations remembered as leaving is bounded.
func TestLeavingIsBounded(t *testing.T) {
	d := New(time.Second)
	for i := range maxLeaving + 10 {
		d.MarkLeaving(Incarnation{"a", int64(i)})
	}
	require.Len(t, d.leaving, maxLeaving)
	require.True(t, d.leaving[Incarnation{"a", maxLeaving}])
}

// A pause holds for its time, is never shortened, and has a bounded length.
func TestPause(t *testing.T) {
	d := New(time.Second)
	d.Put(Entry{ID: "a", Service: "s"})
	d.Put(Entry{ID: "b", Service: "s"})
	for _, pause := range []time.Duration{-time.Hour, 0} {
		require.Zero(t, d.Pause(start, Incarnation{ID: "a"}, pause))
	}
	d.Pause(start, Incarnation{ID: "a"}, 3*time.Second)
	require.Equal(t, at(3*time.Second), d.Pause(at(time.Second), Incarnation{ID: "a"}, time.Second))
	_, availability := d.Lookup(at(2999*time.Millisecond), "a")
	require.Equal(t, Paused, availability)
	_, availability = d.Lookup(at(3*time.Second), "a")
	require.Equal(t, Available, availability)
	require.Equal(t, at(MaxPause), d.Pause(start, Incarnation{ID: "b"}, 72*time.Hour))
}

// Paused lists the paused endpoints of a service, with a wait only if all of its
// ready endpoints are paused.
func TestPausedService(t *testing.T) {
	d := New(time.Second)
	d.Put(Entry{ID: "b", Service: "s"})
	d.Put(Entry{ID: "a", Service: "s"})
	d.Put(Entry{ID: "d", Service: "s", State: Draining})
	d.Put(Entry{ID: "p", Service: "p"})
	ids, wait := d.Paused(start, "s")
	require.Empty(t, ids)
	require.Zero(t, wait)
	d.Pause(start, Incarnation{ID: "a"}, 5*time.Second)
	d.Pause(start, Incarnation{ID: "p"}, time.Second)
	ids, wait = d.Paused(start, "s")
	require.Equal(t, []string{"a"}, ids)
	require.Zero(t, wait)
	d.Pause(start, Incarnation{ID: "b"}, 2*time.Second)
	ids, wait = d.Paused(at(time.Second), "s")
	require.Equal(t, []string{"a", "b"}, ids)
	require.Equal(t, time.Second, wait)
	ids, _ = d.Paused(at(2*time.Second), "s")
	require.Equal(t, []string{"a"}, ids)
}

// A new incarnation is not bound by the pause of the one before it.
func TestPauseEndsWithIncarnation(t *testing.T) {
	d := New(time.Second)
	d.Put(Entry{ID: "a", Started: 1})
	d.Pause(start, Incarnation{ID: "a", Started: 1}, time.Minute)
	d.Put(Entry{ID: "a", Started: 1, Slots: 3})
	_, availability := d.Lookup(start, "a")
	require.Equal(t, Paused, availability)
	d.Put(Entry{ID: "a", Started: 2})
	_, availability = d.Lookup(start, "a")
	require.Equal(t, Available, availability)
}
