package upstream

// UnsentError reports that no byte of the request was sent to the endpoint.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// NoResponseError reports that the request was sent, in whole or in part, and no
// response was received: it may have run.
type NoResponseError struct {
	Cause error
	// Reused is set if the connection had been used before, so that the
	// endpoint may have closed it without receiving the request.
	Reused bool
}

// Error implements error.
func (e *NoResponseError) Error() string { return "no response: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// StrayResponsesError reports that the response to a request was not among the
// first responses on its connection.
type StrayResponsesError struct{ Responses int }

// Error implements error.
func (e *StrayResponsesError) Error() string {
	return "too many responses that do not match the request"
}
