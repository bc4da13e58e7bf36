package lease

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Event is an input of a Lease.
type Event interface{ event() }

// Tick reports that time has passed. The driver sends it periodically.
type Tick struct{}

// RowRead is the result of a successful Read.
type RowRead struct{ Row wire.Row }

// ReadFailed reports that a Read failed.
type ReadFailed struct{}

// Written is the result of a Write.
type Written struct {
	Outcome WriteOutcome
	Result  wire.TxnResult
}

// ReleaseNow makes the holder release the lease.
type ReleaseNow struct{}

// RaiseAbove makes the holder acquire the lease again with a fencing number above
// Fencing, because an endpoint has already seen Fencing.
type RaiseAbove struct{ Fencing int64 }

func (Tick) event()       {}
func (RowRead) event()    {}
func (ReadFailed) event() {}
func (Written) event()    {}
func (ReleaseNow) event() {}
func (RaiseAbove) event() {}

// WriteOutcome is the outcome of one write to the table.
type WriteOutcome int

// The outcomes of a write. WriteFailed means that a condition failed,
// WriteRefused that the write was certainly not applied.
const (
	WriteUnknown WriteOutcome = iota
	WriteApplied
	WriteFailed
	WriteRefused
)

// Action is an output of a Lease that the driver performs.
type Action interface{ action() }

// Read reads the lease's row.
type Read struct{ Key string }

// Write submits a transaction once, with the timeout Within.
type Write struct {
	Txn    wire.Txn
	Within time.Duration
}

// Start reports that this VM now holds the lease with the fencing number.
type Start struct{ Fencing int64 }

// Stop reports that this VM no longer holds the lease.
type Stop struct{ Fencing int64 }

func (Read) action()  {}
func (Write) action() {}
func (Start) action() {}
func (Stop) action()  {}
