package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// minLostForGroup is the number of endpoints of a group whose paths must be lost, with
	// none reached since, before the paths to all others of the group are presumed lost.
	minLostForGroup = 2
	// downFor is how long an endpoint counts as down that no VM has reached.
	downFor = time.Second
	// forgetAfter is the time without news after which a lost path is forgotten, as its
	// endpoint may be gone.
	forgetAfter = 30 * time.Second
)

// Path is the path of this VM to an endpoint.
type Path struct {
	// Address is the endpoint's IP and port, and Domain its failure domain; empty if that is
	// not known.
	Address string
	Domain  string
}

// Scope tells which paths a Change is about.
type Scope string

// Scopes of a Change.
const (
	// OnePath is the path to one endpoint.
	OnePath Scope = "endpoint"
	// DomainPaths are the paths to the endpoints of a failure domain.
	DomainPaths Scope = "failure_domain"
	// AllPaths are the paths to all endpoints.
	AllPaths Scope = "all"
)

// Change is a change of what is known of paths.
type Change struct {
	Scope Scope
	// Name is the address of OnePath, or the name of the failure domain; empty for AllPaths.
	Name string
	// Lost is set if the paths are lost now, and not if they work again.
	Lost bool
	// Evidence are the addresses whose paths were found to be lost, or the one that was
	// reached again.
	Evidence []string
	// For is how long the paths had been lost; zero if Lost is set.
	For time.Duration
}

// lostPath is a path that is lost.
type lostPath struct {
	since, seen time.Time
	domain      string
}

// group is the state of the paths to a set of endpoints. Only the paths that began to fail after
// the last time that one of the set was reached count, so that a part of them that is lost does
// not count again and again.
type group struct {
	// failed has the addresses that were not reached, and is true for those that another VM
	// reached.
	failed map[string]bool
	since  time.Time
}

func newGroup() group { return group{failed: make(map[string]bool)} }

// suspect reports whether connections to endpoints of the group may well not open.
func (g *group) suspect() bool { return len(g.failed) >= minLostForGroup }

// lost reports whether the paths to all endpoints of the group are presumed lost.
func (g *group) lost() bool {
	n := 0
	for _, proven := range g.failed {
		if proven {
			n++
		}
	}
	return n >= minLostForGroup
}

// Tracker keeps the paths of one VM. It is not safe for concurrent use.
type Tracker struct {
	paths map[string]lostPath
	// down has the ends of the times for which endpoints count as down, by their addresses.
	down    map[string]time.Time
	domains map[string]*group
	all     group
}

// New returns a Tracker to which all paths work.
func New() *Tracker {
	return &Tracker{paths: make(map[string]lostPath), down: make(map[string]time.Time), domains: make(map[string]*group), all: newGroup()}
}

// Lost reports whether the path is lost, or presumed lost because the paths to other
// endpoints of its failure domain, or to endpoints of any, are and none works.
func (t *Tracker) Lost(p Path) bool {
	if _, lost := t.paths[p.Address]; lost || t.all.lost() {
		return true
	}
	g := t.domains[p.Domain]
	return g != nil && g.lost()
}

// Suspect reports whether a connection on the path may well not open: it is lost, or no VM has
// reached the endpoint lately, or this VM none of its failure domain or of all.
func (t *Tracker) Suspect(now time.Time, p Path) bool {
	if t.Lost(p) || t.Down(now, p) || t.all.suspect() {
		return true
	}
	g := t.domains[p.Domain]
	return g != nil && g.suspect()
}

// Down reports whether no VM has reached the endpoint lately.
func (t *Tracker) Down(now time.Time, p Path) bool { return now.Before(t.down[p.Address]) }

// Quiet reports whether nothing is known against any path.
func (t *Tracker) Quiet() bool {
	return len(t.paths) == 0 && len(t.down) == 0 && len(t.domains) == 0 && len(t.all.failed) == 0
}

