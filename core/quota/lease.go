package quota

import "time"

// Lease is a VM's own side of its share: what it may spend, whatever the answers
// of the table service say or don't say. It is not safe for concurrent use.
type Lease struct {
	// rate is the share in force until expires, by the VM's own clock.
	rate    float64
	expires time.Time
	// asked is the share of a write whose outcome is not known yet.
	asked *Share
}

// Rate is the share in force, in tokens a second.
func (l *Lease) Rate(now time.Time) float64 {
	if !now.Before(l.expires) {
		return 0
	}
	return l.rate
}

// Ask notes the share that the VM is about to write: from now on it spends no
// more than that, because the write may take effect and its answer be lost.
func (l *Lease) Ask(s Share) {
	l.rate = min(l.rate, s.TokensPerSecond)
	l.asked = &s
}

// Granted notes that the write took effect.
func (l *Lease) Granted() {
	if l.asked == nil {
		return
	}
	l.rate = l.asked.TokensPerSecond
	l.expires = time.UnixMilli(l.asked.ExpiresMs)
	l.asked = nil
}

// Refused notes that the write did not take effect, or that nobody knows.
func (l *Lease) Refused() { l.asked = nil }

// Drop gives the share up, before the row says so.
func (l *Lease) Drop() { l.rate, l.asked = 0, nil }
