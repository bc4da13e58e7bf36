package calls

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Event is an input of a Call.
type Event interface{ event() }

// Started starts the call.
type Started struct{}

// Written is the result of a Write.
type Written struct {
	Outcome WriteOutcome
	Result  wire.TxnResult
}

// Sent is the result of a Send.
type Sent struct {
	Outcome SendOutcome
	Result  Result
}

// TimerFired reports that the time of a Wait has passed.
type TimerFired struct{}

func (Started) event()    {}
func (Written) event()    {}
func (Sent) event()       {}
func (TimerFired) event() {}

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

// SendOutcome is the outcome of one send to the service.
type SendOutcome int

// The outcomes of a send. SendUnknown means that the call may have run, SendNotRun
// that it certainly did not.
const (
	SendUnknown SendOutcome = iota
	SendAnswered
	SendNotRun
)

// Action is an output of a Call that the driver performs.
type Action interface{ action() }

// Write submits a transaction once, with the timeout Within.
type Write struct {
	Txn    wire.Txn
	Within time.Duration
}

// Send sends the call to an endpoint once, with the timeout Within.
type Send struct {
	// Number is the index of the send within the attempt, from 0. Each goes to
	// a different endpoint.
	Number int
	Within time.Duration
}

// Wait requests a TimerFired event after the time For.
type Wait struct{ For time.Duration }

// Answer replies to the caller. Any later actions run in the background.
type Answer struct{ Reply Reply }

// GiveUp reports that the result could not be recorded. Status is the status
// that the row should have had.
type GiveUp struct{ Status Status }

func (Write) action()  {}
func (Send) action()   {}
func (Wait) action()   {}
func (Answer) action() {}
func (GiveUp) action() {}
