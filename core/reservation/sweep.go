package reservation

import "cornelsaddle.example/cornelsaddle/core/wire"

// Ownership is the status of a reservation's owner.
type Ownership int

// Values of Ownership.
const (
	// OwnerUnknown means that the owner may exist: the reservation is left to expire.
	OwnerUnknown Ownership = iota
	// Owned reservations belong to a request that is active on its VM.
	Owned
	// Orphaned reservations belong to a VM or an incarnation that no longer
	// exists, or to a request that is not active on its VM.
	Orphaned
)

// Sweep returns the IDs of the abandoned reservations at one endpoint. It skips
// reservations that a live stream uses: those marked as in use, and those whose
// group has a lead for which leadInUse reports true.
func Sweep(held []wire.Reservation, owner func(wire.Owner) Ownership, leadInUse func(wire.Reservation) bool) []string {
	var free []string
	for _, r := range held {
		if r.InUse || owner(r.Owner) != Orphaned {
			continue
		}
		if r.Lead != "" && leadInUse(r) {
			continue
		}
		free = append(free, r.ID)
	}
	return free
}
