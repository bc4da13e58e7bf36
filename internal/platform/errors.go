package platform

import (
	"fmt"

	"github.com/pkg/errors"
)

// Reason is the reason why a request was not sent.
type Reason string

// The reasons.
const (
	// ReasonBusy means that Config.InFlight requests are in flight.
	ReasonBusy Reason = "too many requests in flight"
	// ReasonThrottled means that this VM's share of the store's rate is used up.
	ReasonThrottled Reason = "over this VM's share of the store"
	// ReasonUnreachable means that no connection could be opened.
	ReasonUnreachable Reason = "no connection"
)

// NotSentError reports that nothing was sent to the platform.
type NotSentError struct{ Reason Reason }

// Error implements error.
func (e *NotSentError) Error() string { return "platform: not sent: " + string(e.Reason) }

// StatusError reports a response with an unexpected HTTP status or content.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: %s: status %d", e.Path, e.Status)
}

// SupersededError reports that an attempt at a write had an unknown outcome and that
// a retry failed its condition on a row that does not hold the written value.
// Another write has been applied to the row, so that the outcome can no longer be
// determined.
type SupersededError struct{ Key string }

// Error implements error.
func (e *SupersededError) Error() string {
	return "platform: row " + e.Key + " does not hold this write; the outcome of the write is unknown"
}

// IsNotFound reports whether err is a StatusError with status 404.
func IsNotFound(err error) bool {
	var s *StatusError
	return errors.As(err, &s) && s.Status == statusNotFound
}

const statusNotFound = 404
