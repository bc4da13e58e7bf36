// Package membudget bounds the bytes that the buffers of a process hold together. A buffer takes
// its memory as it grows; core/buffers decides who gets it.
package membudget

import (
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/buffers"
)

// Uncounted is the number of bytes of each buffer that are not counted. It keeps small responses and
// requests, the most of them, from the lock of the budget.
const Uncounted = 8 << 10

// UsedUpError reports that the memory for buffers is used up: the buffer could not grow, or had to
// give way to another one.
type UsedUpError struct {
	// Bytes is the size of the buffer, and GaveWay whether it had been granted.
	Bytes   int
	GaveWay bool
}

// Error implements error.
func (e *UsedUpError) Error() string {
	if e.GaveWay {
		return "the memory for buffers is used up: a response of " + strconv.Itoa(e.Bytes) + " bytes gave way"
	}
	return "the memory for buffers is used up: no room for " + strconv.Itoa(e.Bytes) + " bytes"
}

// Report is the state of a budget, and what became of the buffers for which it had no room.
type Report struct {
	Limit int64
	// Requests and Responses are the bytes in use.
	Requests, Responses int64
	// Refused is the number of requests whose body had no room, Failed that of responses that
	// could not grow or gave way, and Unbuffered that of responses that were delivered as they
	// arrived or not retained, all since the start of the process.
	Refused, Failed, Unbuffered int64
}

// Budget is the memory for the buffers of a process. It is safe for concurrent use. A nil Budget
// has no limit and counts nothing.
type Budget struct {
	// usedUp is called with the state when the memory is used up, once until Settle finds room
	// again.
	usedUp func(Report)

	mu     sync.Mutex
	policy buffers.Policy
	usage  buffers.Usage
	// holders are those with counted bytes.
	holders map[*Holder]struct{}
	// exhausted is set from the first buffer that finds no room until there is room again, and
	// before is the state in which it found none.
	exhausted bool
	before    Report

	refused, failed, unbuffered int64
}

// New returns a Budget without a limit. usedUp is called when it is used up, with the state before
// the first buffer that found no room, and must not block.
func New(usedUp func(Report)) *Budget {
	return &Budget{usedUp: usedUp, policy: buffers.DefaultPolicy(0), holders: make(map[*Holder]struct{})}
}

// SetLimit sets the number of bytes of all buffers together. Buffers that exceed a lower limit
// stay; none grows until they are gone.
func (b *Budget) SetLimit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy = buffers.DefaultPolicy(bytes)
}

// Report returns the state.
func (b *Budget) Report() Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.report()
}

func (b *Budget) report() Report {
	return Report{
		Limit: b.policy.Limit, Requests: b.usage[buffers.Requests], Responses: b.usage[buffers.Responses],
		Refused: b.refused, Failed: b.failed, Unbuffered: b.unbuffered,
	}
}

// Settle reports whether there is room again after the memory was used up; it does so once.
func (b *Budget) Settle() (Report, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.exhausted || !b.policy.HasRoom(b.usage) {
		return Report{}, false
	}
	b.exhausted = false
	return b.report(), true
}

// RequestFits reports whether a request's body of the size has room now. If it has not, the
// request counts as refused.
func (b *Budget) RequestFits(bytes int64) bool {
	if b == nil || bytes <= Uncounted {
		return true
	}
	b.mu.Lock()
	if b.policy.Fits(b.usage, buffers.Requests, bytes-Uncounted, bytes) {
		b.mu.Unlock()
		return true
	}
	began := b.exhaust()
	b.refused++
	b.mu.Unlock()
	b.announce(began)
	return false
}

// exhaust records that a buffer found no room. It reports whether that begins now, which is to be
// announced without the lock. The caller holds mu.
func (b *Budget) exhaust() (began bool) {
	if b.exhausted {
		return false
	}
	b.exhausted, b.before = true, b.report()
	return true
}

// announce calls usedUp if the memory is used up from now on.
func (b *Budget) announce(began bool) {
	if !began {
		return
	}
	b.mu.Lock()
	before := b.before
	b.mu.Unlock()
	b.usedUp(before)
}

// Hold returns a holder without bytes. giveWay is called when a response has to give way, and ends
// the reading of its rest; it must neither block nor use the Budget. Without it the buffer never
// gives way.
func (b *Budget) Hold(class buffers.Class, giveWay func()) *Holder {
	if b == nil {
		return nil
	}
	return &Holder{budget: b, class: class, giveWay: giveWay}
}

// largestBut returns the holder that gives way to h, which needs the given bytes: the largest other
// response that may give way. It returns nil if there is none. The caller holds mu.
func (b *Budget) largestBut(h *Holder, needs int64) *Holder {
	if h.class != buffers.Responses {
		return nil
	}
	candidates := make([]*Holder, 0, len(b.holders))
	held := make([]int64, 0, len(b.holders))
	for other := range b.holders {
		if other != h && other.giveWay != nil && !other.pinned {
			candidates = append(candidates, other)
			held = append(held, other.counted)
		}
	}
	if i := buffers.GivesWay(needs, held); i >= 0 {
		return candidates[i]
	}
	return nil
}

