package event

import "github.com/apex/log"

// callsEvents lists one event of each kind of this file; numbers 400 to 449.
var callsEvents = []Event{CallUnknown{}, CallUnrecorded{}, CallsSwept{}, CallsNotSwept{}}

// CallUnknown is written when the answer to a call that may not be repeated is
// lost.
type CallUnknown struct {
	Request      string `log:"request"`
	Organisation string `log:"organisation"`
	Service      string `log:"service"`
	Row          string `log:"row"`
	Reason       string `log:"reason"`
}

// Def implements Event.
func (CallUnknown) Def() Def {
	return Def{400, "call_unknown", log.WarnLevel, "A call that may not be repeated was sent and its answer was lost; it may have run."}
}

// CallUnrecorded is written when the outcome of a call can't be recorded.
type CallUnrecorded struct {
	Request      string `log:"request"`
	Organisation string `log:"organisation"`
	Service      string `log:"service"`
	Row          string `log:"row"`
	Status       string `log:"status"`
}

// Def implements Event.
func (CallUnrecorded) Def() Def {
	return Def{401, "call_unrecorded", log.WarnLevel, "The outcome of a call could not be recorded; repeats of its key are told that it is unknown."}
}

// CallsSwept is written after a pass over the calls' rows that removed some.
type CallsSwept struct {
	Rows    int `log:"rows"`
	Removed int `log:"removed"`
}

// Def implements Event.
func (CallsSwept) Def() Def {
	return Def{402, "calls_swept", log.InfoLevel, "Expired records of calls were removed."}
}

// CallsNotSwept is written when a pass over the calls' rows fails.
type CallsNotSwept struct {
	Reason string `log:"reason"`
}

// Def implements Event.
func (CallsNotSwept) Def() Def {
	return Def{403, "calls_not_swept", log.WarnLevel, "Expired records of calls could not be removed; the next pass goes on."}
}
