package fleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Planned size of the deployment: entry VMs and endpoints of all regions together, and
// the number of regions.
const (
	plannedVMs       = 450
	plannedEndpoints = 5700
	regions          = 6
)

func numberedNames(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint(prefix, i)
	}
	return list
}

// TestSubsetsCoverAllEndpointsEvenly checks, for the planned deployment, one of its
// regions and a small region, that every endpoint is in the scope of the same number of
// VMs and that no VM has far more or fewer endpoints in scope than the others.
func TestSubsetsCoverAllEndpointsEvenly(t *testing.T) {
	for _, size := range []struct{ vms, endpoints int }{
		{plannedVMs, plannedEndpoints},
		{plannedVMs / regions, plannedEndpoints / regions},
		{3, 200},
	} {
		vms, endpoints := numberedNames("vm-", size.vms), numberedNames("endpoint-", size.endpoints)
		watchers := make(map[string]int)
		least, most := math.MaxInt, 0
		for _, vm := range vms {
			subset := Subset(vm, vms, endpoints, scopeSize)
			for _, e := range subset {
				watchers[e]++
			}
			least, most = min(least, len(subset)), max(most, len(subset))
		}
		require.Len(t, watchers, size.endpoints)
		for _, n := range watchers {
			require.Equal(t, watchers[endpoints[0]], n)
		}
		require.Greater(t, least, scopeSize/3, "%v", size)
		require.Less(t, most, 2*scopeSize, "%v", size)
	}
}

// TestVMRemovalMovesOnlyItsShare removes a VM and checks that the subsets of the other
// VMs gain few endpoints.
func TestVMRemovalMovesOnlyItsShare(t *testing.T) {
	vms, endpoints := numberedNames("vm-", 75), numberedNames("endpoint-", 950)
	moved, total := 0, 0
	for _, vm := range vms[:74] {
		before := make(map[string]bool)
		for _, e := range Subset(vm, vms, endpoints, scopeSize) {
			before[e] = true
		}
		total += len(before)
		for _, e := range Subset(vm, vms[:74], endpoints, scopeSize) {
			if !before[e] {
				moved++
			}
		}
	}
	require.Less(t, moved, total/20)
}

func TestSubsetOfFewEndpointsIsComplete(t *testing.T) {
	endpoints := numberedNames("endpoint-", 20)
	require.Equal(t, endpoints, Subset("vm-0", numberedNames("vm-", 4), endpoints, scopeSize))
	require.Equal(t, endpoints, Subset("vm-0", nil, endpoints, 5))
}

// TestPollRateIsBounded asks for all polls that are due at each tick, with more endpoints
// in scope than the intervals alone can bound, as with several services.
func TestPollRateIsBounded(t *testing.T) {
	f, _ := newTestFleet(t)
	const seconds = 60
	now, total := time.Now(), 0
	for range seconds * int(time.Second/pollTick) {
		now = now.Add(pollTick)
		total += f.allowPolls(now, 4*scopeSize)
	}
	require.LessOrEqual(t, total, pollsPerSecond*seconds+maxConcurrentPolls)
	require.GreaterOrEqual(t, total, pollsPerSecond*(seconds-1), "the rate is used")
	for n := 1; n <= scopeSize; n++ {
		require.LessOrEqual(t, pollInterval(n), maxPollInterval)
	}
}
