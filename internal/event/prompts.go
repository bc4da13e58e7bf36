package event

import "github.com/apex/log"

// promptsEvents lists the event types for prompts, numbers 300 to 349.
var promptsEvents = []Event{RequestFailed{}, AttemptFailed{}, ReservationSwept{}}

// RequestFailed is emitted when a request fails.
type RequestFailed struct {
	Request      string `log:"request"`
	Organisation string `log:"organisation"`
	Code         string `log:"code"`
}

// Def implements Event.
func (RequestFailed) Def() Def {
	return Def{300, "request_failed", log.InfoLevel, "A request failed."}
}

// AttemptFailed is emitted when one attempt of a request fails.
type AttemptFailed struct {
	Organisation string `log:"organisation"`
	Request      string `log:"request"`
	Attempt      int    `log:"attempt"`
	Endpoint     string `log:"endpoint"`
	Reason       string `log:"reason"`
}

// Def implements Event.
func (AttemptFailed) Def() Def {
	return Def{301, "attempt_failed", log.WarnLevel, "An attempt failed; the request may be retried."}
}
