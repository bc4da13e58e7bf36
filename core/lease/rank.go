package lease

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// maxCandidates is the number of VMs that compete for a lease. The others don't
// read its row.
const maxCandidates = 3

// Rank returns the VM's rank among the candidates for the lease, or NotCandidate.
// The candidates are chosen by rendezvous hashing over the members. If members is
// empty, every VM ranks first. A VM that is missing from members ranks last among
// the candidates, because the list may lag behind.
func Rank(name, vm string, members []string) int {
	if len(members) == 0 {
		return 0
	}
	scored := append([]string(nil), members...)
	sort.Slice(scored, func(i, j int) bool {
		a, b := score(name, scored[i]), score(name, scored[j])
		return a > b || a == b && scored[i] < scored[j]
	})
	for i, m := range scored {
		if m == vm && i < maxCandidates {
			return i
		}
		if m == vm {
			return NotCandidate
		}
	}
	return maxCandidates - 1
}

func score(name, vm string) uint64 { return xxhash.Sum64String(name + "/" + vm) }
