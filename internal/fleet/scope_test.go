package fleet

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// The size of the plan: entry VMs and endpoints of all regions, and of one.
const (
	plannedVMs       = 450
	plannedEndpoints = 5700
	regions          = 6
)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint(prefix, i)
	}
	return list
}

// TestSubsetsCoverAllEndpointsEvenly checks the whole plan and one region: every
// endpoint is watched by the same number of VMs, and no VM watches far more or
// fewer than the others.
func TestSubsetsCoverAllEndpointsEvenly(t *testing.T) {
	for _, size := range []struct{ vms, endpoints int }{
		{plannedVMs, plannedEndpoints},
		{plannedVMs / regions, plannedEndpoints / regions},
		{3, 200},
	} {
		vms, endpoints := names("vm-", size.vms), names("endpoint-", size.endpoints)
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

// TestOnlyItsShareMovesWithAVM removes a VM and looks at what the others see.
func TestOnlyItsShareMovesWithAVM(t *testing.T) {
	vms, endpoints := names("vm-", 75), names("endpoint-", 950)
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

func TestFewEndpointsAreAllInView(t *testing.T) {
	endpoints := names("endpoint-", 20)
	require.Equal(t, endpoints, Subset("vm-0", names("vm-", 4), endpoints, scopeSize))
	require.Equal(t, endpoints, Subset("vm-0", nil, endpoints, 5))
}

// TestPollsKeepToTheirBound works out the polls a second for any number of
// endpoints in view.
func TestPollsKeepToTheirBound(t *testing.T) {
	for n := 1; n <= scopeSize; n++ {
		perSecond := float64(n) / pollInterval(n).Seconds()
		require.LessOrEqual(t, perSecond, max(pollsPerSecond, float64(scopeSize)/maxPollInterval.Seconds())+1e-9, "%d", n)
	}
}
