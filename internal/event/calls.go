package event

import "github.com/apex/log"

// callsEvents lists the event types of this file, numbers 400 to 449.
var callsEvents = []Event{CallUnknown{}, CallUnrecorded{}, CallsSwept{}, CallsNotSwept{}}

// CallUnknown is emitted when the answer to a non-idempotent call is lost.
type CallUnknown struct {
	Request      string `log:"request"`
	Organisation string `log:"organisation"`
	Service      string `log:"service"`
	Row          string `log:"row"`
	Reason       string `log:"reason"`
}

// Def implements Event.
func (CallUnknown) Def() Def {
	return Def{400, "call_unknown", log.WarnLevel, "A non-idempotent call was sent and its answer was lost; it may have run."}
}

// CallUnrecorded is emitted when the outcome of a call can't be recorded.
type CallUnrecorded struct {
	Request      string `log:"request"`
	Organisation string `log:"organisation"`
	Service      string `log:"service"`
	Row          string `log:"row"`
	Status       string `log:"status"`
}

// Def implements Event.
func (CallUnrecorded) Def() Def {
	return Def{401, "call_unrecorded", log.WarnLevel, "The outcome of a call could not be recorded; further requests with its key are answered that the outcome is unknown."}
}

// CallsSwept is emitted after a pass over the call records that removed some.
type CallsSwept struct {
	Rows    int `log:"rows"`
	Removed int `log:"removed"`
}

// Def implements Event.
func (CallsSwept) Def() Def {
	return Def{402, "calls_swept", log.InfoLevel, "Expired call records were removed."}
}

// CallsNotSwept is emitted when a pass over the call records fails.
type CallsNotSwept struct {
	Reason string `log:"reason"`
}

// Def implements Event.
func (CallsNotSwept) Def() Def {
	return Def{403, "calls_not_swept", log.WarnLevel, "Expired call records could not be removed; the next pass tries again."}
}
