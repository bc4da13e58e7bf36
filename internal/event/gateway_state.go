package event

import (
	"time"

	"github.com/apex/log"
)

// gatewayStateEvents lists the event types of this file, numbers 727 to 749: what a
// gateway learns of the store, the endpoints and itself.
var gatewayStateEvents = []Event{
	StoreRestored{}, RowsReleased{}, EndpointLeaving{}, EndpointPaused{}, VMSuspended{}, CostModelInvalid{},
	LingerNotSet{}, SubjectWithheld{}, SubjectReleased{}, VerdictNotShared{}, VerdictUnreadable{},
	DomainEvacuated{}, EvacuationEnded{}, CountersReported{}, RowsUnreadable{}, FirstCopyAwaited{},
	EndpointLimitChanged{}, EndpointLimitUnreadable{}, PathsLost{}, PathsRegained{}, RelayEnded{}, RelayNotTold{},
	StreamSilent{},
}

// StoreRestored is emitted when a VM finds that the store was restored from a backup.
type StoreRestored struct {
	Topic string `log:"topic"`
	Epoch int64  `log:"epoch"`
	// Version is the store's version in the epoch.
	Version  int64 `log:"version"`
	WasEpoch int64 `log:"was_epoch"`
	Was      int64 `log:"was"`
	// Kept is the number of rows that are kept from before, and Rows the
	// comma-separated keys of the first of them.
	Kept int    `log:"kept"`
	Rows string `log:"rows"`
}

// Def implements Event.
func (StoreRestored) Def() Def {
	return Def{727, "store_restored", log.WarnLevel, "The store was restored from a backup and lost what was written after it. The topic was listed again; rows that the store lost or holds in an older version are kept until they are written again, of endpoints for a limited time."}
}

// RowsReleased is emitted when rows kept from before a restoration of the store are
// given up.
type RowsReleased struct {
	Topic string `log:"topic"`
	Epoch int64  `log:"epoch"`
	Count int    `log:"count"`
	Rows  string `log:"rows"`
}

// Def implements Event.
func (RowsReleased) Def() Def {
	return Def{728, "rows_released", log.InfoLevel, "Rows that were kept after a restoration of the store were not written again in time; the store's rows replace them."}
}

// EndpointLeaving is emitted when a VM learns from an endpoint's response, or from
// another VM, that the endpoint leaves.
type EndpointLeaving struct {
	Endpoint string `log:"endpoint"`
	Started  int64  `log:"started"`
	// Source is response or peer.
	Source string `log:"source"`
}

// Def implements Event.
func (EndpointLeaving) Def() Def {
	return Def{729, "endpoint_leaving", log.InfoLevel, "An endpoint said in a response, to this VM or another one as source tells, that it leaves; that incarnation, given by started, gets no more requests."}
}

// EndpointPaused is emitted when an endpoint turns a request away and asks for no
// more for some time.
type EndpointPaused struct {
	Endpoint   string        `log:"endpoint"`
	RetryAfter time.Duration `log:"retry_after"`
	// Pause is the time from now to the end of the pause.
	Pause time.Duration `log:"pause"`
}

// Def implements Event.
func (EndpointPaused) Def() Def {
	return Def{730, "endpoint_paused", log.InfoLevel, "An endpoint turned a request away and asked for no more for retry_after; this VM sends it none for pause."}
}

// VMSuspended is emitted when a VM finds that its copies of the configuration and the
// endpoints were not confirmed for longer than it takes while it runs.
type VMSuspended struct {
	Unconfirmed time.Duration `log:"unconfirmed"`
}

// Def implements Event.
func (VMSuspended) Def() Def {
	return Def{731, "vm_suspended", log.WarnLevel, "The VM did not run for a while: its copies of the configuration and the endpoints were last confirmed the time unconfirmed ago. Requests wait for their confirmation, for a bounded time."}
}

// CostModelInvalid is emitted when a configuration gives unusable cost parameters of an
// engine.
type CostModelInvalid struct {
	Service string `log:"service"`
	Version int64  `log:"version"`
}

// Def implements Event.
func (CostModelInvalid) Def() Def {
	return Def{732, "cost_model_invalid", log.WarnLevel, "The configuration version gives cost parameters of the service's engines that are missing, negative or not finite; its requests are placed as those of a plain service."}
}

// LingerNotSet is emitted when the way in which a caller's connection ends can't be set.
type LingerNotSet struct {
	Request string `log:"request"`
	Reason  string `log:"reason"`
}

// Def implements Event.
func (LingerNotSet) Def() Def {
	return Def{733, "linger_not_set", log.WarnLevel, "The way in which the connection of an HTTP/1.0 caller ends could not be set; if the connection is still open, a response that breaks off may look complete to that caller."}
}

