package membership

// Status is how a VM is seen.
type Status uint8

// The statuses, from the weakest claim to the strongest.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusDead
)

// String returns the status's name.
func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusSuspect:
		return "suspect"
	}
	return "dead"
}

// Record is what is known of one VM.
type Record struct {
	ID            string `json:"id"`
	Address       string `json:"a"`
	FailureDomain string `json:"d,omitempty"`
	Region        string `json:"r,omitempty"`
	// Incarnation grows with every start of the VM.
	Incarnation int64 `json:"i"`
	// Beat grows when the VM refutes a suspicion; it starts at zero in every
	// incarnation.
	Beat   uint32 `json:"b,omitempty"`
	Status Status `json:"s,omitempty"`
	// Leaving says that the VM shuts down. It holds for the rest of the
	// incarnation.
	Leaving bool `json:"l,omitempty"`
}

// Join returns what both records together say. It is commutative, associative
// and idempotent, so that the order in which news arrives, and how often, makes
// no difference.
func Join(a, b Record) Record {
	if a.Incarnation != b.Incarnation {
		return later(a, b)
	}
	joined := stronger(a, b)
	joined.Leaving = a.Leaving || b.Leaving
	return joined
}

func later(a, b Record) Record {
	if a.Incarnation > b.Incarnation {
		return a
	}
	return b
}

// stronger prefers the later beat and, within a beat, the stronger claim. The
// rest of the order only makes the choice definite.
func stronger(a, b Record) Record {
	switch {
	case a.Beat != b.Beat:
		return pick(a.Beat > b.Beat, a, b)
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

// Mark says that an endpoint leaves. It holds for the endpoint's incarnation
// and is never taken back.
type Mark struct {
	Endpoint    string `json:"e"`
	Incarnation string `json:"i,omitempty"`
}

// News is one thing to tell: a record or a mark.
type News struct {
	Record *Record `json:"r,omitempty"`
	Mark   *Mark   `json:"m,omitempty"`
}

// subject names what the news is about; later news of a subject replaces
// earlier news.
func (n News) subject() string {
	if n.Record != nil {
		return "vm/" + n.Record.ID
	}
	return "endpoint/" + n.Mark.Endpoint + "/" + n.Mark.Incarnation
}

// size bounds the bytes of the news in a message from above.
func (n News) size() int {
	const framing = 80
	if n.Record != nil {
		return framing + len(n.Record.ID) + len(n.Record.Address) + len(n.Record.FailureDomain) + len(n.Record.Region)
	}
	return framing/2 + len(n.Mark.Endpoint) + len(n.Mark.Incarnation)
}

// valid refuses news that says nothing.
func (n News) valid() bool {
	if n.Record != nil {
		return n.Mark == nil && n.Record.ID != "" && n.Record.Status <= StatusDead
	}
	return n.Mark != nil && n.Mark.Endpoint != ""
}

// Message is a probe, and its answer.
type Message struct {
	From Record `json:"f"`
	// Configuration is the newest version that the sender knows of.
	Configuration int64 `json:"c,omitempty"`
	// Digest is the sender's account of its load, opaque here.
	Digest []byte `json:"g,omitempty"`
	News   []News `json:"n,omitempty"`
}
