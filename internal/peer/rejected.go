package peer

// Reason is the reason for which a connection or a message was rejected.
type Reason string

// Reasons for a rejection.
const (
	ReasonUnknownKey Reason = "unknown_key"
	ReasonBadProof   Reason = "bad_proof"
	ReasonBadMAC     Reason = "bad_mac"
	ReasonOversize   Reason = "oversize"
	ReasonMalformed  Reason = "malformed"
	ReasonTooMany    Reason = "too_many_connections"
)

// RejectedError reports that a peer or a message was rejected.
type RejectedError struct {
	Reason Reason
}

// Error implements error.
func (e *RejectedError) Error() string { return "peer rejected: " + string(e.Reason) }
