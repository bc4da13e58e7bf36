package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

// awaitCopy waits, when this VM starts, for a copy of the topic from another VM, so that
// the VMs of a deployment that start together don't all list it from the store at the
// same time. A watcher doesn't wait, and the others until a random time of the spread.
func (f *Follower) awaitCopy(ctx context.Context) {
	started := time.Now()
	var end time.Time
	outcome := event.FirstCopyAwaited{Topic: f.topic.String()}
	for ctx.Err() == nil && f.Revision().Version == 0 {
		if spread, known := f.sources.Spread(); known {
			if end.IsZero() {
				outcome.Spread = spread
				end = time.Now().Add(rand.N(spread + 1))
			}
			outcome.Watcher = f.sources.Watches(f.topic)
			if outcome.Watcher || !time.Now().Before(end) {
				break
			}
		}
		sleep(ctx, startInterval)
	}
	revision := f.Revision()
	outcome.Found, outcome.Epoch, outcome.Version = revision.Version > 0, revision.Epoch, revision.Version
	outcome.Waited = time.Since(started)
	f.log.Emit(outcome)
}