// SubjectWithheld is emitted when a request that crashes endpoints, or prompts with a part
// that does, are withheld from them.
type SubjectWithheld struct {
	Service string `log:"service"`
	// Part is the part of prompts, or Digest that of the request.
	Part   string `log:"part"`
	Digest string `log:"digest"`
	// Holder is the VM that decided, if this one did; Verdict counts the decisions on the
	// part.
	Holder  string        `log:"holder"`
	Verdict int           `log:"verdict"`
	For     time.Duration `log:"for"`
	// Evidence has the crashes that led to the decision: the endpoints, and the time since
	// each crash.
	Evidence string `log:"evidence"`
}

// Def implements Event.
func (SubjectWithheld) Def() Def {
	return Def{734, "subject_withheld", log.WarnLevel, "A part of prompts crashes the endpoints of the service that begin to answer on it, or the request with the digest those that run it; such requests are refused for the time that for states. holder is this VM if it decided, and empty if it learned of the decision; evidence, at the VM that decided, lists the crashes by endpoint and the time since then; verdict counts the decisions on the part or request."}
}

// SubjectReleased is emitted when a request, or prompts with a part, are no longer withheld.
type SubjectReleased struct {
	Service string `log:"service"`
	Part    string `log:"part"`
	Digest  string `log:"digest"`
	Holder  string `log:"holder"`
	Verdict int    `log:"verdict"`
}

// Def implements Event.
func (SubjectReleased) Def() Def {
	return Def{735, "subject_released", log.InfoLevel, "A withheld request, or a prompt with a withheld part, was answered; such requests are no longer refused. holder and verdict are as in event 734."}
}

// VerdictNotShared is emitted when a decision on a part of prompts or a request can't be
// told to the other VMs.
type VerdictNotShared struct {
	Service string `log:"service"`
	Part    string `log:"part"`
	Digest  string `log:"digest"`
	Verdict int    `log:"verdict"`
}

// Def implements Event.
func (VerdictNotShared) Def() Def {
	return Def{736, "verdict_not_shared", log.WarnLevel, "A decision on a part of prompts or a request was not told to the other VMs, because the names of the service and the part are too long; it holds at this VM, which places the requests of all."}
}

// VerdictUnreadable is emitted when the decision of another VM on a part of prompts can't
// be decoded.
type VerdictUnreadable struct {
	Note   string `log:"note"`
	Reason string `log:"reason"`
}

// Def implements Event.
func (VerdictUnreadable) Def() Def {
	return Def{737, "verdict_unreadable", log.WarnLevel, "The decision of another VM on a part of prompts could not be decoded and is not applied at this VM."}
}

// DomainEvacuated is emitted when the operator has evacuated a failure domain.
type DomainEvacuated struct {
	Domain string `log:"failure_domain"`
}

// Def implements Event.
func (DomainEvacuated) Def() Def {
	return Def{738, "domain_evacuated", log.InfoLevel, "A failure domain is evacuated: this VM sends its endpoints no more requests, until that is taken back."}
}

// EvacuationEnded is emitted when the operator has taken an evacuation back.
type EvacuationEnded struct {
	Domain string `log:"failure_domain"`
}

// Def implements Event.
func (EvacuationEnded) Def() Def {
	return Def{739, "evacuation_ended", log.InfoLevel, "The evacuation of a failure domain was taken back: this VM may send its endpoints requests again."}
}

// CountersReported is emitted once a minute.
type CountersReported struct {
	Interval time.Duration `log:"interval"`
	// Processor is the processor time that the process has used in the interval.
	Processor time.Duration `log:"processor"`
	// Counters has how much each counter of the metrics has grown in the interval, by its
	// name with its labels.
	Counters map[string]int64 `log:"counters"`
}

// Def implements Event.
func (CountersReported) Def() Def {
	return Def{740, "counters_reported", log.InfoLevel, "How much the counters have grown in the interval, and the processor time that the process has used in it."}
}

// RowsUnreadable is emitted when the rows of another VM's answer can't be read.
type RowsUnreadable struct {
	Topic string `log:"topic"`
	// Address is that of the other VM.
	Address string `log:"address"`
	Reason  string `log:"reason"`
}

// Def implements Event.
func (RowsUnreadable) Def() Def {
	return Def{741, "rows_unreadable", log.WarnLevel, "The rows of a topic that another VM sent can't be read; this VM reads them from the next source."}
}

// FirstCopyAwaited is emitted when a VM that starts ends its wait for a copy of a topic
// from another VM.
type FirstCopyAwaited struct {
	Topic string `log:"topic"`
	// Found is false if the VM reads the topic from the store, as one that follows it or
	// because the wait is over.
	Found   bool  `log:"found"`
	Watcher bool  `log:"watcher"`
	Epoch   int64 `log:"epoch"`
	Version int64 `log:"version"`
	// Spread is the time over which the VMs read the store, and Waited how long this one
	// has waited.
	Spread time.Duration `log:"spread"`
	Waited time.Duration `log:"waited"`
}

