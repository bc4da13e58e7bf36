package configuration

import (
	"math/rand/v2"
	"time"
)

// TrackerConfig sets how a VM follows the head.
type TrackerConfig struct {
	// ReadsPerSecond bounds the reads of the head by all VMs together.
	ReadsPerSecond float64
	// MinPoll and MaxPoll bound the time between two reads of one VM.
	MinPoll time.Duration
	MaxPoll time.Duration
	// BehindLimit is how long a VM may take work while it knows of a newer
	// version that it does not hold.
	BehindLimit time.Duration
	// ContactLimit is how long a VM may take work without an answer of the
	// store or of a peer.
	ContactLimit time.Duration
	// FetchTimeout is after how long an unanswered fetch is tried elsewhere.
	FetchTimeout time.Duration
}

// DefaultTrackerConfig is what entry VMs use.
func DefaultTrackerConfig() TrackerConfig {
	return TrackerConfig{
		ReadsPerSecond: 2,
		MinPoll:        500 * time.Millisecond,
		MaxPoll:        10 * time.Minute,
		BehindLimit:    5 * time.Second,
		ContactLimit:   5 * time.Second,
		FetchTimeout:   2 * time.Second,
	}
}

// Source is where a version is fetched from: a peer's address, or the store.
type Source string

// SourceStore is the platform's store.
const SourceStore Source = ""

// Action is something that a Tracker wants done.
type Action interface{ action() }

// ReadHead asks for the head row; the answer goes to HeadRead or HeadFailed.
type ReadHead struct{}

// Fetch asks for a version that is at least Version; the answer goes to Loaded
// or FetchFailed.
type Fetch struct {
	From    Source
	Version int64
}

// Announce asks to tell some peers of the version in force.
type Announce struct{ Version int64 }

func (ReadHead) action() {}
func (Fetch) action()    {}
func (Announce) action() {}

// Tracker decides when a VM reads the head, whom it fetches a version from, and
// whether it may take work. The version in force only grows. It is not safe for
// concurrent use.
type Tracker struct {
	cfg      TrackerConfig
	rnd      *rand.Rand
	inForce  int64
	heard    int64
	behind   time.Time
	contact  time.Time
	nextPoll time.Time
	reading  bool
	fetching bool
	fetchEnd time.Time
	synced   bool
}

// NewTracker returns a Tracker that holds no version.
func NewTracker(cfg TrackerConfig, rnd *rand.Rand) *Tracker {
	return &Tracker{cfg: cfg, rnd: rnd}
}

// InForce is the version in force; zero before the first.
func (t *Tracker) InForce() int64 { return t.inForce }

// Heard is the newest version that the VM knows of.
func (t *Tracker) Heard() int64 { return t.heard }

// Tick passes the time. Peers is the number of other VMs that live.
func (t *Tracker) Tick(now time.Time, peers int) []Action {
	t.noteLostContact(now)
	var actions []Action
	if t.fetching && !now.Before(t.fetchEnd) {
		t.fetching = false
		actions = append(actions, t.fetch(now, SourceStore)...)
	}
	if t.reading || now.Before(t.nextPoll) {
		return actions
	}
	t.reading = true
	t.nextPoll = now.Add(t.interval(peers))
	return append(actions, ReadHead{})
}

// interval is the time to the next read of the head: the VMs' reads together
// stay under the bound, and are spread at random. A VM out of contact reads as
// often as it may.
func (t *Tracker) interval(peers int) time.Duration {
	if !t.synced {
		return t.cfg.MinPoll
	}
	mean := float64(peers+1) / t.cfg.ReadsPerSecond * float64(time.Second)
	spread := time.Duration(mean * (0.5 + t.rnd.Float64()))
	return min(max(spread, t.cfg.MinPoll), t.cfg.MaxPoll)
}

// HeadRead takes the head's version; zero where there is none yet.
func (t *Tracker) HeadRead(now time.Time, version int64) []Action {
	t.reading = false
	return t.learn(now, SourceStore, version)
}

// HeadFailed notes that the store did not answer.
func (t *Tracker) HeadFailed(now time.Time) {
	t.reading = false
	t.noteLostContact(now)
}

// PeerVersion takes the newest version that a peer knows of.
func (t *Tracker) PeerVersion(now time.Time, from Source, version int64) []Action {
	return t.learn(now, from, version)
}

func (t *Tracker) learn(now time.Time, from Source, version int64) []Action {
	t.noteLostContact(now)
	t.contact = now
	t.hear(now, version)
	if t.inForce > 0 && t.inForce >= t.heard {
		t.synced = true
		return nil
	}
	if version <= t.inForce {
		return nil
	}
	return t.fetch(now, from)
}

// hear notes the newest version known.
func (t *Tracker) hear(now time.Time, version int64) {
	if version <= t.heard {
		return
	}
	if t.heard <= t.inForce {
		t.behind = now
	}
	t.heard = version
}

// fetch asks for the newest version known, unless that was asked already.
func (t *Tracker) fetch(now time.Time, from Source) []Action {
	if t.fetching || t.heard <= t.inForce {
		return nil
	}
	t.fetching = true
	t.fetchEnd = now.Add(t.cfg.FetchTimeout)
	return []Action{Fetch{from, t.heard}}
}

// Loaded takes a version that was fetched. It reports whether the version comes
// into force: only a newer one does.
func (t *Tracker) Loaded(now time.Time, version int64) (bool, []Action) {
	t.fetching = false
	t.hear(now, version)
	if version <= t.inForce {
		return false, nil
	}
	t.inForce = version
	if t.inForce >= t.heard {
		t.synced = true
	}
	return true, []Action{Announce{version}}
}

// FetchFailed notes that a version could not be had there; the next read of the
// head, or news of a peer, tries again.
func (t *Tracker) FetchFailed(now time.Time, from Source) []Action {
	t.fetching = false
	if from != SourceStore {
		return t.fetch(now, SourceStore)
	}
	t.nextPoll = now.Add(t.cfg.MinPoll)
	return nil
}

// noteLostContact drops the confirmation of a VM that was cut off or paused: it
// takes work again after it has heard that its version is the newest.
func (t *Tracker) noteLostContact(now time.Time) {
	if t.synced && t.cutOff(now) {
		t.synced = false
		t.nextPoll = now
	}
}

func (t *Tracker) cutOff(now time.Time) bool {
	return now.Sub(t.contact) > t.cfg.ContactLimit
}

// Standing is whether a VM may take work, and why not.
type Standing string

// The standings.
const (
	StandingCurrent     Standing = "current"
	StandingUnconfirmed Standing = "unconfirmed"
	StandingBehind      Standing = "behind"
	StandingCutOff      Standing = "cut_off"
)

// Standing tells whether the VM may take work.
func (t *Tracker) Standing(now time.Time) Standing {
	switch {
	case t.inForce == 0:
		return StandingUnconfirmed
	case t.cutOff(now):
		return StandingCutOff
	case !t.synced:
		return StandingUnconfirmed
	case t.heard > t.inForce && now.Sub(t.behind) > t.cfg.BehindLimit:
		return StandingBehind
	}
	return StandingCurrent
}
