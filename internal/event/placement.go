package event

import (
	"time"

	"github.com/apex/log"
)

// placementEvents lists the event types of this file, numbers 350 to 399.
var placementEvents = []Event{
	QuotaUnreadable{}, EndpointSilent{}, EndpointBack{}, EndpointLimited{}, TurnNotAsked{},
	RequestWithheld{}, RequestReleased{}, CrashNotReported{},
}

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

// EndpointLimited is emitted when the limit on requests that an endpoint names in its
// responses to this VM changes.
type EndpointLimited struct {
	Address string `log:"address"`
	// Limit and Was are in requests per second; empty for none.
	Limit string `log:"limit"`
	Was   string `log:"was"`
}

// Def implements Event.
func (EndpointLimited) Def() Def {
	return Def{353, "endpoint_limited", log.InfoLevel, "The endpoint with the address names, in a response to this VM, another limit on the requests per second that it takes from all VMs; without limit it names none any more. This VM asks for a turn before each request to it."}
}

// TurnNotAsked is emitted when the VM that grants the turns at an endpoint does not answer.
type TurnNotAsked struct {
	Address string `log:"address"`
	Member  string `log:"member"`
	Reason  string `log:"reason"`
}

// Def implements Event.
func (TurnNotAsked) Def() Def {
	return Def{354, "turn_not_asked", log.WarnLevel, "The VM that grants the turns at the endpoint with the address does not answer; the next VM in order is asked, and at last this one, for a part of the endpoint's limit."}
}

// RequestWithheld is emitted when a request that crashes endpoints is withheld from them.
type RequestWithheld struct {
	Service string `log:"service"`
	Digest  string `log:"digest"`
	// Decided is the VM that decided, if this one did; Verdict counts the decisions on the
	// request.
	Decided  string        `log:"decided"`
	Verdict  int           `log:"verdict"`
	For      time.Duration `log:"for"`
	Evidence string        `log:"evidence"`
}

// Def implements Event.
func (RequestWithheld) Def() Def {
	return Def{355, "request_withheld", log.WarnLevel, "A request, known by the digest of its organisation, path and body, crashes the endpoints of the service that run it; it is refused for the time that for states. decided is this VM if it decided, and empty if it learned of the decision; evidence, at the VM that decided, lists the crashes by endpoint and the time since then."}
}

// RequestReleased is emitted when a request is no longer withheld.
type RequestReleased struct {
	Service string `log:"service"`
	Digest  string `log:"digest"`
	Decided string `log:"decided"`
	Verdict int    `log:"verdict"`
}

// Def implements Event.
func (RequestReleased) Def() Def {
	return Def{356, "request_released", log.InfoLevel, "A withheld request was answered and is no longer refused. decided and verdict are as in event 355."}
}

// CrashNotReported is emitted when a VM can't be told of, or asked about, the crash of an
// endpoint.
type CrashNotReported struct {
	Service  string `log:"service"`
	Endpoint string `log:"endpoint"`
	Member   string `log:"member"`
	Reason   string `log:"reason"`
}

// Def implements Event.
func (CrashNotReported) Def() Def {
	return Def{357, "crash_not_reported", log.WarnLevel, "The VM member was not told of the crash of an endpoint, or, without an endpoint, not asked whether it has seen a request answered; the next VM in order, and at last this one, decides, or the others are asked."}
}
