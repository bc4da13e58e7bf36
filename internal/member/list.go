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
	// minListInterval bounds the time between two reads by one VM.
	minListInterval = 2 * time.Second
	// candidateProbeFanOut is the number of newly listed VMs that are probed after
	// each read, in addition to the regular probes.
	candidateProbeFanOut = 8
)

// pollList reads the platform's list at intervals until the service stops. As the
// list may be stale, its VMs are only candidates to probe.
func (s *Service) pollList() {
	for {
		if list, err := s.list.VMs(); err == nil {
			s.updateNode(func(now time.Time) []membership.Action {
				for _, vm := range list.VMs {
					if vm.Peer == "" {
						continue
					}
					s.node.AddCandidate(vm.ID, vm.Peer, vm.FailureDomain)
				}
				return s.node.ProbeCandidates(now, candidateProbeFanOut)
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
		case <-time.After(listInterval(s.Count()+1, rand.Float64())):
		}
	}
}

// listInterval returns the time until the next read of one of n VMs. It grows with their
// number, so that their combined read rate stays at listReadsPerSecond. The jitter is a
// random number from 0 to 1.
func listInterval(n int, jitter float64) time.Duration {
	mean := float64(n) / listReadsPerSecond * float64(time.Second)
	return max(time.Duration(mean*(0.5+jitter)), minListInterval)
}
