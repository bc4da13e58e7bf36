package calls

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// act carries out a chart's action: it returns what the driver is to do, or
// nil where nothing is.
func (c *Call) act(name statechart.Action) Action {
	switch name {
	case "claim":
		return c.claim()
	case "take_over":
		c.base = c.foundAt
	case "wait":
		return Wait{c.wait()}
	case "send":
		c.sends++
		return Send{Number: c.sends - 1, Within: c.request.Deadline.Sub(c.now)}
	case "record":
		return c.record()
	case "abandon":
		c.row.Status = StatusNotRun
	case "reply":
		return Answer{c.outcome()}
	case "reply_recorded":
		return Answer{c.recorded()}
	case "reply_store_down":
		return Answer{Reply{Err: storeDown(c.cfg.StoreRetry)}}
	case "give_up":
		return GiveUp{c.row.Status}
	}
	return nil
}

// claim writes the row that names this attempt. Every try puts the same value
// under the same condition, so that a repeat can't be applied twice.
func (c *Call) claim() Action {
	if c.claims == 0 {
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
	c.claims++
	c.version = c.base
	return c.write(min(c.cfg.WriteTimeout, c.request.Deadline.Sub(c.now)))
}

// record writes the result. While the caller waits for it, the write ends with
// the caller's deadline. Where the claim's outcome is unknown, the write is
// conditioned on the claim's own condition: a claim that comes late then fails.
func (c *Call) record() Action {
	c.records++
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

// wait is the time to the next try, with full jitter.
func (c *Call) wait() time.Duration {
	n := max(c.claims, c.records)
	limit := c.cfg.FirstWait << min(n, 16)
	if limit <= 0 || limit > c.cfg.MaxWait {
		limit = c.cfg.MaxWait
	}
	if c.machine.State() == stateWaiting {
		limit = min(limit, c.request.Deadline.Sub(c.now))
	}
	return time.Duration(c.rng.Int64N(int64(max(limit, 1))))
}

// outcome is what this attempt's caller is told.
func (c *Call) outcome() Reply {
	switch c.row.Status {
	case StatusDone:
		return Report(c.row, c.now, c.cfg, false)
	case StatusNotRun:
		if !c.inTime() {
			return Reply{Err: errcode.New(errcode.DeadlineExceeded, "the deadline passed before the call was sent").WithRan(errcode.RanNo)}
		}
		return Reply{Err: notRun()}
	}
	return Reply{Err: unknown()}
}

// recorded is what a repeat of the key is told from the row of another attempt.
func (c *Call) recorded() Reply {
	switch {
	case c.foundErr != nil || c.foundAt == wire.AbsentVersion:
		return Reply{Err: storeDown(c.cfg.StoreRetry)}
	case c.found.BodyDigest != c.request.Digest:
		return Reply{Err: keyReused()}
	}
	gone := c.request.Gone != nil && c.request.Gone(c.found.VM, c.found.Incarnation)
	return Report(c.found, c.now, c.cfg, gone)
}
