package entry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/mirror"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// deployment returns the watchers of all VMs of a deployment with the given number of
// VMs in each failure domain, by the VMs' addresses, which are their names.
func deployment(domains, vmsEach int) map[string]*watchers {
	live := make([]liveVM, 0, domains*vmsEach)
	for i := range domains * vmsEach {
		name := fmt.Sprintf("vm-%d", i)
		live = append(live, liveVM{name, name, fmt.Sprintf("d%d", i%domains)})
	}
	all := make(map[string]*watchers, len(live))
	for _, m := range live {
		all[m.name] = newWatchers(m.name, m.domain, newListedVMs())
		all[m.name].set(live, true)
	}
	return all
}

// TestReadsOfALargeDeployment counts who reads a topic from whom with 450 VMs in 12
// failure domains: few reads leave a failure domain, and no VM is read by many.
func TestReadsOfALargeDeployment(t *testing.T) {
	const domains, vmsEach = 12, 450 / 12
	all := deployment(domains, vmsEach)
	for _, topic := range []provider.Topic{provider.Configuration, provider.Endpoints} {
		readers := make(map[string]int)
		left, relays := 0, 0
		for _, w := range all {
			if w.Watches(topic) {
				continue
			}
			if w.Relays(topic) {
				relays++
			}
			from := w.Peers(topic)[0]
			readers[from]++
			if all[from].domain != w.domain {
				left++
			}
		}
		require.LessOrEqual(t, relays, domains*relayCount)
		require.LessOrEqual(t, left, domains*relayCount)
		for vm, n := range readers {
			require.LessOrEqual(t, n, vmsEach, "%s of topic %s", vm, topic)
		}
	}
}

// TestReadsOfAFailingStore guards against an outage of the store in which the calls grow with the
// number of VMs: the watchers look out for its return as in a small deployment, the others seldom.
func TestReadsOfAFailingStore(t *testing.T) {
	perSecond := func(vmsEach int) (total float64) {
		for _, w := range deployment(3, vmsEach) {
			backoff := w.StoreBackoff(provider.Endpoints)
			if w.Watches(provider.Endpoints) {
				require.Equal(t, mirror.MaxBackoff, backoff)
			}
			require.LessOrEqual(t, backoff, maxStoreBackoff)
			total += 1 / backoff.Seconds()
		}
		return total
	}
	base := 1 / mirror.MaxBackoff.Seconds()
	require.InDelta(t, 15*base, perSecond(5), 0.01)
	require.LessOrEqual(t, perSecond(20), (backoffVMs+watcherCount)*base)
}

// TestWatchersAreNoRelays checks that no VM serves both the relays of all failure domains
// and the VMs of its own, and that each topic has all its watchers and relays.
func TestWatchersAreNoRelays(t *testing.T) {
	for vmsEach := minRelayedVMs; vmsEach < 40; vmsEach++ {
		all := deployment(4, vmsEach)
		for _, topic := range []provider.Topic{provider.Configuration, provider.Endpoints} {
			watching, relaying := 0, 0
			for _, w := range all {
				require.False(t, w.Watches(topic) && w.Relays(topic), "%s of %d", w.self, 4*vmsEach)
				if w.Watches(topic) {
					watching++
				}
				if w.Relays(topic) {
					relaying++
				}
			}
			require.Equal(t, watcherCount, watching)
			require.Equal(t, 4*relayCount, relaying)
		}
	}
}

// TestRelaysFollowWatchers checks that no VM prefers another one that would prefer it in
// turn, directly or through others: the reads of a topic lead to a watcher.
func TestRelaysFollowWatchers(t *testing.T) {
	all := deployment(4, 20)
	for _, w := range all {
		for range 10 {
			at, steps := w, 0
			for ; !at.Watches(provider.Endpoints); steps++ {
				at = all[at.Peers(provider.Endpoints)[0]]
			}
			require.LessOrEqual(t, steps, 2)
		}
	}
}

// TestSmallDomainsHaveNoRelays checks that the VMs of small failure domains follow the
// watchers.
func TestSmallDomainsHaveNoRelays(t *testing.T) {
	all := deployment(3, minRelayedVMs-1)
	for _, w := range all {
		require.False(t, w.Relays(provider.Configuration))
		if !w.Watches(provider.Configuration) {
			require.True(t, all[w.Peers(provider.Configuration)[0]].Watches(provider.Configuration))
		}
	}
}

// TestSourcesBeyondTheRelays checks that a VM that loses both relays goes on with the
// watchers, and then with VMs that are neither.
func TestSourcesBeyondTheRelays(t *testing.T) {
	all := deployment(2, minRelayedVMs)
	for _, w := range all {
		if w.Watches(provider.Endpoints) || w.Relays(provider.Endpoints) {
			continue
		}
		kinds := make([]string, 0, 2*watcherCount+relayCount)
		for _, vm := range w.Peers(provider.Endpoints) {
			switch other := all[vm]; {
			case other.Relays(provider.Endpoints) && other.domain == w.domain:
				kinds = append(kinds, "relay")
			case other.Watches(provider.Endpoints):
				kinds = append(kinds, "watcher")
			default:
				kinds = append(kinds, "other")
			}
		}
		order := strings.Join(kinds, " ")
		require.Regexp(t, `^(relay ?)+(watcher ?)*other other$`, order)
	}
}
