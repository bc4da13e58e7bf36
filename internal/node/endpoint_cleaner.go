package node

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/membership"
)

// cleanupInterval is the time between two clean-ups of the endpoints' state.
const cleanupInterval = time.Minute

// endpointCleaner periodically removes the state and the marks of endpoints that
// are no longer in the configuration, and the notes of verdicts that have ended; without
// it, they would accumulate.
type endpointCleaner struct {
	stopping chan struct{}
	wg       sync.WaitGroup
}

func (n *Node) startEndpointCleaner() *endpointCleaner {
	c := &endpointCleaner{stopping: make(chan struct{})}
	c.wg.Go(func() {
		ticker := time.NewTicker(cleanupInterval)
		defer ticker.Stop()
		for {
			select {
			case <-c.stopping:
				return
			case <-ticker.C:
				n.removeStaleEndpoints()
			}
		}
	})
	return c
}

func (c *endpointCleaner) stop() {
	close(c.stopping)
	c.wg.Wait()
}

func (n *Node) removeStaleEndpoints() {
	snap := n.components.Follower.Current()
	if snap == nil {
		return
	}
	configured := func(id string) bool {
		_, ok := snap.Endpoints[id]
		return ok
	}
	n.components.Health.Retain(configured)
	n.members.RetainVerdicts()
	n.members.RetainMarks(func(m membership.Mark) bool { return configured(m.Endpoint) })
}
