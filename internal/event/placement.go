package event

import "github.com/apex/log"

// placementEvents lists one event of each kind of this file; numbers 350 to 399.
var placementEvents = []Event{QuotaUnreadable{}, EndpointSilent{}, EndpointBack{}}

// QuotaUnreadable is written when a share of an organisation's limit could not
// be renewed.
type QuotaUnreadable struct {
	Organisation string `log:"organisation"`
	Reason       string `log:"reason"`
}

// Def implements Event.
func (QuotaUnreadable) Def() Def {
	return Def{350, "quota_unreadable", log.WarnLevel, "A share of an organisation's limit was not renewed; it lapses at the end of its lease."}
}

// EndpointSilent is written when an endpoint stops answering polls or fails an
// attempt, and gets no new work.
type EndpointSilent struct {
	Endpoint string `log:"endpoint"`
	Reason   string `log:"reason"`
}

// Def implements Event.
func (EndpointSilent) Def() Def {
	return Def{351, "endpoint_silent", log.WarnLevel, "An endpoint failed or does not report; it gets no new work."}
}

// EndpointBack is written when a silent endpoint reports again.
type EndpointBack struct {
	Endpoint string `log:"endpoint"`
}

// Def implements Event.
func (EndpointBack) Def() Def {
	return Def{352, "endpoint_back", log.InfoLevel, "A silent endpoint reports again and gets work."}
}
