package membership

import "time"

// Action is something that a Node wants done.
type Action interface{ action() }

// Probe asks for a direct probe; the answer goes to Acked or Failed.
type Probe struct {
	Seq     uint64
	To      Record
	Message Message
	Timeout time.Duration
}

// IndirectProbe asks the VM Via to probe To; the answer goes to Acked or
// Failed.
type IndirectProbe struct {
	Seq     uint64
	Via     Record
	To      Record
	Timeout time.Duration
}

// Sync asks for an exchange of all records and marks with the VM; the answer
// goes to Synced.
type Sync struct {
	With Record
}

func (Probe) action()         {}
func (IndirectProbe) action() {}
func (Sync) action()          {}

// Change is a change of what is known of a VM.
type Change struct {
	Was Record
	Is  Record
	// New says that the VM was not known before.
	New bool
}
