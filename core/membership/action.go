package membership

import "time"

// Action is an operation that the caller carries out for a Node.
type Action interface{ action() }

// Probe sends a direct probe. The outcome is passed to Node.Acked or Node.Failed.
type Probe struct {
	Seq     uint64
	To      Record
	Message Message
	Timeout time.Duration
}

// IndirectProbe requests the VM Via to probe To. The outcome is passed to
// Node.AckedIndirectly or Node.Failed.
type IndirectProbe struct {
	Seq     uint64
	Via     Record
	To      Record
	Timeout time.Duration
}

// Sync fetches all records and marks from Peer. The outcome is passed to
// Node.Synced or Node.SyncFailed.
type Sync struct {
	Peer Record
}

func (Probe) action()         {}
func (IndirectProbe) action() {}
func (Sync) action()          {}

// Change is a change of the record of a VM.
type Change struct {
	Previous Record
	Current  Record
	// New reports that no record of the VM had been received before.
	New bool
}
