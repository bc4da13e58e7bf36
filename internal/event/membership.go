package event

import "github.com/apex/log"

// membershipEvents lists one event of each kind of this file; numbers 500 to 549.
var membershipEvents = []Event{MemberChanged{}, EndpointMarked{}}

// MemberChanged is written when an entry VM is seen otherwise than before.
type MemberChanged struct {
	Member      string `log:"member"`
	Status      string `log:"status"`
	Leaving     bool   `log:"leaving"`
	Incarnation int64  `log:"incarnation"`
}

// Def implements Event.
func (MemberChanged) Def() Def {
	return Def{500, "member_changed", log.InfoLevel, "An entry VM came, is suspected, died, came back or shuts down."}
}

// EndpointMarked is written when this VM learns that an endpoint leaves.
type EndpointMarked struct {
	Endpoint    string `log:"endpoint"`
	Incarnation string `log:"incarnation"`
}

// Def implements Event.
func (EndpointMarked) Def() Def {
	return Def{501, "endpoint_marked", log.InfoLevel, "An endpoint leaves and gets no new work in this incarnation."}
}
