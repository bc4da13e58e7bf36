package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// TestReceivedWorkDecays guards against a burst that counts for longer or shorter than the
// window, also across the sweeps that move the epoch.
func TestReceivedWorkDecays(t *testing.T) {
	l := New()
	l.Add(start, "vm", "a", time.Second)
	require.Equal(t, time.Second, l.Received(start, "a"))
	require.InDelta(t, 0.368, l.Received(start.Add(Window), "a").Seconds(), 0.001)
	l.Add(start.Add(Window), "vm", "b", time.Second)
	require.InDelta(t, 0.368, l.Received(start.Add(Window), "a").Seconds(), 0.001)
	require.InDelta(t, 1.368, l.Total(start.Add(Window)).Seconds(), 0.001)
	require.Equal(t, 3, l.Active([]string{"a", "c"}))
	later := start.Add(12 * Window)
	l.Add(later, "vm", "b", time.Second)
	require.Zero(t, l.Received(later, "a"))
	require.Equal(t, 1, l.Active(nil))
}

// TestWorkIsTakenBack checks that a request that did not run leaves nothing behind, whenever
// that is found out.
func TestWorkIsTakenBack(t *testing.T) {
	l := New()
	l.Add(start, "vm", "a", time.Second)
	l.Add(start.Add(time.Second), "vm", "a", time.Second)
	l.Add(start, "vm", "a", -time.Second)
	require.InDelta(t, 1, l.Received(start.Add(time.Second), "a").Seconds(), 1e-6)
	l.Add(start, "vm", "a", -time.Hour)
	require.Zero(t, l.Received(start, "a"))
	require.Zero(t, l.Total(start))
}

// TestSummaryCountsOnce guards against work that counts twice where a VM sends its summary
// again, or to a holder that has counted some of it itself.
func TestSummaryCountsOnce(t *testing.T) {
	owner, holder := New(), New()
	for i := range 100 {
		owner.Add(start, "vm", fmt.Sprintf("o%03d", i), time.Duration(i+1)*time.Millisecond)
	}
	owner.Add(start, "other", "o000", time.Second)
	list := owner.Summary(start, "vm")
	require.Len(t, list, MaxSummary)
	require.Equal(t, Share{"o099", 100 * time.Millisecond}, list[0])
	holder.Add(start, "vm", "o099", 50*time.Millisecond)
	holder.Add(start, "second", "o099", 7*time.Millisecond)
	for range 2 {
		holder.Merge(start, "vm", list)
	}
	require.InDelta(t, 0.107, holder.Received(start, "o099").Seconds(), 1e-6)
	holder.Merge(start, "vm", []Share{{"o099", time.Millisecond}})
	require.InDelta(t, 0.107, holder.Received(start, "o099").Seconds(), 1e-6, "a VM that has restarted knows less")
}

// TestLedgerIsBounded guards against memory that grows with the number of organisations, and
// checks that the large ones stay.
func TestLedgerIsBounded(t *testing.T) {
	l := New()
	l.Add(start, "vm", "large", time.Minute)
	for i := range 1_000_000 {
		l.Add(start.Add(time.Duration(i)*time.Microsecond), "vm", fmt.Sprint(i), 2*time.Millisecond)
	}
	require.LessOrEqual(t, len(l.accounts), MaxAccounts)
	require.LessOrEqual(t, len(l.totals), MaxAccounts)
	require.Greater(t, l.Received(start.Add(time.Second), "large"), 40*time.Second)
}
