package calls

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// act performs an action of the state chart. It returns the action for the
// driver, or nil if the driver has nothing to do.
func (c *Call) act(name statechart.Action) Action {
	switch name {
	case "claim":
		return c.claim()
	case "take_over":
		c.claimVersion = c.foundVersion
	case "wait":
		return Wait{c.backoff()}
	case "send":
		c.sends++
		return Send{Number: c.sends - 1, Within: c.request.Deadline.Sub(c.now)}
	case "record":
		return c.record()
	case "abandon":
		c.row.Status = StatusNotRun
	case "reply":
		return Answer{c.attemptReply()}
	case "reply_recorded":
		return Answer{c.recordedReply()}
	case "reply_store_down":
		return Answer{Reply{Err: storeUnavailable(c.cfg.StoreRetry)}}
	case "give_up":
		return GiveUp{c.row.Status}
	}
	return nil
}

// claim writes the row that names this attempt. Every retry writes the same
// value under the same condition, so that the claim is applied at most once.
func (c *Call) claim() Action {
	if c.claimTries == 0 {
		c.row = Row{
			Attempt:     c.request.Attempt,
			VM:          c.request.VM,
			Incarnation: c.request.Incarnation,
			BodyDigest:  c.request.Digest,
			Status:      StatusStarted,
			StartedMs:   c.now.UnixMilli(),
			DeadlineMs:  c.request.Deadline.UnixMilli(),
			ExpiresMs:   c.now.Add(c.cfg.Retention).UnixMilli(),
		}
	}
	c.claimTries++
	c.version = c.claimVersion
	return c.write(min(c.cfg.WriteTimeout, c.request.Deadline.Sub(c.now)))
}

// record writes the result. While the caller is waiting for the reply, the
// write times out at the caller's deadline. If the claim's outcome is unknown,
// the write has the same condition as the claim, so that a claim that arrives
// after it fails.
func (c *Call) record() Action {
	c.recordTries++
	within := c.cfg.WriteTimeout
	if c.machine.State() == stateRecording {
		within = min(within, c.request.Deadline.Sub(c.now))
	}
	return c.write(within)
}

func (c *Call) write(within time.Duration) Action {
	return Write{
		Txn: wire.Txn{
			Conditions: []wire.Condition{{Key: c.request.Key, Version: c.version}},
			Puts:       []wire.Put{{Key: c.request.Key, Value: c.row.encode()}},
		},
		Within: within,
	}
}

// backoff returns the time until the next write, with exponential back-off and
// full jitter. A wait for the next claim ends before the caller's deadline.
func (c *Call) backoff() time.Duration {
	n := max(c.claimTries, c.recordTries)
	limit := c.cfg.BaseBackoff << min(n, 16)
	if limit <= 0 || limit > c.cfg.MaxBackoff {
		limit = c.cfg.MaxBackoff
	}
	if c.machine.State() == stateWaiting {
		limit = min(limit, c.request.Deadline.Sub(c.now))
	}
	return time.Duration(c.rng.Int64N(int64(max(limit, 1))))
}

// attemptReply returns the reply for the outcome of this attempt.
func (c *Call) attemptReply() Reply {
	switch c.row.Status {
	case StatusDone:
		return Report(c.row, c.now, c.cfg, false)
	case StatusNotRun:
		if !c.inTime() {
			return Reply{Err: errcode.New(errcode.DeadlineExceeded, "the deadline passed before the call was sent").WithRan(errcode.RanNo)}
		}
		return Reply{Err: notRun()}
	}
	return Reply{Err: outcomeUnknown()}
}

// recordedReply returns the reply for a repeated key, from the row that another
// attempt wrote.
func (c *Call) recordedReply() Reply {
	switch {
	case c.foundErr != nil || c.foundVersion == wire.AbsentVersion:
		return Reply{Err: storeUnavailable(c.cfg.StoreRetry)}
	case c.found.BodyDigest != c.request.Digest:
		return Reply{Err: keyReused()}
	}
	ended := c.request.ProcessEnded != nil && c.request.ProcessEnded(c.found.VM, c.found.Incarnation)
	return Report(c.found, c.now, c.cfg, ended)
}
