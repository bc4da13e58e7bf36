package event

import "github.com/apex/log"

// placementEvents lists the event types of this file, numbers 350 to 399.
var placementEvents = []Event{QuotaUnreadable{}, EndpointSilent{}, EndpointBack{}}

// QuotaUnreadable is emitted when this VM's share of an organisation's limit
// could not be renewed.
type QuotaUnreadable struct {
	Organisation string `log:"organisation"`
	Reason       string `log:"reason"`
}

// Def implements Event.
func (QuotaUnreadable) Def() Def {
	return Def{350, "quota_unreadable", log.WarnLevel, "The VM's share of an organisation's limit was not renewed; it expires at the end of its lease."}
}

// EndpointSilent is emitted when an endpoint stops answering polls or fails an
// attempt, and is assigned no new work.
type EndpointSilent struct {
	Endpoint string `log:"endpoint"`
	Reason   string `log:"reason"`
}

// Def implements Event.
func (EndpointSilent) Def() Def {
	return Def{351, "endpoint_silent", log.WarnLevel, "An endpoint failed or does not report its load; it is assigned no new work."}
}

// EndpointBack is emitted when an endpoint that was excluded reports its load.
type EndpointBack struct {
	Endpoint string `log:"endpoint"`
}

// Def implements Event.
func (EndpointBack) Def() Def {
	return Def{352, "endpoint_back", log.InfoLevel, "An endpoint that was silent reports its load again and is assigned work."}
}
