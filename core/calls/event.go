package calls

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Event is something that happened to a call.
type Event interface{ event() }

// Started begins the call.
type Started struct{}

// Written answers a Write.
type Written struct {
	Outcome WriteOutcome
	Result  wire.TxnResult
}

// Sent answers a Send.
type Sent struct {
	Outcome SendOutcome
	Result  Result
}

// Woken answers a Wait.
type Woken struct{}

func (Started) event() {}
func (Written) event() {}
func (Sent) event()    {}
func (Woken) event()   {}

// WriteOutcome tells how one write to the table ended.
type WriteOutcome int

// The outcomes of a write. WriteRefused proves that it was not applied.
const (
	WriteUnknown WriteOutcome = iota
	WriteApplied
	WriteFailed
	WriteRefused
)

// SendOutcome tells how the service answered.
type SendOutcome int

// The outcomes of a send. SendNotRun is a proof.
const (
	SendLost SendOutcome = iota
	SendAnswered
	SendNotRun
)

// Action is something to carry out.
type Action interface{ action() }

// Write asks for a transaction, tried once within the time.
type Write struct {
	Txn    wire.Txn
	Within time.Duration
}

// Send asks for the call to be sent, once, within the time.
type Send struct {
	// Number counts the sends of the attempt from 0; each goes to another
	// endpoint.
	Number int
	Within time.Duration
}

// Wait asks to be woken after the time.
type Wait struct{ For time.Duration }

// Answer tells the caller; what follows happens behind the caller's back.
type Answer struct{ Reply Reply }

// GiveUp says that the result could not be recorded.
type GiveUp struct{ Status Status }

func (Write) action()  {}
func (Send) action()   {}
func (Wait) action()   {}
func (Answer) action() {}
func (GiveUp) action() {}
