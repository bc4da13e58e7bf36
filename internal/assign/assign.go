// Package assign chooses the VM that is responsible for something, by rendezvous hashing over
// the live VMs.
package assign

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// Member is a live VM.
type Member struct {
	VM      string
	Address string
}

// Members lists the live VMs, this one included.
type Members interface {
	Members() []Member
}

// Peers makes calls to the other VMs.
type Peers interface {
	Call(ctx context.Context, address string, method peer.Method, params, result any) (peer.Identity, error)
}

// Responsible returns the VM that is responsible for the key, other than the one named by
// except. It returns false if there is none.
func Responsible(members []Member, key, except string) (Member, bool) {
	names := make([]string, 0, len(members))
	byName := make(map[string]Member, len(members))
	for _, m := range members {
		if m.VM != except {
			names = append(names, m.VM)
			byName[m.VM] = m
		}
	}
	if len(names) == 0 {
		return Member{}, false
	}
	return byName[rendezvous.New(names, xxhash.Sum64String).Lookup(key)], true
}

// Ask calls the VM that is responsible for the key, and the next one if that fails. It returns
// false if neither has answered, or the VM self is the one to act.
func Ask(members Members, self, key string, call func(Member) error) bool {
	failed := ""
	for range 2 {
		m, found := Responsible(members.Members(), key, failed)
		if !found || m.VM == self {
			return false
		}
		if call(m) == nil {
			return true
		}
		failed = m.VM
	}
	return false
}