// evict makes a holder give way. The caller holds mu.
func (b *Budget) evict(h *Holder) {
	h.gaveWay = int(h.counted) + Uncounted
	b.remove(h)
	b.failed++
	h.giveWay()
}

// remove takes back all bytes of a holder. The caller holds mu.
func (b *Budget) remove(h *Holder) {
	b.usage[h.class] -= h.counted
	h.counted = 0
	delete(b.holders, h)
}

// Holder holds the bytes of one buffer, or of several that belong together. Its methods are called
// by one goroutine at a time; it may be made to give way by any other. A nil Holder counts
// nothing.
type Holder struct {
	budget  *Budget
	class   buffers.Class
	giveWay func()
	// held are the bytes taken. registered is set once they have exceeded Uncounted; only from then on
	// other goroutines use the holder, and the budget's lock guards the fields below.
	held       int
	registered bool

	// counted are the bytes of the budget's usage, those over Uncounted, and pinned is set between Pin
	// and Unpin.
	counted int64
	pinned  bool
	// gaveWay is the size that the holder had when it gave way; zero if it did not.
	gaveWay int
}

// Grow takes n bytes. The error is a UsedUpError.
func (h *Holder) Grow(n int) error { return h.grow(n, buffers.Policy.Fits, true) }

// GrowReplaceable takes n bytes of a response that could also be delivered as it arrives, if there
// is plenty. The error is a UsedUpError.
func (h *Holder) GrowReplaceable(n int) error {
	return h.grow(n, buffers.Policy.FitsReplaceable, false)
}

type fits func(p buffers.Policy, u buffers.Usage, c buffers.Class, n, size int64) bool

// grow takes n bytes if they fit. must is set if the buffer fails without them, so that others
// give way.
func (h *Holder) grow(n int, fits fits, must bool) error {
	if h == nil {
		return nil
	}
	if !h.registered && h.held+n <= Uncounted {
		h.held += n
		return nil
	}
	h.budget.mu.Lock()
	began, err := h.take(n, fits, must)
	h.budget.mu.Unlock()
	h.budget.announce(began)
	return err
}

// take is grow with the lock held. It reports whether the memory is used up from now on.
func (h *Holder) take(n int, fits fits, must bool) (began bool, err error) {
	if h.gaveWay > 0 {
		return false, h.usedUp()
	}
	b, needs := h.budget, max(int64(h.held+n-Uncounted), 0)
	more := needs - h.counted
	for more > 0 && !fits(b.policy, b.usage, h.class, more, needs) {
		var other *Holder
		if must {
			began = b.exhaust() || began
			other = b.largestBut(h, needs)
		}
		if other == nil {
			h.countRefusal(must)
			return began, errors.WithStack(&UsedUpError{Bytes: h.held + n})
		}
		b.evict(other)
	}
	h.held += n
	h.counted = needs
	b.usage[h.class] += more
	h.registered = true
	b.holders[h] = struct{}{}
	return began, nil
}

// countRefusal counts a buffer that could not grow. The caller holds the budget's lock.
func (h *Holder) countRefusal(must bool) {
	switch {
	case !must:
		h.budget.unbuffered++
	case h.class == buffers.Requests:
		h.budget.refused++
	default:
		h.budget.failed++
	}
}

// usedUp returns the error of a holder that gave way.
func (h *Holder) usedUp() error {
	return errors.WithStack(&UsedUpError{Bytes: h.gaveWay, GaveWay: true})
}

// Shrink gives n bytes back.
func (h *Holder) Shrink(n int) {
	if h == nil {
		return
	}
	h.held -= n
	if !h.registered {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.gaveWay > 0 {
		return
	}
	less := h.counted - max(int64(h.held-Uncounted), 0)
	h.counted -= less
	b.usage[h.class] -= less
}

// Held returns the bytes taken.
func (h *Holder) Held() int {
	if h == nil {
		return 0
	}
	return h.held
}

// Pin keeps the bytes from giving way until Unpin, as they are complete and are delivered. It
// returns a UsedUpError if they already gave way.
func (h *Holder) Pin() error { return h.pin(true) }

// Unpin ends Pin. It returns a UsedUpError if the bytes already gave way.
func (h *Holder) Unpin() error { return h.pin(false) }

func (h *Holder) pin(pinned bool) error {
	if h == nil {
		return nil
	}
	if !h.registered {
		h.pinned = pinned
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.pinned = pinned
	return h.state()
}

// Err returns a UsedUpError if the bytes gave way.
func (h *Holder) Err() error {
	if h == nil || !h.registered {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.state()
}

func (h *Holder) state() error {
	if h.gaveWay > 0 {
		return h.usedUp()
	}
	return nil
}

// Close gives all bytes back. giveWay is not called after it has returned.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.held = 0
	if !h.registered {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.remove(h)
}
