package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// noticeTokens is the prefill from which on peers are told of a prompt at
	// once, and not with the next digest.
	noticeTokens = 1 << 10
	// longNotice is the prefill from which on a notice may use the whole rate of
	// notices; shorter ones leave a part of it.
	longNotice = 8 << 10
	// noticesPerSecond and shortNoticesPerSecond bound the notices of one VM.
	noticesPerSecond      = 16
	shortNoticesPerSecond = 12
	// digestEntries bounds a digest, those that changed last first.
	digestEntries = 16
	// digestAge is how long an endpoint stays in the digests after its last
	// change, so that every peer hears of it.
	digestAge = 10 * time.Second
)

// DigestEntry is what a VM has sent to one endpoint since it started. Totals,
// and not changes, make lost and repeated digests harmless.
type DigestEntry struct {
	Endpoint string `json:"e"`
	// Tokens is the prefill sent so far, by priority.
	Tokens [2]int64 `json:"t"`
	// Held is the memory that the VM holds there, in tokens.
	Held int64 `json:"h,omitempty"`
}

// Digest is a VM's account of what it sent.
type Digest struct {
	// AtMs is the VM's clock when the digest was taken, in milliseconds since
	// the epoch.
	AtMs    int64         `json:"at"`
	Entries []DigestEntry `json:"n"`
}

// totals is what a VM sent to an endpoint since it started.
type totals struct {
	entry   DigestEntry
	changed time.Time
}

func (t *totals) sent(now time.Time, priority wire.Priority, work, held int64) {
	t.entry.Tokens[priority] += work
	t.entry.Held += held
	t.changed = now
}

// Digest returns this VM's account of the endpoints that it sent to of late, as
// JSON; nil where there are none.
func (f *Fleet) Digest() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var recent []*totals
	for _, st := range f.states {
		if now.Sub(st.own.changed) < digestAge {
			recent = append(recent, &st.own)
		}
	}
	if len(recent) == 0 {
		return nil
	}
	slices.SortFunc(recent, func(a, b *totals) int {
		return cmp.Or(b.changed.Compare(a.changed), cmp.Compare(a.entry.Endpoint, b.entry.Endpoint))
	})
	d := Digest{AtMs: now.UnixMilli()}
	for _, t := range recent[:min(len(recent), digestEntries)] {
		d.Entries = append(d.Entries, t.entry)
	}
	return d.encode()
}

func (d *Digest) encode() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		return nil
	}
	return data
}

// PeerDigest takes a peer's account. What can't be read, what is older than the
// last, and endpoints that this VM does not have in view are passed over.
func (f *Fleet) PeerDigest(vm string, data []byte) {
	var d Digest
	if json.Unmarshal(data, &d) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.AtMs < f.heardAt[vm] {
		return
	}
	f.heardAt[vm] = d.AtMs
	at := time.UnixMilli(d.AtMs)
	for _, e := range d.Entries {
		if st := f.states[e.Endpoint]; st != nil {
			st.heard(at, vm, e)
		}
	}
}

// heard adds what the peer sent since it was last heard of. A peer that was
// never heard of, or has started anew, is counted from here on.
func (s *state) heard(at time.Time, vm string, e DigestEntry) {
	last, known := s.peers[vm]
	if s.peers == nil {
		s.peers = make(map[string]DigestEntry)
	}
	s.peers[vm] = e
	if !known || e.Tokens[0] < last.Tokens[0] || e.Tokens[1] < last.Tokens[1] {
		return
	}
	held := e.Held - last.Held
	for priority := range e.Tokens {
		work := e.Tokens[priority] - last.Tokens[priority]
		if work > 0 || held != 0 {
			s.known.PeerSent(at, work, held, wire.Priority(priority))
		}
		held = 0
	}
}

// SetNotify sets what tells the peers at once of a digest with a long prefill.
// It is called with the fleet locked and must not wait.
func (f *Fleet) SetNotify(notify func(digest []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify = notify
}

// tell has the peers hear of the endpoint at once, within the rate of notices.
// The lock is held.
func (f *Fleet) tell(now time.Time, st *state, work int64) {
	if f.notify == nil || work < noticeTokens {
		return
	}
	if work < longNotice && !f.shortNotices.AllowN(now, 1) || !f.notices.AllowN(now, 1) {
		return
	}
	d := Digest{AtMs: now.UnixMilli(), Entries: []DigestEntry{st.own.entry}}
	f.notify(d.encode())
}
