package relay

import (
	"strconv"
	"syscall"
)

// NotSentError reports that a server has not sent the request to the endpoint, and will not.
type NotSentError struct{ VM string }

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent by " + e.VM }

// NotSent marks the error as a proof that no byte of the request was sent.
func (*NotSentError) NotSent() bool { return true }

// BrokenError reports that the server's connection to the endpoint broke.
type BrokenError struct{ VM string }

// Error implements error.
func (e *BrokenError) Error() string { return "connection of " + e.VM + " to the endpoint broke" }

// Unwrap returns the end of the connection, as which the error counts.
func (*BrokenError) Unwrap() error { return syscall.ECONNRESET }

// ThroughRelay marks the error as one of another VM's connection.
func (*BrokenError) ThroughRelay() bool { return true }

// LostError reports that the connection to the server ended: whether the request ran is not
// known, and it says nothing of the endpoint.
type LostError struct {
	VM    string
	Cause error
}

// Error implements error.
func (e *LostError) Error() string { return "connection to " + e.VM + " lost: " + e.Cause.Error() }

// PathLost marks the error as no fault of the endpoint.
func (*LostError) PathLost() bool { return true }

// RefusedError reports that a server does not relay.
type RefusedError struct {
	VM      string
	Refusal string
	Reason  string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.VM + " does not relay: " + e.Refusal + " " + e.Reason }

// NotOpenedError reports that no VM opened a connection to the endpoint.
type NotOpenedError struct {
	// Asked is the number of VMs that were asked, and Witnesses that of those which tried and
	// did not reach the endpoint, though nothing is wrong with their paths.
	Asked     int
	Witnesses int
	// Cause is the last failure; nil if no VM could be asked.
	Cause error
}

// Error implements error.
func (e *NotOpenedError) Error() string {
	text := "not reached through " + strconv.Itoa(e.Asked) + " other VMs"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Witnessed reports whether another VM found that the endpoint can't be reached.
func (e *NotOpenedError) Witnessed() bool { return e.Witnesses > 0 }
