package lease

import (
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// act performs an action of the state chart. It returns the action for the
// driver, or nil if the driver has nothing to do.
func (l *Lease) act(name statechart.Action) Action {
	switch name {
	case "read":
		l.nextRead = l.now.Mono + l.cfg.PollEvery
		return Read{l.key}
	case "acquire":
		return l.acquire()
	case "renew":
		return l.write(l.vm, l.fencing)
	case "release":
		l.releaseTries++
		return l.write("", l.fencing)
	case "start":
		l.fencing = l.writtenRow.Fencing
		l.confirm(l.sentAt)
		return Start{l.fencing}
	case "extend":
		l.extend()
	case "stop":
		l.holds = false
		l.nextRead = l.now.Mono
		return Stop{l.fencing}
	}
	return nil
}

func (l *Lease) acquire() Action {
	return l.write(l.vm, max(l.row.Fencing, l.fencingFloor)+1)
}

func (l *Lease) write(holder string, fencing int64) Action {
	l.sentAt = l.now
	l.writtenRow = Row{
		Holder:      holder,
		Incarnation: l.incarnation,
		Fencing:     fencing,
		TTLMs:       l.cfg.TTL.Milliseconds(),
		SentNs:      int64(l.now.Mono),
		SentWallNs:  l.now.Wall.UnixNano(),
	}
	return Write{
		Txn: wire.Txn{
			Conditions: []wire.Condition{{Key: l.key, Version: l.version}},
			Puts:       []wire.Put{{Key: l.key, Value: l.writtenRow.encode()}},
		},
		Within: l.cfg.RetryEvery,
	}
}

// extend extends the lease after a renewal. If the row was written by an earlier
// renewal whose response was lost, the lease counts from when that one was sent
// and the next renewal is due immediately.
func (l *Lease) extend() {
	l.confirm(l.row.sentAt())
	if l.row.SentNs != l.writtenRow.SentNs {
		l.nextWrite = l.now.Mono
	}
}

// confirm marks the lease as held since the time sent, at which the write that is
// now in the table was sent.
func (l *Lease) confirm(sent Instant) {
	l.holds = true
	l.confirmedAt = sent
	l.nextWrite = sent.Mono + l.cfg.RenewEvery
}
