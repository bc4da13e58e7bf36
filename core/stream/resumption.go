package stream

import (
	"bytes"
	"strconv"
)

var idField = []byte("id:")

// Position is how far a stream has been delivered, by the IDs of its events. The zero value
// is its beginning.
type Position struct {
	// LastID is the ID of the last event; empty if there was none.
	LastID string
	// number is LastID as a number, and counted is set while each ID has been the number
	// after the one before it.
	number  int64
	counted bool
}

// Advance moves the position to the event with the ID.
func (p *Position) Advance(id string) {
	n, err := strconv.ParseInt(id, 10, 64)
	p.counted = err == nil && p.LastID != "" && n == p.number+1
	p.LastID, p.number = id, n
}

// follows reports whether an event with the ID may come next.
func (p *Position) follows(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	_, lastErr := strconv.ParseInt(p.LastID, 10, 64)
	switch {
	case lastErr != nil:
		return id != "" && id != p.LastID
	case err != nil:
		return false
	case p.counted:
		return n == p.number+1
	}
	return n > p.number
}

// Resumption checks that the events of a stream go on at a position.
type Resumption struct {
	from   Position
	proven bool
}

// NewResumption returns the Resumption of a stream at the position.
func NewResumption(from Position) *Resumption { return &Resumption{from: from} }

// Proven reports whether an event has been accepted.
func (r *Resumption) Proven() bool { return r.proven }

// Accept reports whether complete events may be delivered: the first one has the ID that
// follows. Comments may come before it.
func (r *Resumption) Accept(events []byte) bool {
	if r.proven {
		return true
	}
	id, found := firstID(events)
	if !found {
		return true
	}
	r.proven = r.from.follows(id)
	return r.proven
}

// firstID returns the ID of the first of the events, which is empty if it has none; found is
// false if there are only comments and blank lines.
func firstID(events []byte) (id string, found bool) {
	for len(events) > 0 {
		line, rest := cutLine(events)
		events = rest
		if id, hasID := ID(line); hasID {
			return id, true
		}
		switch {
		case len(line) == 0 && found:
			return "", true
		case len(line) > 0 && line[0] != ':':
			found = true
		}
	}
	return "", found
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	n := bytes.IndexAny(b, lineEnds)
	if n < 0 {
		return b, nil
	}
	line, rest = b[:n], b[n+1:]
	if b[n] == '\r' && len(rest) > 0 && rest[0] == '\n' {
		rest = rest[1:]
	}
	return line, rest
}

// ID returns the ID of an event that a line states, and false if it states none.
func ID(line []byte) (string, bool) {
	value, found := bytes.CutPrefix(line, idField)
	return string(bytes.TrimSpace(value)), found
}