// Def implements Event.
func (FirstCopyAwaited) Def() Def {
	return Def{742, "first_copy_awaited", log.InfoLevel, "A VM that starts has got its first copy of a topic from another VM, or goes on to read it from the store."}
}

// EndpointLimitChanged is emitted when the limit on requests that an endpoint names in its
// responses changes.
type EndpointLimitChanged struct {
	Service  string `log:"service"`
	Endpoint string `log:"endpoint"`
	Started  int64  `log:"started"`
	// Limit and Was are in requests per second; empty for none.
	Limit string `log:"limit"`
	Was   string `log:"was"`
	// From is the VM that reported the change.
	From string `log:"from"`
}

// Def implements Event.
func (EndpointLimitChanged) Def() Def {
	return Def{743, "endpoint_limit_changed", log.InfoLevel, "An endpoint names, in a response to the VM from, another limit on the requests per second that it takes from all VMs; without limit it names none any more. The holder of the service places requests there at most at that rate."}
}

// EndpointLimitUnreadable is emitted once for each incarnation of an endpoint that names a
// limit that can't be read.
type EndpointLimitUnreadable struct {
	Endpoint string `log:"endpoint"`
	Started  int64  `log:"started"`
	Limit    string `log:"limit"`
}

// Def implements Event.
func (EndpointLimitUnreadable) Def() Def {
	return Def{744, "endpoint_limit_unreadable", log.WarnLevel, "An endpoint names a limit on requests that is no number, or a negative one; it counts as none. It is logged once for each incarnation."}
}

// PathsLost is emitted when this VM finds that its own paths to endpoints are lost.
type PathsLost struct {
	// Scope is endpoint, failure_domain or all, and Name the address of the endpoint or the
	// name of the failure domain.
	Scope string `log:"scope"`
	Name  string `log:"name"`
	// Evidence are the addresses that this VM does not reach.
	Evidence string `log:"evidence"`
}

// Def implements Event.
func (PathsLost) Def() Def {
	return Def{745, "paths_lost", log.WarnLevel, "This VM does not reach an endpoint that another VM reaches, or none of a failure domain or of all; evidence has the addresses. Its requests go through other VMs."}
}

// PathsRegained is emitted when paths that were lost work again.
type PathsRegained struct {
	Scope string `log:"scope"`
	Name  string `log:"name"`
	// Evidence is the address of the endpoint that was reached.
	Evidence string `log:"evidence"`
	// Lost is for how long the paths had been lost.
	Lost time.Duration `log:"lost"`
}

// Def implements Event.
func (PathsRegained) Def() Def {
	return Def{746, "paths_regained", log.InfoLevel, "This VM reaches an endpoint again, on paths that had been lost for the time lost."}
}

// RelayEnded is emitted when a request that this VM relays for another one ends otherwise than
// by the end of either connection.
type RelayEnded struct {
	Owner    string `log:"owner"`
	Endpoint string `log:"endpoint"`
	Reason   string `log:"reason"`
}

// Def implements Event.
func (RelayEnded) Def() Def {
	return Def{747, "relay_ended", log.InfoLevel, "A request that this VM relays for the VM owner ended because of the connection between the two."}
}

// RelayNotTold is emitted when the VM between could not be told what a response says of its
// endpoint.
type RelayNotTold struct {
	Via      string `log:"via"`
	Endpoint string `log:"endpoint"`
	Reason   string `log:"reason"`
}

// Def implements Event.
func (RelayNotTold) Def() Def {
	return Def{748, "relay_not_told", log.WarnLevel, "The VM via, through which a request was sent, could not be told that the endpoint leaves or wants no requests for a while."}
}

// StreamSilent is emitted when a stream's endpoint has completed no event for longer than most
// callers wait, or the path to it is lost.
type StreamSilent struct {
	Request  string `log:"request"`
	Attempt  int    `log:"attempt"`
	Endpoint string `log:"endpoint"`
	// Silent is the time since the attempt's last event, or since the attempt began.
	Silent time.Duration `log:"silent"`
	Again  bool          `log:"again"`
	Why    string        `log:"why"`
}

// Def implements Event.
func (StreamSilent) Def() Def {
	return Def{749, "stream_silent", log.WarnLevel, "The endpoint of a stream is silent; the response stays open, as the endpoint may go on. again reports whether another endpoint is asked meanwhile, and why gives the reason if not. Events 711 and 712 that follow for the request tell what became of that; an event 712 of the silent attempt, with again, tells that another endpoint has begun to answer in its place."}
}
