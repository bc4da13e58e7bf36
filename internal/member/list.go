package member

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// listReadsPerSecond is the target rate at which all VMs together read the
	// platform's list.
	listReadsPerSecond = 0.5
	// minListInterval and maxListInterval bound the time between two reads
	// by one VM.
	minListInterval = 2 * time.Second
	maxListInterval = 10 * time.Minute
	// candidateProbeFanOut is the number of newly listed VMs that are probed after
	// each read, in addition to the regular probes.
	candidateProbeFanOut = 8
)

// pollList reads the platform's list at intervals until the service stops. As the
// list may be stale, its VMs are only candidates to probe.
func (s *Service) pollList() {
	for {
		if list, err := s.list.VMs(); err == nil {
			s.updateNode(func(time.Time) []membership.Action {
				for _, vm := range list.VMs {
					if vm.Peer == "" {
						continue
					}
					s.node.AddCandidate(vm.ID, vm.Peer, vm.FailureDomain)
				}
				return s.node.ProbeCandidates(candidateProbeFanOut)
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

// listInterval returns the time until the next read, with jitter. It grows with the
// number of VMs, so that their combined read rate stays near listReadsPerSecond.
func (s *Service) listInterval() time.Duration {
	mean := float64(s.Count()+1) / listReadsPerSecond * float64(time.Second)
	spread := time.Duration(mean * (0.5 + rand.Float64()))
	return min(max(spread, minListInterval), maxListInterval)
}
