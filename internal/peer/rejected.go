package peer

// Reason says why a connection or a message was refused.
type Reason string

// The reasons.
const (
	ReasonUnknownKey Reason = "unknown_key"
	ReasonBadProof   Reason = "bad_proof"
	ReasonBadMAC     Reason = "bad_mac"
	ReasonOversize   Reason = "oversize"
	ReasonMalformed  Reason = "malformed"
	ReasonTooMany    Reason = "too_many_connections"
)

// RejectedError says that the other end, or a message of it, was refused.
type RejectedError struct {
	Reason Reason
}

// Error implements error.
func (e *RejectedError) Error() string { return "peer rejected: " + string(e.Reason) }
