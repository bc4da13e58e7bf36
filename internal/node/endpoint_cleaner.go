package node

import (
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/membership"
)

// keepInterval is the time between two clean-ups of what is known of endpoints.
const keepInterval = time.Minute

// keeper drops what is known of endpoints that left the configuration, so that
// marks do not pile up.
type keeper struct {
	stopped chan struct{}
	wg      sync.WaitGroup
}

func (n *Node) startKeeper() *keeper {
	k := &keeper{stopped: make(chan struct{})}
	k.wg.Go(func() {
		ticker := time.NewTicker(keepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-k.stopped:
				return
			case <-ticker.C:
				n.forgetEndpoints()
			}
		}
	})
	return k
}

func (k *keeper) stop() {
	close(k.stopped)
	k.wg.Wait()
}

func (n *Node) forgetEndpoints() {
	snap := n.parts.Follower.Current()
	if snap == nil {
		return
	}
	configured := func(id string) bool {
		_, ok := snap.Endpoints[id]
		return ok
	}
	n.parts.Health.Keep(configured)
	n.members.RetainMarks(func(m membership.Mark) bool { return configured(m.Endpoint) })
}
