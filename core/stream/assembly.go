package stream

import "strconv"

// Verdict is what is to be done with an event.
type Verdict int

// The verdicts.
const (
	// Dropped events are another request's, another attempt's, or duplicates.
	Dropped Verdict = iota
	// Deliver says that the token is the caller's next one.
	Deliver
	// Gap says that the attempt lost a token: it can't be gone on with.
	Gap
	// Whole says that the answer ended and nothing is missing.
	Whole
)

// maxIndex bounds the index of a token, far below where it would overflow.
const maxIndex = 1 << 40

// Assembly is one answer. It is not safe for concurrent use.
type Assembly struct {
	request string
	prefix  []byte
	next    int64
	whole   bool
}

// New returns the answer to the request, without tokens and attempts.
func New(request string) *Assembly { return &Assembly{request: request} }

// Attempt makes number the current attempt: from now on only its events count.
func (a *Assembly) Attempt(number int) {
	a.prefix = append(a.prefix[:0], a.request...)
	a.prefix = append(a.prefix, '/')
	a.prefix = strconv.AppendInt(a.prefix, int64(number), 10)
	a.prefix = append(a.prefix, '/')
}

// Delivered is the number of tokens that were delivered.
func (a *Assembly) Delivered() int64 { return a.next }

// Token judges a token by its event's id.
func (a *Assembly) Token(id []byte) Verdict {
	index, ok := a.index(id)
	switch {
	case !ok || index < a.next:
		return Dropped
	case index > a.next:
		return Gap
	}
	a.next++
	return Deliver
}

// End judges an end marker by its event's id, whose index is the number of
// tokens of the whole answer.
func (a *Assembly) End(id []byte) Verdict {
	index, ok := a.index(id)
	switch {
	case !ok:
		return Dropped
	case index != a.next:
		return Gap
	}
	a.whole = true
	return Whole
}

// index reads the id of an event of the current attempt.
func (a *Assembly) index(id []byte) (int64, bool) {
	n := len(a.prefix)
	if a.whole || n == 0 || len(id) <= n || string(id[:n]) != string(a.prefix) {
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
