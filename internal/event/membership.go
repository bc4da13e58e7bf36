package event

import "github.com/apex/log"

// membershipEvents lists the event types of this file, numbers 500 to 549.
var membershipEvents = []Event{MemberChanged{}, EndpointMarked{}}

// MemberChanged is emitted when the membership record of an entry VM changes.
type MemberChanged struct {
	Member      string `log:"member"`
	Status      string `log:"status"`
	Leaving     bool   `log:"leaving"`
	Incarnation int64  `log:"incarnation"`
}

// Def implements Event.
func (MemberChanged) Def() Def {
	return Def{500, "member_changed", log.InfoLevel, "An entry VM joined, is suspected, is dead, is alive again or is shutting down."}
}

// EndpointMarked is emitted when this VM receives the mark of a leaving
// endpoint.
type EndpointMarked struct {
	Endpoint    string `log:"endpoint"`
	Incarnation string `log:"incarnation"`
}

// Def implements Event.
func (EndpointMarked) Def() Def {
	return Def{501, "endpoint_marked", log.InfoLevel, "An endpoint is leaving and is assigned no new work in this incarnation."}
}
