package fleet

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelsaddle.example/cornelsaddle/internal/confsync"
)

// scopeSize is the number of endpoints of a service that a VM keeps in view,
// on average, where there are more.
const scopeSize = 64

// scope is this VM's part of each service's endpoints. Every endpoint is
// watched by the same number of VMs, those that rank highest for it by
// rendezvous hashing, so that all are covered evenly and a VM that comes or
// goes moves only its own share.
type scope struct {
	self string
	vms  []string

	version int64
	lists   map[string][]string
}

// SetMembers tells the fleet which VMs share the endpoints, this one included.
// Without members, or without itself among them, a VM has all in view.
func (f *Fleet) SetMembers(self string, vms []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(vms, self) {
		vms = nil
	}
	sorted := slices.Sorted(slices.Values(vms))
	if f.scope.self == self && slices.Equal(f.scope.vms, sorted) {
		return
	}
	f.scope = &scope{self: self, vms: sorted}
	f.forget(sorted)
}

// forget drops what was heard from VMs that are gone. The lock is held.
func (f *Fleet) forget(live []string) {
	gone := func(vm string) bool {
		_, found := slices.BinarySearch(live, vm)
		return !found
	}
	for vm := range f.heardAt {
		if gone(vm) {
			delete(f.heardAt, vm)
		}
	}
	for _, st := range f.states {
		maps.DeleteFunc(st.peers, func(vm string, _ DigestEntry) bool { return gone(vm) })
	}
}

// of lists the service's endpoints in view, in the order of their names.
func (s *scope) of(snap *confsync.Snapshot, service string) []string {
	if s.lists == nil || s.version != snap.Version {
		s.rebuild(snap)
	}
	return s.lists[service]
}

func (s *scope) rebuild(snap *confsync.Snapshot) {
	s.version = snap.Version
	s.lists = make(map[string][]string)
	for id, e := range snap.Endpoints {
		s.lists[e.Service] = append(s.lists[e.Service], id)
	}
	for name, ids := range s.lists {
		slices.Sort(ids)
		s.lists[name] = Subset(s.self, s.vms, ids, scopeSize)
	}
}

// Subset returns the endpoints that the VM watches, about size of them: all,
// where there are no more than that or no VMs are known.
func Subset(self string, vms, endpoints []string, size int) []string {
	if len(vms) == 0 || len(endpoints) <= size {
		return endpoints
	}
	watchers := max(1, (len(vms)*size+len(endpoints)/2)/len(endpoints))
	if watchers >= len(vms) {
		return endpoints
	}
	hashes := make([]uint64, len(vms))
	for i, vm := range vms {
		hashes[i] = xxhash.Sum64String(vm)
	}
	own := xxhash.Sum64String(self)
	var subset []string
	for _, e := range endpoints {
		if watches(own, hashes, xxhash.Sum64String(e), watchers) {
			subset = append(subset, e)
		}
	}
	return subset
}

// watches reports whether the VM is among the highest-ranked for the endpoint.
func watches(own uint64, vms []uint64, endpoint uint64, watchers int) bool {
	rank := weight(own, endpoint)
	above := 0
	for _, vm := range vms {
		if weight(vm, endpoint) > rank {
			above++
		}
		if above >= watchers {
			return false
		}
	}
	return true
}

// weight ranks a VM for an endpoint, by their hashes; the constants are those
// of the SplitMix64 finaliser.
func weight(vm, endpoint uint64) uint64 {
	x := vm ^ endpoint
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