// CutOff reports whether this VM reaches no endpoint, as far as it knows.
func (t *Tracker) CutOff() bool { return t.all.lost() }

// LostPaths returns the number of paths that are lost, without those presumed lost.
func (t *Tracker) LostPaths(now time.Time) int {
	t.forget(now)
	return len(t.paths)
}

// Reached records that the endpoint was reached: a connection was opened, or bytes arrived. It
// returns what changed.
func (t *Tracker) Reached(now time.Time, p Path) []Change {
	if t.Quiet() {
		return nil
	}
	delete(t.down, p.Address)
	var changes []Change
	if l, lost := t.paths[p.Address]; lost {
		delete(t.paths, p.Address)
		changes = append(changes, Change{Scope: OnePath, Name: p.Address, Evidence: []string{p.Address}, For: now.Sub(l.since)})
	}
	if g := t.domains[p.Domain]; g != nil {
		delete(t.domains, p.Domain)
		if g.lost() {
			changes = append(changes, Change{Scope: DomainPaths, Name: p.Domain, Evidence: []string{p.Address}, For: now.Sub(g.since)})
		}
	}
	if t.all.lost() {
		changes = append(changes, Change{Scope: AllPaths, Evidence: []string{p.Address}, For: now.Sub(t.all.since)})
	}
	clear(t.all.failed)
	return changes
}

// Failed records that this VM did not reach the endpoint, while another VM did. It returns what
// changed.
func (t *Tracker) Failed(now time.Time, p Path) []Change {
	t.forget(now)
	var changes []Change
	l, known := t.paths[p.Address]
	if !known {
		l = lostPath{since: now, domain: p.Domain}
		changes = append(changes, Change{Scope: OnePath, Name: p.Address, Lost: true, Evidence: []string{p.Address}})
	}
	l.seen = now
	t.paths[p.Address] = l
	if known {
		return nil
	}
	return append(changes, t.addToGroups(now, p, true)...)
}

// Unreached records that neither this VM nor another one reached the endpoint. It returns what
// changed.
func (t *Tracker) Unreached(now time.Time, p Path) []Change {
	t.forget(now)
	_, known := t.down[p.Address]
	t.down[p.Address] = now.Add(downFor)
	if known {
		return nil
	}
	return t.addToGroups(now, p, false)
}

// addToGroups adds a path that does not work to its groups; proven is set if another VM reached
// the endpoint.
func (t *Tracker) addToGroups(now time.Time, p Path, proven bool) []Change {
	var changes []Change
	if p.Domain != "" {
		g := t.domains[p.Domain]
		if g == nil {
			added := newGroup()
			g = &added
			t.domains[p.Domain] = g
		}
		if g.add(now, p.Address, proven) {
			changes = append(changes, Change{Scope: DomainPaths, Name: p.Domain, Lost: true, Evidence: g.evidence()})
		}
	}
	if t.all.add(now, p.Address, proven) {
		changes = append(changes, Change{Scope: AllPaths, Lost: true, Evidence: t.all.evidence()})
	}
	return changes
}

// add adds a path that does not work and reports whether the paths of the group are presumed
// lost from now on.
func (g *group) add(now time.Time, address string, proven bool) bool {
	was := g.lost()
	if len(g.failed) == 0 {
		g.since = now
	}
	g.failed[address] = g.failed[address] || proven
	return !was && g.lost()
}

// evidence returns the paths of the group that do not work.
func (g *group) evidence() []string { return slices.Sorted(maps.Keys(g.failed)) }

// forget drops the lost paths without news for forgetAfter, and the endpoints that no longer
// count as down.
func (t *Tracker) forget(now time.Time) {
	for address, until := range t.down {
		if now.After(until) {
			delete(t.down, address)
		}
	}
	for address, l := range t.paths {
		if now.Sub(l.seen) < forgetAfter {
			continue
		}
		delete(t.paths, address)
		delete(t.all.failed, address)
		if g := t.domains[l.domain]; g != nil {
			delete(g.failed, address)
		}
	}
}
