package member

import (
	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// The RPC methods of the membership protocol.
const (
	methodProbe peer.Method = "member.probe"
	methodRelay peer.Method = "member.relay"
	methodSync  peer.Method = "member.sync"
)

// relayRequest holds the parameters of methodRelay: the VM to probe on behalf of the
// sender.
type relayRequest struct {
	To membership.Record `json:"to"`
}

// relayReply is the result of methodRelay: the probed VM's own record.
type relayReply struct {
	Record membership.Record `json:"r"`
}

// syncReply is the result of methodSync: all records, marks and notes of a VM.
type syncReply struct {
	Records []membership.Record `json:"records"`
	Marks   []membership.Mark   `json:"marks,omitempty"`
	Notes   []membership.Note   `json:"notes,omitempty"`
}
