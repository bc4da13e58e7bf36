package member

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// listReadsPerSecond bounds the reads of the platform's list by all VMs
	// together.
	listReadsPerSecond = 0.5
	// minListInterval and maxListInterval bound the time between two reads.
	minListInterval = 2 * time.Second
	maxListInterval = 10 * time.Minute
	// greetFanOut is the number of listed VMs that are asked at once, beside the
	// probes.
	greetFanOut = 8
)

// followList reads the platform's list, which lags: it only says whom to ask.
func (s *Service) followList() {
	for {
		if list, err := s.list.VMs(); err == nil {
			s.do(func(time.Time) []membership.Action {
				for _, vm := range list.VMs {
					if vm.Peer == "" {
						continue
					}
					s.node.AddCandidate(vm.ID, vm.Peer, vm.FailureDomain)
				}
				return s.node.ProbeCandidates(greetFanOut)
			})
			for _, vm := range list.VMs {
				if vm.State == wire.VMLeaving {
					s.observer.ListedLeaving(vm.ID)
				}
			}
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(s.listInterval()):
		}
	}
}

// listInterval grows with the number of VMs, so that their reads together stay
// under the bound.
func (s *Service) listInterval() time.Duration {
	mean := float64(s.Count()+1) / listReadsPerSecond * float64(time.Second)
	spread := time.Duration(mean * (0.5 + rand.Float64()))
	return min(max(spread, minListInterval), maxListInterval)
}
