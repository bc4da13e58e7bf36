package lease

import (
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// act carries out a chart's action: it returns what the driver is to do, or
// nil where nothing is.
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
		l.tries++
		return l.write("", l.fencing)
	case "start":
		l.fencing = l.written.Fencing
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
	return l.write(l.vm, max(l.row.Fencing, l.floor)+1)
}

func (l *Lease) write(holder string, fencing int64) Action {
	l.sentAt = l.now
	l.written = Row{
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
			Puts:       []wire.Put{{Key: l.key, Value: l.written.encode()}},
		},
		Within: l.cfg.RetryEvery,
	}
}

// extend notes a renewal. Where the row is that of an earlier renewal whose
// answer was lost, the time counts from when that one was sent.
func (l *Lease) extend() {
	l.confirm(l.row.sent())
	if l.row.SentNs != l.written.SentNs {
		l.nextWrite = l.now.Mono
	}
}

// confirm notes that a write that was sent then is in the table.
func (l *Lease) confirm(sent Instant) {
	l.holds = true
	l.confirmed = sent
	l.nextWrite = sent.Mono + l.cfg.RenewEvery
}
