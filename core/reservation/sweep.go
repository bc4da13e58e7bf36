package reservation

import "cornelsaddle.example/cornelsaddle/core/wire"

// Ownership is what is known of a reservation's owner.
type Ownership int

// The kinds of ownership.
const (
	// Unsure owners may live: their reservations are left to their time limit.
	Unsure Ownership = iota
	// Owned reservations belong to a request that their VM knows.
	Owned
	// Abandoned reservations belong to a VM or an incarnation that is gone, or
	// to a request that its VM does not know.
	Abandoned
)

// Sweep lists the reservations of one endpoint that nobody will give back. None
// that a live stream uses is among them: neither the stream's own, nor those of
// the other members of its group, which leadInUse tells.
func Sweep(held []wire.Reservation, owner func(wire.Owner) Ownership, leadInUse func(wire.Reservation) bool) []string {
	var free []string
	for _, r := range held {
		if r.InUse || owner(r.Owner) != Abandoned {
			continue
		}
		if r.Lead != "" && leadInUse(r) {
			continue
		}
		free = append(free, r.ID)
	}
	return free
}
