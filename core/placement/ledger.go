package placement

import (
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// sendRecord is prefill that was sent to an endpoint, by this VM or a peer, and
// the change of the memory held there; at the end of an attempt it is negative.
type sendRecord struct {
	at       time.Time
	work     int64
	need     int64
	priority wire.Priority
}

// ledger estimates the prefill that waits at an endpoint: the last report,
// plus what was sent since the report's own time stamp, minus what the endpoint
// computed meanwhile. Between reports it is carried forward in constant time.
type ledger struct {
	// queued is the estimate at the time at, in tokens; at is in nanoseconds
	// since the epoch, which are cheaper to subtract than time.Time.
	queued [2]float64
	at     int64
	// reported is the time stamp of the last report.
	reported time.Time
	// sends are those after reported, in order of time.
	sends []sendRecord
	// done is, by priority, the time of the latest send that is known to have
	// been computed, with all before it.
	done [2]time.Time
	// held is the memory in use when reported; heldSince what was sent since.
	held, heldSince int64
}

// report replaces the estimate by a report of the time at, and replays what
// was sent since.
func (l *ledger) report(now, at time.Time, queued [2]int64, held int64, rate float64) {
	if at.Before(l.reported) {
		return
	}
	l.reported = at
	l.held = held
	keep := 0
	for keep < len(l.sends) && !l.sends[keep].at.After(at) {
		keep++
	}
	l.sends = slices.Delete(l.sends, 0, keep)
	l.replay(now, queued, rate)
}

// replay carries the report's queue forward to now.
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
	l.cap()
}

// advance lets the endpoint compute up to now, the more urgent first.
func (l *ledger) advance(now time.Time, rate float64) {
	passed := now.UnixNano() - l.at
	if passed <= 0 {
		return
	}
	l.at += passed
	if l.queued[0]+l.queued[1] == 0 {
		return
	}
	budget := time.Duration(passed).Seconds() * rate
	for i := range l.queued {
		used := min(budget, l.queued[i])
		l.queued[i] -= used
		budget -= used
	}
}

// send adds prefill sent at the time at.
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

// computed notes that a prompt sent at the time at has its first token: the
// endpoint has computed all that was sent before it at the same or a higher
// priority.
func (l *ledger) computed(at time.Time, priority wire.Priority) {
	for i := range int(priority) + 1 {
		if at.After(l.done[i]) {
			l.done[i] = at
		}
	}
	l.cap()
}

// cap bounds the queue by what was sent after the last send known computed.
func (l *ledger) cap() {
	for i := range l.queued {
		if l.done[i].Before(l.reported) || l.done[i].IsZero() {
			continue
		}
		after := int64(0)
		for j := len(l.sends) - 1; j >= 0 && l.sends[j].at.After(l.done[i]); j-- {
			if int(l.sends[j].priority) == i {
				after += l.sends[j].work
			}
		}
		l.queued[i] = min(l.queued[i], float64(after))
	}
}

// withdraw takes back prefill of an attempt that ended before its first token.
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
