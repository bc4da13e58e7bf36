package quota

import "time"

// Lease is a VM's local view of its share. It limits what the VM may spend even
// if responses of the table service are lost. It is not safe for concurrent
// use.
type Lease struct {
	// rate is the share in force until expires, by the VM's own clock.
	rate    float64
	expires time.Time
	// pending is the share in a write whose outcome is not yet known.
	pending *Share
}

// Rate returns the share in force, in tokens per second.
func (l *Lease) Rate(now time.Time) float64 {
	if !now.Before(l.expires) {
		return 0
	}
	return l.rate
}

// Prepare records the share that the VM is about to write. From then on the VM
// spends at most this share, because the write may take effect although its
// response is lost.
func (l *Lease) Prepare(s Share) {
	l.rate = min(l.rate, s.TokensPerSecond)
	l.pending = &s
}

// Confirm records that the write took effect.
func (l *Lease) Confirm() {
	if l.pending == nil {
		return
	}
	l.rate = l.pending.TokensPerSecond
	l.expires = time.UnixMilli(l.pending.ExpiresMs)
	l.pending = nil
}

// MarkUnconfirmed records that the write did not take effect or that its outcome is
// unknown.
func (l *Lease) MarkUnconfirmed() { l.pending = nil }

// Drop stops the use of the share, before it is removed from the row.
func (l *Lease) Drop() { l.rate, l.pending = 0, nil }
