package fleet

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornelsaddle.example/cornelsaddle/internal/confsync"
)

// scopeSize is the average number of endpoints in a VM's scope for a service that has
// more endpoints than that.
const scopeSize = 64

// scope is the subset of each service's endpoints that this VM polls and places prompts
// on. An endpoint is in the scope of the VMs that rank highest for it by rendezvous
// hashing, the same number for every endpoint of a service. So all endpoints are
// covered evenly, and a VM that joins or leaves moves only its own share.
type scope struct {
	self string
	vms  []string

	version   int64
	byService map[string][]string
}

// SetMembers sets the VMs that divide the endpoints among them, including this one
// (self). If vms is empty or does not include self, all endpoints are in scope.
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
	f.removeDepartedPeers(sorted)
}

// removeDepartedPeers deletes the digest state of VMs that are not live. live is
// sorted. The caller holds f.mu.
func (f *Fleet) removeDepartedPeers(live []string) {
	gone := func(vm string) bool {
		_, found := slices.BinarySearch(live, vm)
		return !found
	}
	for vm := range f.lastDigestMs {
		if gone(vm) {
			delete(f.lastDigestMs, vm)
			delete(f.peerStartedMs, vm)
		}
	}
	for _, st := range f.states {
		maps.DeleteFunc(st.peerTotals, func(vm string, _ DigestEntry) bool { return gone(vm) })
	}
}

// endpoints returns the IDs of the service's endpoints in scope, in sorted order.
func (s *scope) endpoints(snap *confsync.Snapshot, service string) []string {
	if s.byService == nil || s.version != snap.Version {
		s.rebuild(snap)
	}
	return s.byService[service]
}

func (s *scope) rebuild(snap *confsync.Snapshot) {
	s.version = snap.Version
	s.byService = make(map[string][]string)
	for id, e := range snap.Endpoints {
		s.byService[e.Service] = append(s.byService[e.Service], id)
	}
	for name, ids := range s.byService {
		slices.Sort(ids)
		s.byService[name] = Subset(s.self, s.vms, ids, scopeSize)
	}
}

// Subset returns the endpoints in the scope of the VM self, size of them on average. It
// returns all endpoints when there are at most size of them, when vms is empty, or when
// each endpoint needs all VMs as watchers.
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
		if isWatcher(own, hashes, xxhash.Sum64String(e), watchers) {
			subset = append(subset, e)
		}
	}
	return subset
}

// isWatcher reports whether the VM is among the highest-ranked watchers of the endpoint,
// given the hashes of the VM, of all VMs and of the endpoint.
func isWatcher(own uint64, vms []uint64, endpoint uint64, watchers int) bool {
	rank := rendezvousWeight(own, endpoint)
	above := 0
	for _, vm := range vms {
		if rendezvousWeight(vm, endpoint) > rank {
			above++
		}
		if above >= watchers {
			return false
		}
	}
	return true
}

// rendezvousWeight returns the rank of a VM for an endpoint, from their hashes. The
// constants are those of the SplitMix64 finaliser.
func rendezvousWeight(vm, endpoint uint64) uint64 {
	x := vm ^ endpoint
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
