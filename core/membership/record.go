package membership

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

// Update is one piece of gossip: either a record or a mark.
type Update struct {
	Record *Record `json:"r,omitempty"`
	Mark   *Mark   `json:"m,omitempty"`
}

// key identifies the VM or the endpoint incarnation that the update is about. In
// the queue, an update replaces an earlier one with the same key.
func (u Update) key() string {
	if u.Record != nil {
		return "vm/" + u.Record.ID
	}
	return "endpoint/" + u.Mark.Endpoint + "/" + u.Mark.Incarnation
}

// size returns an upper bound on the encoded size of the update in bytes.
func (u Update) size() int {
	const framing = 80
	if u.Record != nil {
		return framing + len(u.Record.ID) + len(u.Record.Address) + len(u.Record.FailureDomain) + len(u.Record.Region)
	}
	return framing/2 + len(u.Mark.Endpoint) + len(u.Mark.Incarnation)
}

// valid reports whether the update holds exactly one record or mark, with its
// identifier set and a known status.
func (u Update) valid() bool {
	if u.Record != nil {
		return u.Mark == nil && u.Record.ID != "" && u.Record.Status <= StatusDead
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
