package event

import "github.com/apex/log"

// ReservationSwept is written when memory without an owner is given back.
type ReservationSwept struct {
	Endpoint    string `log:"endpoint"`
	Reservation string `log:"reservation"`
	Freed       bool   `log:"freed"`
}

// Def implements Event.
func (ReservationSwept) Def() Def {
	return Def{310, "reservation_swept", log.WarnLevel, "Memory at an engine had no owner any more and was given back."}
}
