package lease

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// candidates is how many VMs ask for one lease; the others don't watch it.
const candidates = 3

// Rank is the VM's place among the candidates for the lease, by rendezvous
// hashing over the members, or NotCandidate. Where the members are not known
// every VM is the first candidate; a VM that the members lack is the last one,
// as the list lags.
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
		if m == vm && i < candidates {
			return i
		}
		if m == vm {
			return NotCandidate
		}
	}
	return candidates - 1
}

func score(name, vm string) uint64 { return xxhash.Sum64String(name + "/" + vm) }
