package event

import "github.com/apex/log"

// peersEvents lists the event types of this file, numbers 550 to 599.
var peersEvents = []Event{PeerRejected{}}

// PeerRejected is emitted, at a limited rate, when a connection or a message of
// a peer fails its checks and is dropped.
type PeerRejected struct {
	Address string `log:"address"`
	Reason  string `log:"reason"`
	// Total is the number of connections and messages dropped so far, including
	// those that were not logged.
	Total int64 `log:"total"`
}

// Def implements Event.
func (PeerRejected) Def() Def {
	return Def{550, "peer_rejected", log.WarnLevel, "A peer's connection or message failed its checks and was dropped."}
}
