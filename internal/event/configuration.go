package event

import "github.com/apex/log"

// configurationEvents lists the event types of this file, numbers 200 to 299.
var configurationEvents = []Event{ConfigurationApplied{}, ConfigurationUnreadable{}, ConfigurationStanding{}}

// ConfigurationApplied is emitted when a configuration version takes effect.
type ConfigurationApplied struct {
	Version int64 `log:"version"`
}

// Def implements Event.
func (ConfigurationApplied) Def() Def {
	return Def{200, "configuration_applied", log.InfoLevel, "A configuration version took effect on this VM."}
}

// ConfigurationUnreadable is emitted when the head or the object that it refers
// to can't be read.
type ConfigurationUnreadable struct {
	Reason string `log:"reason"`
}

// Def implements Event.
func (ConfigurationUnreadable) Def() Def {
	return Def{201, "configuration_unreadable", log.WarnLevel, "The configuration could not be read; the last version stays in effect."}
}

// ConfigurationStanding is emitted when the standing of a VM changes, which
// determines whether it accepts requests.
type ConfigurationStanding struct {
	Standing string `log:"standing"`
	Version  int64  `log:"version"`
	Known    int64  `log:"known"`
}

// Def implements Event.
func (ConfigurationStanding) Def() Def {
	return Def{202, "configuration_standing", log.WarnLevel, "The VM accepts requests (current), or refuses them because its configuration version is unconfirmed, because it is behind a known version, or because it is cut off from the store and all peers (cut_off)."}
}
