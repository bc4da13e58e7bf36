package member

import (
	"context"
	"time"

	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// Address is where this VM answers peers.
func (s *Service) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Self().Address
}

// Live lists the VMs that live and do not leave, in the order of their names;
// this VM is among them until it leaves.
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

// Records lists all VMs that are known, this one included.
func (s *Service) Records() []membership.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Records()
}

// Views lists what the other VMs said of themselves last.
func (s *Service) Views() []membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Views()
}

// Count is the number of the other VMs that live.
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

// Pick returns the peer addresses of up to n living VMs, at random.
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

// Call calls a method of the VM at the address.
func (s *Service) Call(ctx context.Context, address string, method peer.Method, params, result any) error {
	_, err := s.caller.Call(ctx, address, method, params, result)
	return err
}

// MarkEndpoint tells the other VMs that an endpoint leaves.
func (s *Service) MarkEndpoint(m membership.Mark) {
	s.do(func(time.Time) []membership.Action {
		s.node.MarkEndpoint(m)
		return nil
	})
}

// KeepMarks drops the marks of endpoints that are not wanted any more.
func (s *Service) KeepMarks(keep func(membership.Mark) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.RetainMarks(keep)
}

// Leave tells the other VMs that this one shuts down.
func (s *Service) Leave() {
	s.do(func(time.Time) []membership.Action {
		s.node.Leave()
		return s.node.Gossip(urgentFanOut)
	})
}
