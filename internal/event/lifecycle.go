package event

import "github.com/apex/log"

// lifecycleEvents lists the event types of this file, numbers 100 to 199.
var lifecycleEvents = []Event{Started{}, Stopped{}, Draining{}, Leaving{}, HandOverFailed{}}

// Started is emitted when a VM starts listening.
type Started struct {
	Callers string `log:"callers"`
	Admin   string `log:"admin"`
	Peers   string `log:"peers"`
}

// Def implements Event.
func (Started) Def() Def {
	return Def{100, "started", log.InfoLevel, "The VM is listening."}
}

// Stopped is emitted when a VM has stopped.
type Stopped struct {
	Cut int `log:"cut"`
}

// Def implements Event.
func (Stopped) Def() Def {
	return Def{101, "stopped", log.InfoLevel, "The VM has stopped; cut is the number of requests that it aborted."}
}

// Draining is emitted when a VM that shuts down begins to refuse new requests.
type Draining struct {
	InFlight int `log:"in_flight"`
}

// Def implements Event.
func (Draining) Def() Def {
	return Def{102, "draining", log.InfoLevel, "The VM refuses new requests and finishes those in flight."}
}

// Leaving is emitted when a VM begins to shut down.
type Leaving struct {
	InFlight int `log:"in_flight"`
}

// Def implements Event.
func (Leaving) Def() Def {
	return Def{103, "leaving", log.InfoLevel, "The VM reports not ready, notifies its peers and hands over its leases; it accepts requests until the load balancer has had time to notice."}
}

// HandOverFailed is emitted when a VM that shuts down could not hand over
// something that it holds on behalf of all VMs.
type HandOverFailed struct {
	What   string `log:"what"`
	Reason string `log:"reason"`
}

// Def implements Event.
func (HandOverFailed) Def() Def {
	return Def{104, "hand_over_failed", log.WarnLevel, "A hand-over failed; what was to be handed over expires by its own time limit."}
}
