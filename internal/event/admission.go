package event

import "github.com/apex/log"

// admissionEvents lists the event types of this file, numbers 770 to 779: requests from their head
// to the end of their body.
var admissionEvents = []Event{RequestResolvedAgain{}}

// RequestResolvedAgain is emitted when the configuration has changed while the body of a request
// arrived.
type RequestResolvedAgain struct {
	Request string `log:"request"`
	// Route is the request's route in the version in force, Version, and Was the version in
	// which its route and key were looked up first.
	Route   string `log:"route"`
	Version int64  `log:"version"`
	Was     int64  `log:"was"`
}

// Def implements Event.
func (RequestResolvedAgain) Def() Def {
	return Def{770, "request_resolved_again", log.InfoLevel, "The configuration has changed while the body of the request arrived: its route, key and limits are those of version, in place of was. A request that version doesn't allow is rejected without this event."}
}
