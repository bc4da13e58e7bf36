package fleet

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// noticeTokens is the prefill from which on peers are told of a prompt at once,
// and not with the next digest.
const noticeTokens = 8 << 10

// DigestEntry is the prefill that a VM sent to one endpoint, by priority, and by
// how much the memory that it holds there changed, in tokens.
type DigestEntry struct {
	Endpoint string   `json:"endpoint"`
	Tokens   [2]int64 `json:"tokens"`
	Held     int64    `json:"held,omitempty"`
}

// Digest is what a VM sent since its last digest, so that its peers need not
// wait for the endpoints' own reports.
type Digest struct {
	// AtMs is the VM's clock when the digest was taken, in milliseconds since
	// the epoch.
	AtMs    int64         `json:"at_ms"`
	Entries []DigestEntry `json:"entries"`
}

// TakeDigest returns what this VM sent since the last call, at most limit
// endpoints of it; the rest is kept for the next.
func (f *Fleet) TakeDigest(limit int) Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Digest{AtMs: time.Now().UnixMilli()}
	for id, st := range f.states {
		if len(d.Entries) == limit {
			break
		}
		if st.sent == [2]int64{} && st.held == 0 {
			continue
		}
		d.Entries = append(d.Entries, DigestEntry{id, st.sent, st.held})
		st.sent, st.held = [2]int64{}, 0
	}
	return d
}

// PeerDigest takes a peer's digest. Endpoints that this VM does not have in
// view are passed over.
func (f *Fleet) PeerDigest(d Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := time.UnixMilli(d.AtMs)
	for _, e := range d.Entries {
		st := f.states[e.Endpoint]
		if st == nil {
			continue
		}
		st.known.PeerSent(at, e.Tokens[wire.PriorityLow], e.Held, wire.PriorityLow)
		st.known.PeerSent(at, e.Tokens[wire.PriorityHigh], 0, wire.PriorityHigh)
	}
}

// SetNotify sets what tells the peers of a long prefill at once. It is called
// with the fleet locked and must not wait.
func (f *Fleet) SetNotify(notify func(DigestEntry)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify = notify
}

// entry is the notice of one long prefill, with the memory not told yet.
func (s *state) entry(id string, priority wire.Priority, work int64) DigestEntry {
	e := DigestEntry{Endpoint: id, Held: s.held}
	e.Tokens[priority] = work
	s.held = 0
	return e
}
