package fleet

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// DigestEntry is the prefill that a VM sent to one endpoint, by priority, in
// tokens.
type DigestEntry struct {
	Endpoint string   `json:"endpoint"`
	Tokens   [2]int64 `json:"tokens"`
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
		if st.sent == [2]int64{} {
			continue
		}
		d.Entries = append(d.Entries, DigestEntry{id, st.sent})
		st.sent = [2]int64{}
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
		for priority, tokens := range e.Tokens {
			if tokens > 0 {
				st.known.PeerSent(at, tokens, wire.Priority(priority))
			}
		}
	}
}
