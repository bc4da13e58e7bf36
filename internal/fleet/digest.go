package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// minNoticeTokens is the smallest prefill, in tokens, that is announced to peers at
	// once in a notice, rather than with the next digest.
	minNoticeTokens = 1 << 10
	// longNoticeTokens is the smallest prefill, in tokens, whose notices may use the
	// whole rate of notices; those of shorter prefills may use only a part of it.
	longNoticeTokens = 8 << 10
	// noticesPerSecond and shortNoticesPerSecond are the rate limits, and the burst
	// sizes, of one VM's notices: of all, and of those below longNoticeTokens.
	noticesPerSecond      = 16
	shortNoticesPerSecond = 12
	// maxDigestEntries is the maximum number of entries in a digest; the most recently
	// changed endpoints take precedence.
	maxDigestEntries = 16
	// digestRetention is how long an endpoint remains in the digests after its last
	// change, so that every peer receives the change.
	digestRetention = 10 * time.Second
)

// DigestEntry is what a VM has sent to one endpoint since it started. It has totals
// rather than changes, so lost and repeated digests do no harm.
type DigestEntry struct {
	Endpoint string `json:"e"`
	// Tokens is the total prefill sent, in tokens, by priority.
	Tokens [2]int64 `json:"t"`
	// Held is the KV memory of the VM's in-flight attempts there, in tokens.
	Held int64 `json:"h,omitempty"`
}

// Digest summarises what a VM has sent to endpoints. A notice is a Digest with one
// entry.
type Digest struct {
	// AtMs is the time of the digest by the VM's clock, in milliseconds since the
	// epoch.
	AtMs int64 `json:"at"`
	// StartedMs identifies the process that counts the totals: when it started, in
	// milliseconds since the epoch. It is zero for VMs of earlier builds.
	StartedMs int64         `json:"s,omitempty"`
	Entries   []DigestEntry `json:"n"`
}

// sendTotals is what this VM has sent to an endpoint since it started.
type sendTotals struct {
	entry     DigestEntry
	changedAt time.Time
}

func (t *sendTotals) add(now time.Time, priority wire.Priority, work, held int64) {
	t.entry.Tokens[priority] += work
	t.entry.Held += held
	t.changedAt = now
}

// Digest returns the JSON digest of the endpoints whose totals changed within
// digestRetention; nil if there are none.
func (f *Fleet) Digest() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var recent []*sendTotals
	for _, st := range f.states {
		if now.Sub(st.ownTotals.changedAt) < digestRetention {
			recent = append(recent, &st.ownTotals)
		}
	}
	if len(recent) == 0 {
		return nil
	}
	slices.SortFunc(recent, func(a, b *sendTotals) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.entry.Endpoint, b.entry.Endpoint))
	})
	d := Digest{AtMs: now.UnixMilli(), StartedMs: f.startedMs}
	for _, t := range recent[:min(len(recent), maxDigestEntries)] {
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

// ApplyPeerDigest applies a peer's digest. It ignores digests that cannot be decoded or are
// older than the peer's last one, and endpoints without state on this VM.
func (f *Fleet) ApplyPeerDigest(vm string, data []byte) {
	var d Digest
	if json.Unmarshal(data, &d) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.AtMs < f.lastDigestMs[vm] {
		return
	}
	f.lastDigestMs[vm] = d.AtMs
	if d.StartedMs != f.peerStartedMs[vm] {
		f.peerStartedMs[vm] = d.StartedMs
		f.dropPeerTotals(vm)
	}
	at := time.UnixMilli(d.AtMs)
	for _, e := range d.Entries {
		if st := f.states[e.Endpoint]; st != nil {
			st.applyPeerEntry(at, vm, e)
		}
	}
}

// dropPeerTotals drops the last entries of a peer, whose totals start anew. The caller
// holds f.mu.
func (f *Fleet) dropPeerTotals(vm string) {
	for _, st := range f.states {
		delete(st.peerTotals, vm)
	}
}

// applyPeerEntry applies the change since the peer's last entry for the endpoint. The
// first entry of a peer, and the first after it restarted, is the baseline for later ones
// and is not applied itself.
func (s *endpointState) applyPeerEntry(at time.Time, vm string, e DigestEntry) {
	last, found := s.peerTotals[vm]
	if s.peerTotals == nil {
		s.peerTotals = make(map[string]DigestEntry)
	}
	s.peerTotals[vm] = e
	if !found || e.Tokens[0] < last.Tokens[0] || e.Tokens[1] < last.Tokens[1] {
		return
	}
	held := e.Held - last.Held
	for priority := range e.Tokens {
		work := e.Tokens[priority] - last.Tokens[priority]
		if work > 0 || held != 0 {
			s.model.PeerSent(at, work, held, wire.Priority(priority))
		}
		held = 0
	}
}

// SetNotify sets the function that sends a notice to the peers. It is called with the
// Fleet locked and must not block.
func (f *Fleet) SetNotify(notify func(digest []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify = notify
}

// notifyPeers sends the peers a notice of the endpoint's totals, within the rate limits,
// if work is at least minNoticeTokens. The caller holds f.mu.
func (f *Fleet) notifyPeers(now time.Time, st *endpointState, work int64) {
	if f.notify == nil || work < minNoticeTokens {
		return
	}
	if work < longNoticeTokens && !f.shortNotices.AllowN(now, 1) || !f.notices.AllowN(now, 1) {
		return
	}
	d := Digest{AtMs: now.UnixMilli(), StartedMs: f.startedMs, Entries: []DigestEntry{st.ownTotals.entry}}
	f.notify(d.encode())
}
