package event

import "github.com/apex/log"

// peersEvents lists one event of each kind of this file; numbers 550 to 599.
var peersEvents = []Event{PeerRejected{}}

// PeerRejected is written when a connection or a message of a peer fails its
// checks and is dropped, at a bounded rate.
type PeerRejected struct {
	Address string `log:"address"`
	Reason  string `log:"reason"`
	// Total counts all that were dropped, also those that were not logged.
	Total int64 `log:"total"`
}

// Def implements Event.
func (PeerRejected) Def() Def {
	return Def{550, "peer_rejected", log.WarnLevel, "A peer's connection or message failed its checks and was dropped."}
}
