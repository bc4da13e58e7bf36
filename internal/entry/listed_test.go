package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/retry"
	"cornelsaddle.example/cornelsaddle/internal/gateway/config"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// TestVMsThatStartTogetherAgree starts the VMs of a large deployment, each of which has
// read the list of the VMs and found only a few of the others: all select the same few
// that list a topic from the store.
func TestVMsThatStartTogetherAgree(t *testing.T) {
	const domains, vmsEach = 12, 450 / 12
	all := deployment(domains, vmsEach)
	vms := make([]liveVM, 0, len(all))
	for name, w := range all {
		vms = append(vms, liveVM{name, name, w.domain})
	}
	listing := 0
	for name, w := range all {
		found := vms[:3]
		known := map[string]bool{name: true}
		for _, m := range found {
			known[m.name] = true
		}
		listed := newListedVMs()
		starting := newWatchers(name, w.domain, listed)
		starting.set([]liveVM{{name, name, w.domain}}, listed.read())
		require.True(t, listed.set(vms))
		_, ok := starting.Spread()
		require.False(t, ok, "the listed VMs are not among the live ones yet")
		starting.set(append(append([]liveVM{{name, name, w.domain}}, found...), listed.trusted(known)...), listed.read())
		spread, ok := starting.Spread()
		require.True(t, ok)
		require.InDelta(t, (domains*vmsEach-listsAtOnce)*listSpreadPerVM, spread, float64(listSpreadPerVM))
		if starting.Watches(provider.Endpoints) {
			listing++
		}
	}
	require.Equal(t, watcherCount, listing)
}

// TestListedVMsAreTrustedForAWhile checks that only VMs of which nothing is known are taken
// for live ones by the list, and none some time after the start.
func TestListedVMsAreTrustedForAWhile(t *testing.T) {
	l := newListedVMs()
	vms := []liveVM{{"vm-0", "vm-0", "d"}, {"vm-1", "vm-1", "d"}}
	require.True(t, l.set(vms))
	require.Equal(t, vms[1:], l.trusted(map[string]bool{"vm-0": true}))
	l.started = time.Now().Add(-listTrust - time.Second)
	require.Empty(t, l.trusted(nil))
	require.False(t, l.set(vms))
}

// TestListIsNotWaitedForForever checks that a VM that can't read the list goes on.
func TestListIsNotWaitedForForever(t *testing.T) {
	l := newListedVMs()
	require.False(t, l.overdue())
	l.started = time.Now().Add(-listWait - time.Millisecond)
	require.True(t, l.overdue())
}

// TestLastVMKeepsItsShareOfRetries guards against streams that are not resumed and requests that are
// not sent again by a VM that stops, or is left alone: if it had read the list of the VMs late, or
// not at all, it counted as just started once it knew of no other VM, with next to no retries.
func TestLastVMKeepsItsShareOfRetries(t *testing.T) {
	const allowance = 100
	newVM := func() *VM {
		listed := newListedVMs()
		listed.started = time.Now().Add(-time.Minute)
		v := &VM{listed: listed, started: listed.started, joined: make(chan struct{})}
		v.reloadable.Store(&reloadableSettings{retries: config.Retries{Bounds: retry.Bounds{Ratio: 0.2, Allowance: allowance}}})
		return v
	}
	starting := retry.Bounds{Ratio: 0.2, Allowance: allowance}.Share(1, 0)
	usual := retry.Bounds{Ratio: 0.2, Allowance: allowance}.Share(2, time.Minute)

	v := newVM()
	require.Equal(t, starting, v.retryShare(), "it may be one of many")
	require.False(t, v.listed.set([]liveVM{{"a", "a", "z"}}), "the list comes late")
	require.Equal(t, usual, v.retryShare())

	v = newVM()
	_, known := v.population.observe(2, false)
	require.True(t, known)
	require.Equal(t, usual, v.retryShare(), "the other VM is gone, and this one has not just started")
}
