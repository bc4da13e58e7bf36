package event

import (
	"time"

	"github.com/apex/log"
)

// hedgingEvents lists the event types of this file, numbers 760 to 769: requests that are sent to
// another endpoint beside one that does not begin to respond.
var hedgingEvents = []Event{RequestHedged{}, HedgeRefused{}}

// RequestHedged is emitted when a request is sent to another endpoint while the first one has not
// begun to respond.
type RequestHedged struct {
	Request string `log:"request"`
	// Attempt is the number of the attempt at Endpoint, which is asked beside the endpoint Beside.
	Attempt  int    `log:"attempt"`
	Endpoint string `log:"endpoint"`
	Beside   string `log:"beside"`
	// Silent is the time since the request was sent to Beside, and Delay that after which another
	// endpoint was looked for.
	Silent time.Duration `log:"silent"`
	Delay  time.Duration `log:"delay"`
	// Expected is the predicted or usual time to the response; zero if it was not known.
	Expected time.Duration `log:"expected"`
}

// Def implements Event.
func (RequestHedged) Def() Def {
	return Def{760, "request_hedged", log.WarnLevel, "The endpoint beside has not begun to respond for the time silent, where a response was expected after expected; the request is also sent to endpoint. An event 712 of the request tells which of them was ended: that of beside with again, where endpoint has answered first, or that of the attempt."}
}

// HedgeRefused is emitted when an endpoint has not begun to respond in time and no other one may be
// asked.
type HedgeRefused struct {
	Request  string        `log:"request"`
	Attempt  int           `log:"attempt"`
	Endpoint string        `log:"endpoint"`
	Silent   time.Duration `log:"silent"`
	Expected time.Duration `log:"expected"`
	Why      string        `log:"why"`
}

// Def implements Event.
func (HedgeRefused) Def() Def {
	return Def{761, "hedge_refused", log.WarnLevel, "The endpoint has not begun to respond for the time silent, and no other one is asked for the reason why. The search is repeated after as long, while the request waits; it is logged again only for another reason."}
}
