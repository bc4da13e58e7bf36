package membership

import (
	"bytes"
	"encoding/json"
)

// maxNoteBytes bounds the key and the value of a note together, so that it fits into a
// message.
const maxNoteBytes = 220

// Status is the state of a VM as seen by other VMs.
type Status uint8

// The statuses in ascending order of precedence: within an incarnation and
// refutation count, the higher one prevails.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusDead
)

// String returns the name of the status; it implements fmt.Stringer.
func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusSuspect:
		return "suspect"
	}
	return "dead"
}

// Record is the known state of one VM.
type Record struct {
	ID            string `json:"id"`
	Address       string `json:"a"`
	FailureDomain string `json:"d,omitempty"`
	Region        string `json:"r,omitempty"`
	// Incarnation increases with every start of the VM.
	Incarnation int64 `json:"i"`
	// Refutations increases when the VM refutes a suspicion. It starts at zero in
	// every incarnation.
	Refutations uint32 `json:"b,omitempty"`
	Status      Status `json:"s,omitempty"`
	// Leaving reports that the VM is shutting down. It stays set for the rest of
	// the incarnation.
	Leaving bool `json:"l,omitempty"`
}

// Merge returns the combination of two records of a VM. It is commutative,
// associative and idempotent, so that the result does not depend on the order in
// which updates arrive, nor on duplicates.
func Merge(a, b Record) Record {
	if a.Incarnation != b.Incarnation {
		return later(a, b)
	}
	merged := stronger(a, b)
	merged.Leaving = a.Leaving || b.Leaving
	return merged
}

func later(a, b Record) Record {
	if a.Incarnation > b.Incarnation {
		return a
	}
	return b
}

// stronger returns the record with the higher refutation count or, if these are
// equal, the one whose status takes precedence. The remaining comparisons only
// make the choice deterministic.
func stronger(a, b Record) Record {
	switch {
	case a.Refutations != b.Refutations:
		return pick(a.Refutations > b.Refutations, a, b)
	case a.Status != b.Status:
		return pick(a.Status > b.Status, a, b)
	case a.Address != b.Address:
		return pick(a.Address > b.Address, a, b)
	case a.FailureDomain != b.FailureDomain:
		return pick(a.FailureDomain > b.FailureDomain, a, b)
	}
	return pick(a.Region >= b.Region, a, b)
}

func pick(first bool, a, b Record) Record {
	if first {
		return a
	}
	return b
}

// Mark states that an endpoint is leaving. It holds for one incarnation of the
// endpoint and is never revoked.
type Mark struct {
	Endpoint    string `json:"e"`
	Incarnation string `json:"i,omitempty"`
}

// Note is a value that all VMs share under a key. Of two notes with a key, the one with
// the higher version holds.
type Note struct {
	Key     string `json:"k"`
	Version int64  `json:"v"`
	// Value is opaque to this package.
	Value json.RawMessage `json:"d"`
}

// Valid reports whether VMs accept the note.
func (n Note) Valid() bool {
	return n.Key != "" && len(n.Key)+len(n.Value) <= maxNoteBytes && json.Valid(n.Value)
}

// supersedes reports whether the note holds in place of another one with its key. Notes
// of one version differ only if two VMs wrote them; which of them holds is arbitrary,
// but the same for all VMs.
func (n Note) supersedes(other Note) bool {
	if n.Version != other.Version {
		return n.Version > other.Version
	}
	return bytes.Compare(n.Value, other.Value) > 0
}

// Update is one piece of gossip: a record, a mark or a note. VMs of earlier builds ignore
// notes.
type Update struct {
	Record *Record `json:"r,omitempty"`
	Mark   *Mark   `json:"m,omitempty"`
	Note   *Note   `json:"n,omitempty"`
}

// key identifies the VM, the endpoint incarnation or the note that the update is about.
// In the queue, an update replaces an earlier one with the same key.
func (u Update) key() string {
	switch {
	case u.Record != nil:
		return "vm/" + u.Record.ID
	case u.Note != nil:
		return "note/" + u.Note.Key
	}
	return "endpoint/" + u.Mark.Endpoint + "/" + u.Mark.Incarnation
}

// size returns an upper bound on the encoded size of the update in bytes.
func (u Update) size() int {
	const framing = 80
	if u.Record != nil {
		return framing + len(u.Record.ID) + len(u.Record.Address) + len(u.Record.FailureDomain) + len(u.Record.Region)
	}
	if u.Note != nil {
		return framing + len(u.Note.Key) + len(u.Note.Value)
	}
	return framing/2 + len(u.Mark.Endpoint) + len(u.Mark.Incarnation)
}

// valid reports whether the update holds exactly one record, mark or note, with its
// identifier set and a known status.
func (u Update) valid() bool {
	switch {
	case u.Record != nil:
		return u.Mark == nil && u.Note == nil && u.Record.ID != "" && u.Record.Status <= StatusDead
	case u.Note != nil:
		return u.Mark == nil && u.Note.Valid()
	}
	return u.Mark != nil && u.Mark.Endpoint != ""
}

// Message is the content of a probe and of its reply.
type Message struct {
	From Record `json:"f"`
	// Configuration is the newest configuration version that the sender has seen.
	Configuration int64 `json:"c,omitempty"`
	// Digest is a short summary of the sender's state, such as its load. It is
	// opaque to this package.
	Digest  []byte   `json:"g,omitempty"`
	Updates []Update `json:"n,omitempty"`
}
