package member

import (
	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// The methods of the membership protocol.
const (
	methodProbe peer.Method = "member.probe"
	methodRelay peer.Method = "member.relay"
	methodSync  peer.Method = "member.sync"
)

// relay asks a VM to probe another.
type relay struct {
	To membership.Record `json:"to"`
}

// relayed is the probed VM's own record.
type relayed struct {
	Record membership.Record `json:"r"`
}

// everything is all that a VM knows.
type everything struct {
	Records []membership.Record `json:"records"`
	Marks   []membership.Mark   `json:"marks,omitempty"`
}
