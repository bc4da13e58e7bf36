package membership

import (
	"math"
	"time"
)

// Config holds the protocol's intervals, timeouts and limits.
type Config struct {
	// ProbeInterval is the time between two probes sent by a VM.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe. The probes of the indirect phase that
	// follows have twice this time.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of VMs that probe an unresponsive VM on behalf
	// of this one.
	IndirectProbes int
	// SuspicionFactor scales the time that a suspected VM has to refute: the
	// factor times the probe interval times log10(number of VMs), where the
	// logarithm counts as at least 1.
	SuspicionFactor float64
	// RetransmitFactor scales the number of times that an update is sent: the
	// factor times log2(number of VMs + 1), rounded up.
	RetransmitFactor float64
	// MaxUpdateBytes bounds the total size of the updates in one message, besides the record of
	// its receiver.
	MaxUpdateBytes int
	// MaxDigestBytes bounds the size of the digest in one message.
	MaxDigestBytes int
	// SyncInterval is the longest mean time between two exchanges of the full
	// state.
	SyncInterval time.Duration
	// DeadRetention is how long the record of a dead VM is kept. Until then the
	// VM is occasionally probed.
	DeadRetention time.Duration
	// DeadProbeShare is the fraction of probes that go to a dead VM, so that the
	// two sides of a healed network partition find each other again.
	DeadProbeShare float64
	// PauseThreshold is the gap between two ticks beyond which this VM assumes
	// that it was itself paused, so that it does not attribute the missing replies
	// to other VMs.
	PauseThreshold time.Duration
}

// DefaultConfig returns the configuration used by entry VMs.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    500 * time.Millisecond,
		ProbeTimeout:     500 * time.Millisecond,
		IndirectProbes:   4,
		SuspicionFactor:  4,
		RetransmitFactor: 3,
		MaxUpdateBytes:   300,
		MaxDigestBytes:   256,
		SyncInterval:     5 * time.Minute,
		DeadRetention:    15 * time.Minute,
		DeadProbeShare:   0.05,
		PauseThreshold:   time.Second,
	}
}

// suspicionTimeout returns how long a suspected VM has to refute in a cluster of
// n VMs.
func (c Config) suspicionTimeout(n int) time.Duration {
	scale := max(1, math.Log10(float64(n)))
	return time.Duration(c.SuspicionFactor * scale * float64(c.ProbeInterval))
}

// retransmitLimit returns how often an update is sent in a cluster of n VMs.
func (c Config) retransmitLimit(n int) int {
	return int(math.Ceil(c.RetransmitFactor * math.Log2(float64(n)+1)))
}
