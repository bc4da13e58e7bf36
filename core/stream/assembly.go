package stream

import "strconv"

// Verdict is the decision on how an event is handled.
type Verdict int

// The verdicts.
const (
	// Drop means that the event is a duplicate, malformed, or of another request
	// or attempt.
	Drop Verdict = iota
	// Deliver means that the token is the next one to send to the caller.
	Deliver
	// Gap means that the attempt lost a token and must be abandoned.
	Gap
	// Complete means that the answer is complete: it has ended and no token is
	// missing.
	Complete
)

// maxIndex limits the index of a token, so that parsing cannot overflow an int64.
const maxIndex = 1 << 40

// Assembly tracks the progress of one answer. It is not safe for concurrent use.
type Assembly struct {
	request  string
	prefix   []byte
	next     int64
	complete bool
}

// New returns an Assembly for the answer to the request with the given id. It
// drops all events until Attempt is called.
func New(request string) *Assembly { return &Assembly{request: request} }

// Attempt sets the current attempt; events of other attempts are dropped.
func (a *Assembly) Attempt(number int) {
	a.prefix = append(a.prefix[:0], a.request...)
	a.prefix = append(a.prefix, '/')
	a.prefix = strconv.AppendInt(a.prefix, int64(number), 10)
	a.prefix = append(a.prefix, '/')
}

// Delivered returns the number of tokens delivered so far, over all attempts.
func (a *Assembly) Delivered() int64 { return a.next }

// Token returns how to handle a token whose event has the given id.
func (a *Assembly) Token(id []byte) Verdict {
	index, ok := a.index(id)
	switch {
	case !ok || index < a.next:
		return Drop
	case index > a.next:
		return Gap
	}
	a.next++
	return Deliver
}

// End returns how to handle an end marker whose event has the given id. The
// index of the id is the number of tokens of the complete answer.
func (a *Assembly) End(id []byte) Verdict {
	index, ok := a.index(id)
	switch {
	case !ok:
		return Drop
	case index != a.next:
		return Gap
	}
	a.complete = true
	return Complete
}

// index parses the index from the id of an event of the current attempt. It
// reports false for any other id, and once the answer is complete.
func (a *Assembly) index(id []byte) (int64, bool) {
	n := len(a.prefix)
	if a.complete || n == 0 || len(id) <= n || string(id[:n]) != string(a.prefix) {
		return 0, false
	}
	index := int64(0)
	for _, c := range id[n:] {
		if c < '0' || c > '9' || index > maxIndex {
			return 0, false
		}
		index = index*10 + int64(c-'0')
	}
	return index, true
}
