package event

import "github.com/apex/log"

// ReservationSwept is emitted when a memory reservation without an owner is to
// be released.
type ReservationSwept struct {
	Endpoint    string `log:"endpoint"`
	Reservation string `log:"reservation"`
	Freed       bool   `log:"freed"`
}

// Def implements Event.
func (ReservationSwept) Def() Def {
	return Def{310, "reservation_swept", log.WarnLevel, "A memory reservation at an engine no longer had an owner; freed reports whether it was released."}
}
