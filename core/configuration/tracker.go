package configuration

import (
	"math/rand/v2"
	"time"
)

// TrackerConfig holds the parameters of a Tracker.
type TrackerConfig struct {
	// ReadsPerSecond is the target rate of head reads by all VMs together.
	ReadsPerSecond float64
	// MinPoll and MaxPoll bound the interval between two head reads of one VM.
	MinPoll time.Duration
	MaxPoll time.Duration
	// BehindLimit is how long a VM may accept work after it has learnt of a newer
	// version that it has not loaded.
	BehindLimit time.Duration
	// ContactLimit is how long a VM may accept work without a successful read of
	// the head or a report from a peer.
	ContactLimit time.Duration
	// FetchTimeout is how long a fetch may stay unanswered before it is retried
	// from the store.
	FetchTimeout time.Duration
}

// DefaultTrackerConfig returns the parameters that entry VMs use.
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

// Source is where a version is fetched from: the address of a peer, or
// SourceStore.
type Source string

// SourceStore is the platform's object store.
const SourceStore Source = ""

// Action is an operation that the caller of a Tracker must carry out.
type Action interface{ action() }

// ReadHead requests a read of the head row; the result is passed to HeadRead or
// HeadFailed.
type ReadHead struct{}

// Fetch requests a version that is at least Version; the result is passed to
// Loaded or FetchFailed.
type Fetch struct {
	From    Source
	Version int64
}

// Announce requests that some peers are notified of the version in force.
type Announce struct{ Version int64 }

func (ReadHead) action() {}
func (Fetch) action()    {}
func (Announce) action() {}

// Tracker decides when a VM reads the head, where it fetches a new version from,
// and whether it may accept work. The version in force never decreases. A
// Tracker is not safe for concurrent use.
type Tracker struct {
	cfg           TrackerConfig
	rnd           *rand.Rand
	inForce       int64
	newestKnown   int64
	behindSince   time.Time
	lastContact   time.Time
	nextPoll      time.Time
	reading       bool
	fetching      bool
	fetchDeadline time.Time
	confirmed     bool
}

// NewTracker returns a Tracker that has no version in force.
func NewTracker(cfg TrackerConfig, rnd *rand.Rand) *Tracker {
	return &Tracker{cfg: cfg, rnd: rnd}
}

// InForce returns the version in force, or zero before the first one is loaded.
func (t *Tracker) InForce() int64 { return t.inForce }

// NewestKnown returns the newest version that the head, a peer or a fetch has reported.
func (t *Tracker) NewestKnown() int64 { return t.newestKnown }

// Tick returns the actions that are due at now: a retry of a fetch that timed
// out, and the next read of the head. Peers is the number of other live VMs.
func (t *Tracker) Tick(now time.Time, peers int) []Action {
	t.dropStaleConfirmation(now)
	var actions []Action
	if t.fetching && !now.Before(t.fetchDeadline) {
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

// interval returns the time until the next read of the head. It grows with the
// number of VMs, so that their reads together average ReadsPerSecond, and is
// spread at random by half the mean to either side. A VM whose version is not
// confirmed as the newest reads every MinPoll.
func (t *Tracker) interval(peers int) time.Duration {
	if !t.confirmed {
		return t.cfg.MinPoll
	}
	mean := float64(peers+1) / t.cfg.ReadsPerSecond * float64(time.Second)
	spread := time.Duration(mean * (0.5 + t.rnd.Float64()))
	return min(max(spread, t.cfg.MinPoll), t.cfg.MaxPoll)
}

// HeadRead handles the result of a head read; version is zero if no version has
// been accepted yet.
func (t *Tracker) HeadRead(now time.Time, version int64) []Action {
	t.reading = false
	return t.observe(now, SourceStore, version)
}

// HeadFailed handles a failed read of the head.
func (t *Tracker) HeadFailed(now time.Time) {
	t.reading = false
	t.dropStaleConfirmation(now)
}

// PeerVersion handles a peer's report of the newest version that it has heard
// of.
func (t *Tracker) PeerVersion(now time.Time, from Source, version int64) []Action {
	return t.observe(now, from, version)
}

func (t *Tracker) observe(now time.Time, from Source, version int64) []Action {
	t.dropStaleConfirmation(now)
	t.lastContact = now
	t.noteVersion(now, version)
	if t.inForce > 0 && t.inForce >= t.newestKnown {
		t.confirmed = true
		return nil
	}
	if version <= t.inForce {
		return nil
	}
	return t.fetch(now, from)
}

// noteVersion updates the newest known version, and the time since when the
// version in force has been behind it.
func (t *Tracker) noteVersion(now time.Time, version int64) {
	if version <= t.newestKnown {
		return
	}
	if t.newestKnown <= t.inForce {
		t.behindSince = now
	}
	t.newestKnown = version
}

// fetch requests the newest known version, unless it is already in force or a
// fetch is pending.
func (t *Tracker) fetch(now time.Time, from Source) []Action {
	if t.fetching || t.newestKnown <= t.inForce {
		return nil
	}
	t.fetching = true
	t.fetchDeadline = now.Add(t.cfg.FetchTimeout)
	return []Action{Fetch{from, t.newestKnown}}
}

// Loaded handles a version that was fetched. It reports whether the version
// comes into force, which only a newer one does.
func (t *Tracker) Loaded(now time.Time, version int64) (bool, []Action) {
	t.fetching = false
	t.noteVersion(now, version)
	if version <= t.inForce {
		return false, nil
	}
	t.inForce = version
	if t.inForce >= t.newestKnown {
		t.confirmed = true
	}
	return true, []Action{Announce{version}}
}

// FetchFailed handles a failed fetch. A fetch that failed at a peer is retried
// from the store; one that failed at the store is retried after the next head
// read, which comes after MinPoll, or after a peer's report.
func (t *Tracker) FetchFailed(now time.Time, from Source) []Action {
	t.fetching = false
	if from != SourceStore {
		return t.fetch(now, SourceStore)
	}
	t.nextPoll = now.Add(t.cfg.MinPoll)
	return nil
}

// dropStaleConfirmation clears the confirmation of a VM that was partitioned or
// paused for longer than ContactLimit. The VM accepts work again once its version
// has been confirmed as the newest.
func (t *Tracker) dropStaleConfirmation(now time.Time) {
	if t.confirmed && t.cutOff(now) {
		t.confirmed = false
		t.nextPoll = now
	}
}

func (t *Tracker) cutOff(now time.Time) bool {
	return now.Sub(t.lastContact) > t.cfg.ContactLimit
}

// Standing is whether a VM may accept work, and if not, why.
type Standing string

// The values of Standing. Only a VM that is current accepts work: unconfirmed
// means that no version is in force or that it has not been confirmed as the
// newest, behind that a newer version has been known for longer than BehindLimit,
// and cut off that the last contact is longer ago than ContactLimit.
const (
	StandingCurrent     Standing = "current"
	StandingUnconfirmed Standing = "unconfirmed"
	StandingBehind      Standing = "behind"
	StandingCutOff      Standing = "cut_off"
)

// Standing returns whether the VM may accept work at now.
func (t *Tracker) Standing(now time.Time) Standing {
	switch {
	case t.inForce == 0:
		return StandingUnconfirmed
	case t.cutOff(now):
		return StandingCutOff
	case !t.confirmed:
		return StandingUnconfirmed
	case t.newestKnown > t.inForce && now.Sub(t.behindSince) > t.cfg.BehindLimit:
		return StandingBehind
	}
	return StandingCurrent
}
