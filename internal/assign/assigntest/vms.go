// Package assigntest has what tests of programs that assign VMs share.
package assigntest

import "cornelsaddle.example/cornelsaddle/internal/assign"

// VMs has something of each VM by its name, which is its address as well. It implements
// assign.Members.
type VMs[T any] map[string]T

// Members implements assign.Members.
func (v VMs[T]) Members() []assign.Member {
	list := make([]assign.Member, 0, len(v))
	for name := range v {
		list = append(list, assign.Member{VM: name, Address: name})
	}
	return list
}
