package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func path(address, domain string) Path { return Path{Address: address, Domain: domain} }

// TestLostPathsOfADomainMakeTheOthersLost checks that two lost paths of a failure domain make
// the others of the domain count as lost, and those of other domains only if these fail too.
func TestLostPathsOfADomainMakeTheOthersLost(t *testing.T) {
	tr := New()
	require.Equal(t, []Change{{Scope: OnePath, Name: "1", Lost: true, Evidence: []string{"1"}}}, tr.Failed(start, path("1", "x")))
	require.True(t, tr.Lost(path("1", "x")))
	require.False(t, tr.Lost(path("2", "x")))
	changes := tr.Failed(start, path("2", "x"))
	require.Contains(t, changes, Change{Scope: DomainPaths, Name: "x", Lost: true, Evidence: []string{"1", "2"}})
	require.True(t, tr.Lost(path("3", "x")))
	require.True(t, tr.CutOff(), "nothing was reached since")
	changes = tr.Reached(start.Add(time.Second), path("9", "y"))
	require.Equal(t, []Change{{Scope: AllPaths, Evidence: []string{"9"}, For: time.Second}}, changes)
	require.False(t, tr.Lost(path("8", "y")))
	require.True(t, tr.Lost(path("3", "x")), "the domain stays lost")
	tr.Reached(start.Add(2*time.Second), path("3", "x"))
	require.False(t, tr.Lost(path("4", "x")))
	require.True(t, tr.Lost(path("1", "x")), "its own path is not known to work again")
	tr.Reached(start.Add(3*time.Second), path("1", "x"))
	tr.Reached(start.Add(3*time.Second), path("2", "x"))
	require.True(t, tr.Quiet())
}

// TestEndpointsThatNoVMReachesAreNotLostPaths checks that endpoints that are down for all VMs
// make this VM ask others at once, but are not excused as lost paths.
func TestEndpointsThatNoVMReachesAreNotLostPaths(t *testing.T) {
	tr := New()
	tr.Unreached(start, path("1", "x"))
	require.True(t, tr.Suspect(start, path("1", "x")))
	require.False(t, tr.Suspect(start.Add(downFor), path("1", "x")))
	tr.Unreached(start, path("2", "x"))
	require.True(t, tr.Suspect(start, path("3", "x")))
	require.False(t, tr.Lost(path("1", "x")))
	require.False(t, tr.Lost(path("3", "x")))
}

// TestLostPathIsForgotten checks that the path to an endpoint that is gone does not count for
// ever.
func TestLostPathIsForgotten(t *testing.T) {
	tr := New()
	tr.Failed(start, path("1", "x"))
	tr.Failed(start.Add(forgetAfter), path("2", "y"))
	require.False(t, tr.Lost(path("1", "x")))
	require.Equal(t, 1, tr.LostPaths(start.Add(forgetAfter)))
	require.Zero(t, tr.LostPaths(start.Add(2*forgetAfter)))
}

// TestTrackerAgainstAllEvents compares the tracker with one that looks at all events each time.
func TestTrackerAgainstAllEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type record struct {
			path            Path
			reached, failed bool
		}
		tr := New()
		const maxEvents = 40
		history := make([]record, 0, maxEvents)
		paths := []Path{path("1", "x"), path("2", "x"), path("3", "y"), path("4", "y"), path("5", "y")}
		for i := range rapid.IntRange(1, maxEvents).Draw(t, "events") {
			p := rapid.SampledFrom(paths).Draw(t, "path")
			now := start.Add(time.Duration(i) * time.Millisecond)
			how := rapid.SampledFrom([]string{"reached", "failed", "unreached"}).Draw(t, "how")
			switch how {
			case "reached":
				tr.Reached(now, p)
			case "failed":
				tr.Failed(now, p)
			case "unreached":
				tr.Unreached(now, p)
			}
			history = append(history, record{p, how == "reached", how == "failed"})
			for _, p := range paths {
				in := func(group func(Path) bool) bool {
					own, lost := make(map[string]bool), make(map[string]bool)
					for _, r := range history {
						a := r.path.Address
						if r.reached && group(r.path) {
							clear(lost)
						}
						if r.failed && !own[a] && group(r.path) {
							lost[a] = true
						}
						own[a] = r.failed || own[a] && !r.reached
					}
					return own[p.Address] || len(lost) >= minLostForGroup
				}
				want := in(func(Path) bool { return true }) || in(func(o Path) bool { return o.Domain == p.Domain })
				if got := tr.Lost(p); got != want {
					t.Fatalf("path %v: lost %v, want %v", p, got, want)
				}
			}
		}
	})
}

// TestPartOfThePathsLostIsNoLossOfAll checks that a VM that reaches some endpoints of a failure
// domain and not others does not take the domain for lost each time that it tries these again.
func TestPartOfThePathsLostIsNoLossOfAll(t *testing.T) {
	tr := New()
	tr.Failed(start, path("1", "x"))
	tr.Failed(start, path("2", "x"))
	tr.Reached(start, path("3", "x"))
	for range 5 {
		require.Empty(t, tr.Failed(start, path("1", "x")))
		require.Empty(t, tr.Failed(start, path("2", "x")))
		require.False(t, tr.Lost(path("3", "x")))
	}
	require.True(t, tr.Lost(path("1", "x")))
}

func names(relays []Relay) []string {
	list := make([]string, 0, len(relays))
	for _, r := range relays {
		list = append(list, r.VM)
	}
	return list
}

// TestRelaysAreChosenNearAndSound checks the order in which VMs are asked: those of either
// end's failure domain first, those that are cut off or failed lately last.
func TestRelaysAreChosenNearAndSound(t *testing.T) {
	r := NewRelays("x")
	r.Set([]Relay{{VM: "far", Domain: "z"}, {VM: "near", Domain: "x"}, {VM: "there", Domain: "y"}})
	constant := func() float64 { return 0.5 }
	require.ElementsMatch(t, []string{"near", "there"}, names(r.Choose(start, "y", constant))[:2])
	r.Failed(start, "near")
	require.Equal(t, []string{"there", "far", "near"}, names(r.Choose(start, "y", constant)))
	r.SetCutOff("there", true)
	require.Equal(t, "far", r.Choose(start, "y", constant)[0].VM)
	r.SetCutOff("there", false)
	require.Equal(t, "near", r.Choose(start.Add(minRelayBackoff), "x", constant)[0].VM, "the back-off has ended")
	r.Set([]Relay{{VM: "near", Domain: "x"}})
	require.Equal(t, []string{"near"}, names(r.Choose(start, "x", constant)))
	r.Set(nil)
	require.Empty(t, r.Choose(start, "x", constant))
}

// TestRelayBackoffIsBounded checks that a VM that fails again and again is asked last for a
// bounded time, and that concurrent failures count once.
func TestRelayBackoffIsBounded(t *testing.T) {
	r := NewRelays("x")
	r.Set([]Relay{{VM: "a"}, {VM: "b"}})
	now := start
	for range 20 {
		r.Failed(now, "a")
		r.Failed(now, "a")
		now = now.Add(maxRelayBackoff)
		require.False(t, now.Before(r.states["a"].until))
	}
	r.Succeeded("a")
	r.Failed(now, "a")
	require.Equal(t, now.Add(minRelayBackoff), r.states["a"].until)
}
