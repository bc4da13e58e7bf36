package membership

import (
	"math"
	"time"
)

// Config sets the protocol's times and bounds.
type Config struct {
	// ProbeInterval is the time between two probes of one VM.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe, and again the indirect ones.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of VMs that are asked to probe one that did
	// not answer.
	IndirectProbes int
	// SuspicionFactor times the probe interval times the logarithm of the
	// number of VMs is how long a suspected VM has to refute.
	SuspicionFactor float64
	// RetransmitFactor times the logarithm of the number of VMs is how often
	// news is told.
	RetransmitFactor float64
	// MaxNewsBytes bounds the news in one message.
	MaxNewsBytes int
	// MaxDigestBytes bounds the digest in one message.
	MaxDigestBytes int
	// SyncInterval is the time between two exchanges of all that is known.
	SyncInterval time.Duration
	// Forget is how long a dead VM is remembered, and now and then probed.
	Forget time.Duration
	// DeadProbeShare is the share of probes that go to a dead VM, so that the
	// parts of a healed network find each other.
	DeadProbeShare float64
	// PauseLimit is the gap between two ticks that shows that this VM itself
	// was paused, so that its silence is not blamed on others.
	PauseLimit time.Duration
}

// DefaultConfig is what entry VMs use.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    500 * time.Millisecond,
		ProbeTimeout:     500 * time.Millisecond,
		IndirectProbes:   4,
		SuspicionFactor:  4,
		RetransmitFactor: 3,
		MaxNewsBytes:     300,
		MaxDigestBytes:   256,
		SyncInterval:     5 * time.Minute,
		Forget:           15 * time.Minute,
		DeadProbeShare:   0.05,
		PauseLimit:       time.Second,
	}
}

// suspicion is how long one of n VMs may take to refute.
func (c Config) suspicion(n int) time.Duration {
	scale := max(1, math.Log10(float64(n)))
	return time.Duration(c.SuspicionFactor * scale * float64(c.ProbeInterval))
}

// retransmits is how often news is told among n VMs.
func (c Config) retransmits(n int) int {
	return int(math.Ceil(c.RetransmitFactor * math.Log2(float64(n)+1)))
}
