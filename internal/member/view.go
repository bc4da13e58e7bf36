package member

import (
	"context"
	"time"

	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// Address returns the address where peers reach this VM.
func (s *Service) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Self().Address
}

// Live returns the VMs that are neither dead nor leaving, sorted by ID. It includes
// this VM until it leaves.
func (s *Service) Live() []membership.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []membership.Record
	for _, r := range s.node.Records() {
		if r.Status != membership.StatusDead && !r.Leaving {
			live = append(live, r)
		}
	}
	return live
}

// Records returns the records of all VMs, including this one and dead ones, sorted
// by ID.
func (s *Service) Records() []membership.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Records()
}

// FailureDomain returns the failure domain of a VM; empty if it is not known.
func (s *Service) FailureDomain(vm string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, _ := s.node.Record(vm) // the zero record if there is none
	return r.FailureDomain
}

// Views returns the records of the other VMs with their last reports.
func (s *Service) Views() []membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Views()
}

// Count returns the number of other VMs that are not dead.
func (s *Service) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, v := range s.node.Views() {
		if v.Status != membership.StatusDead {
			count++
		}
	}
	return count
}

// Pick returns the peer addresses of up to n random VMs that are alive and not
// leaving.
func (s *Service) Pick(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.node.Sample(n)
	addresses := make([]string, 0, len(sample))
	for _, r := range sample {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// Call calls an RPC method of the VM at the address.
func (s *Service) Call(ctx context.Context, address string, method peer.Method, params, result any) error {
	_, err := s.caller.Call(ctx, address, method, params, result)
	return err
}

// MarkEndpoint marks an endpoint as leaving and notifies the other VMs.
func (s *Service) MarkEndpoint(m membership.Mark) {
	s.updateNode(func(time.Time) []membership.Action {
		s.node.MarkEndpoint(m)
		return nil
	})
}

// SetNote sets a note and notifies the other VMs. It returns false for one that VMs do
// not accept.
func (s *Service) SetNote(note membership.Note) bool {
	if !note.Valid() {
		return false
	}
	s.updateNode(func(time.Time) []membership.Action {
		s.node.SetNote(note)
		return nil
	})
	return true
}

// RetainNotes drops the notes for which keep returns false.
func (s *Service) RetainNotes(keep func(membership.Note) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.RetainNotes(keep)
}

// RetainMarks drops the marks for which keep returns false.
func (s *Service) RetainMarks(keep func(membership.Mark) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.RetainMarks(keep)
}

// Leave marks this VM as leaving and notifies the other VMs.
func (s *Service) Leave() {
	s.updateNode(func(time.Time) []membership.Action {
		s.node.Leave()
		return s.node.Gossip(urgentFanOut)
	})
}
