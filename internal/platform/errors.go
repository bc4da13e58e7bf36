package platform

import (
	"fmt"

	"github.com/pkg/errors"
)

// Reason says why a request was not sent.
type Reason string

// The reasons.
const (
	// ReasonBusy means that too many requests are in flight.
	ReasonBusy Reason = "too many requests in flight"
	// ReasonThrottled means that this VM's share of the store is used up.
	ReasonThrottled Reason = "over this VM's share of the store"
	// ReasonUnreachable means that no connection could be opened.
	ReasonUnreachable Reason = "no connection"
)

// NotSentError says that nothing was sent to the platform.
type NotSentError struct{ Reason Reason }

// Error implements error.
func (e *NotSentError) Error() string { return "platform: not sent: " + string(e.Reason) }

// StatusError is an answer with an unexpected HTTP status.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: %s: status %d", e.Path, e.Status)
}

// SupersededError says that a write's answer was lost and that another write
// has been applied to the row since, so that its own outcome can't be told.
type SupersededError struct{ Key string }

// Error implements error.
func (e *SupersededError) Error() string {
	return "platform: row " + e.Key + " was written again before its write was settled"
}

// IsNotFound reports whether err is a status of 404.
func IsNotFound(err error) bool {
	var s *StatusError
	return errors.As(err, &s) && s.Status == statusNotFound
}

const statusNotFound = 404
