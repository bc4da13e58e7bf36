package event

import "github.com/apex/log"

// lifecycleEvents lists one event of each kind of this file.
var lifecycleEvents = []Event{Started{}, Stopped{}, Draining{}, Leaving{}, HandOverFailed{}}

// Started is written when a VM begins to listen.
type Started struct {
	Callers string `log:"callers"`
	Admin   string `log:"admin"`
	Peers   string `log:"peers"`
}

// Def implements Event.
func (Started) Def() Def {
	return Def{100, "started", log.InfoLevel, "The VM listens."}
}

// Stopped is written when a VM has finished its last request.
type Stopped struct {
	Cut int `log:"cut"`
}

// Def implements Event.
func (Stopped) Def() Def {
	return Def{101, "stopped", log.InfoLevel, "The VM stopped; cut counts the requests that it cut off."}
}

// Draining is written when a VM begins to shut down.
type Draining struct {
	InFlight int `log:"in_flight"`
}

// Def implements Event.
func (Draining) Def() Def {
	return Def{102, "draining", log.InfoLevel, "The VM takes no new requests and finishes those in flight."}
}

// Leaving is written when a VM is told to shut down.
type Leaving struct {
	InFlight int `log:"in_flight"`
}

// Def implements Event.
func (Leaving) Def() Def {
	return Def{103, "leaving", log.InfoLevel, "The VM is not ready, tells its peers and hands over; it takes requests until the balancer has had the time to notice."}
}

// HandOverFailed is written when a VM that shuts down could not give up what it
// holds for all.
type HandOverFailed struct {
	What   string `log:"what"`
	Reason string `log:"reason"`
}

// Def implements Event.
func (HandOverFailed) Def() Def {
	return Def{104, "hand_over_failed", log.WarnLevel, "A hand-over failed; what it concerns expires by its own time limit."}
}
