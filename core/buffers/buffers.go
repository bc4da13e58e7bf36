// Package buffers decides how the memory that a VM has for buffers is shared between the bodies
// of requests and the responses of endpoints, and which response gives way when it is used up.
package buffers

// Class is what a buffer is for.
type Class uint8

// Classes of buffers.
const (
	// Requests are the bodies of callers' requests.
	Requests Class = iota
	// Responses are the heads, bodies and events of endpoints' responses.
	Responses
	classes
)

// Usage has the bytes that the buffers of each class hold.
type Usage [classes]int64

// Total returns the bytes of all classes.
func (u Usage) Total() int64 { return u[Requests] + u[Responses] }

// Policy shares the memory for buffers.
type Policy struct {
	// Limit is the number of bytes of all buffers together; zero or less for no limit.
	Limit int64
	// Kept is the fraction of Limit that is kept for each class, whatever the other one holds.
	Kept float64
	// Small is the fraction of the bytes of a class up to which a request's body counts as small,
	// and KeptForSmall the fraction that is kept for these, whatever the larger ones hold.
	Small, KeptForSmall float64
	// Replaceable is the fraction of the bytes of a class up to which a response is buffered
	// only so that it can still be replaced by another endpoint's.
	Replaceable float64
	// Room is the fraction of Limit below which there is room again after it was used up.
	Room float64
}

// DefaultPolicy returns the policy of a VM with the limit.
func DefaultPolicy(limit int64) Policy {
	return Policy{Limit: limit, Kept: 0.25, Small: 1.0 / 128, KeptForSmall: 1.0 / 8, Replaceable: 0.5, Room: 0.5}
}

// share returns the bytes that a class may hold.
func (p Policy) share() float64 { return float64(p.Limit) * (1 - p.Kept) }

// Fits reports whether a buffer of the class may grow by n bytes, to size bytes in all.
func (p Policy) Fits(u Usage, c Class, n, size int64) bool {
	if p.Limit <= 0 {
		return true
	}
	share := p.share()
	if c == Requests && float64(size) > share*p.Small {
		share *= 1 - p.KeptForSmall
	}
	return u.Total()+n <= p.Limit && float64(u[c]+n) <= share
}

// FitsReplaceable is Fits for the buffer of a response that can also be delivered as it arrives.
func (p Policy) FitsReplaceable(u Usage, c Class, n, size int64) bool {
	return p.Fits(u, c, n, size) && (p.Limit <= 0 || float64(u[c]+n) <= p.share()*p.Replaceable)
}

// HasRoom reports whether there is room again after the memory was used up.
func (p Policy) HasRoom(u Usage) bool {
	return p.Limit <= 0 || float64(u.Total()) <= float64(p.Limit)*p.Room
}

// GivesWay returns the index of the response that gives way to one that needs to hold the given
// bytes: the largest one, if it is larger than that. It returns -1 if there is none.
func GivesWay(needs int64, held []int64) int {
	largest := -1
	for i, bytes := range held {
		if bytes > needs && (largest < 0 || bytes > held[largest]) {
			largest = i
		}
	}
	return largest
}
