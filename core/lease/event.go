package lease

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Event is something that happened to a lease.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Seen answers a Read.
type Seen struct{ Row wire.Row }

// Unread says that a Read failed.
type Unread struct{}

// Written answers a Write.
type Written struct {
	Outcome WriteOutcome
	Result  wire.TxnResult
}

// ReleaseNow asks the holder to give the lease up.
type ReleaseNow struct{}

// RaiseTo asks the holder to take a fencing number above the one given, as an
// endpoint has seen that one already.
type RaiseTo struct{ Fencing int64 }

func (Tick) event()       {}
func (Seen) event()       {}
func (Unread) event()     {}
func (Written) event()    {}
func (ReleaseNow) event() {}
func (RaiseTo) event()    {}

// WriteOutcome tells how one write to the table ended.
type WriteOutcome int

// The outcomes of a write. WriteRefused proves that it was not applied.
const (
	WriteUnknown WriteOutcome = iota
	WriteApplied
	WriteFailed
	WriteRefused
)

// Action is something to carry out.
type Action interface{ action() }

// Read asks for the lease's row.
type Read struct{ Key string }

// Write asks for a transaction, tried once within the time.
type Write struct {
	Txn    wire.Txn
	Within time.Duration
}

// Start says that this VM holds the lease now, under the fencing number.
type Start struct{ Fencing int64 }

// Stop says that it no longer does.
type Stop struct{ Fencing int64 }

func (Read) action()  {}
func (Write) action() {}
func (Start) action() {}
func (Stop) action()  {}
