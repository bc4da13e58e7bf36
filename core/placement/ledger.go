package placement

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// sendRecord is prefill that this VM or a peer sent to an endpoint, and the
// change of the memory held there, both in tokens. The change is negative when an
// attempt ends.
type sendRecord struct {
	at       time.Time
	work     int64
	need     int64
	priority wire.Priority
}

// ledger estimates the prefill backlog of an endpoint: the queue in the last load
// report, plus the prefill sent since the report's time stamp, minus the prefill
// computed since. Advancing it between reports takes constant time.
type ledger struct {
	// queued is the estimated backlog by priority at the time at, in tokens; at
	// is in nanoseconds since the epoch, which is cheaper to subtract than
	// time.Time.
	queued [2]float64
	at     int64
	// reported is the time stamp of the last report.
	reported time.Time
	// sends are the records after reported, in order of time.
	sends []sendRecord
	// computedUntil is, by priority, the time of the latest send whose prefill is
	// known to be complete, as is that of all sends before it.
	computedUntil [2]time.Time
	// held is the memory in use in the last report, and heldSince its change by
	// the sends since, in tokens.
	held, heldSince int64
}

// report replaces the estimate by a load report with the time stamp at and
// replays the sends after it. A report older than the last one is ignored.
func (l *ledger) report(now, at time.Time, queued [2]int64, held int64, rate float64) {
	if at.Before(l.reported) {
		return
	}
	l.reported = at
	l.held = held
	covered := 0
	for covered < len(l.sends) && !l.sends[covered].at.After(at) {
		covered++
	}
	l.sends = slices.Delete(l.sends, 0, covered)
	l.replay(now, queued, rate)
}

// replay advances the reported queue to now, adding the sends since the report.
func (l *ledger) replay(now time.Time, queued [2]int64, rate float64) {
	l.at = l.reported.UnixNano()
	l.heldSince = 0
	for i, q := range queued {
		l.queued[i] = float64(q)
	}
	for i := range l.sends {
		s := &l.sends[i]
		l.advance(s.at, rate)
		l.queued[s.priority] += float64(s.work)
		l.heldSince += s.need
	}
	l.advance(now, rate)
	l.limitQueued()
}

// advance subtracts the prefill computed up to now, high priority first.
func (l *ledger) advance(now time.Time, rate float64) {
	elapsed := now.UnixNano() - l.at
	if elapsed <= 0 {
		return
	}
	l.at += elapsed
	if l.queued[0]+l.queued[1] == 0 {
		return
	}
	budget := time.Duration(elapsed).Seconds() * rate
	for i := range l.queued {
		used := min(budget, l.queued[i])
		l.queued[i] -= used
		budget -= used
	}
}

// send adds a send record to the estimate, in order of time.
func (l *ledger) send(s sendRecord, rate float64) {
	l.advance(s.at, rate)
	l.queued[s.priority] += float64(s.work)
	l.heldSince += s.need
	i := len(l.sends)
	for i > 0 && l.sends[i-1].at.After(s.at) {
		i--
	}
	l.sends = slices.Insert(l.sends, i, s)
}

// prefillCompleted records the first token of a prompt sent at the time at: the
// endpoint has completed all prefill sent before it at the same or a higher
// priority.
func (l *ledger) prefillCompleted(at time.Time, priority wire.Priority) {
	for i := range int(priority) + 1 {
		if at.After(l.computedUntil[i]) {
			l.computedUntil[i] = at
		}
	}
	l.limitQueued()
}

// limitQueued limits the backlog to the prefill sent after computedUntil.
func (l *ledger) limitQueued() {
	for i := range l.queued {
		if l.computedUntil[i].Before(l.reported) || l.computedUntil[i].IsZero() {
			continue
		}
		sentAfter := int64(0)
		for j := len(l.sends) - 1; j >= 0 && l.sends[j].at.After(l.computedUntil[i]); j-- {
			if int(l.sends[j].priority) == i {
				sentAfter += l.sends[j].work
			}
		}
		l.queued[i] = min(l.queued[i], float64(sentAfter))
	}
}

// withdraw removes the prefill of an attempt that ended before its first token.
func (l *ledger) withdraw(at time.Time, work int64, priority wire.Priority) {
	i := slices.IndexFunc(l.sends, func(s sendRecord) bool {
		return s.at.Equal(at) && s.work == work && s.priority == priority
	})
	if i < 0 {
		return
	}
	l.sends[i].work = 0
	l.queued[priority] = max(0, l.queued[priority]-float64(work))
}
