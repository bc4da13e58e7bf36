package upstream

// UnsentError says that no byte of the request was handed to the endpoint.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// NoResponseError says that the request was sent, in whole or in part, and that no
// answer to it came: it may have run.
type NoResponseError struct {
	Cause error
	// Reused says that the connection had been used before, so that the endpoint
	// may have closed it without having seen the request.
	Reused bool
}

// Error implements error.
func (e *NoResponseError) Error() string { return "no response: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// StrayResponsesError says that a connection brought more answers to other requests than
// may be passed over.
type StrayResponsesError struct{ Responses int }

// Error implements error.
func (e *StrayResponsesError) Error() string { return "too many responses to other requests" }
