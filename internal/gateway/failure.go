package gateway

import (
	"net/http"
	"time"
)

// failureCode identifies a failure that the gateway itself reports.
type failureCode string

// Failure codes.
const (
	failNotReady   failureCode = "not_ready"
	failNoRoute    failureCode = "no_route"
	failUnknownKey failureCode = "unknown_key"
	failUnreadable failureCode = "unreadable"
	failTooLarge   failureCode = "body_too_large"
	// failTooSlow means that the body has arrived more slowly than the limits allow.
	failTooSlow failureCode = "body_too_slow"
	// failNotRun guarantees that the request has not run and will not.
	failNotRun failureCode = "not_run"
	// failTimeout and failEndpoint don't state whether the request ran.
	failTimeout  failureCode = "timeout"
	failEndpoint failureCode = "endpoint_failed"
	// failBrokenOff means that a response was aborted after its header was sent.
	failBrokenOff failureCode = "broken_off"
	// failAbandoned means that the caller disconnected before its response was
	// complete.
	failAbandoned failureCode = "abandoned"
	// failPanicked means that a defect of the gateway ended the request.
	failPanicked failureCode = "panicked"
)

// status returns the HTTP status code of a failure.
func (c failureCode) status() int {
	switch c {
	case failNotReady, failNotRun:
		return http.StatusServiceUnavailable
	case failNoRoute:
		return http.StatusNotFound
	case failUnknownKey:
		return http.StatusUnauthorized
	case failUnreadable:
		return http.StatusBadRequest
	case failTooLarge:
		return http.StatusRequestEntityTooLarge
	case failTooSlow:
		return http.StatusRequestTimeout
	case failTimeout:
		return http.StatusGatewayTimeout
	case failEndpoint, failBrokenOff, failAbandoned, failPanicked:
	}
	return http.StatusBadGateway
}

// fail responds with a failure of the gateway's own. retryAfter is the delay
// after which the caller may retry; zero for none.
func (x *exchange) fail(code failureCode, retryAfter time.Duration) {
	x.code = code
	x.status = code.status()
	h := x.w.Header()
	for name, values := range x.gateway.cfg.Headers.EncodeError(x.call.ID, retryAfter) {
		h[name] = values
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(x.status)
}

// abortAbandoned aborts the handler of a request whose caller has disconnected. While another way
// is opened for it, that is left to the handler's own goroutine.
func (x *exchange) abortAbandoned() {
	if x.standingBy {
		return
	}
	x.code = failAbandoned
	panic(http.ErrAbortHandler)
}

// abortResponse aborts a response that was begun, so that the caller does not
// take it for complete.
func (x *exchange) abortResponse() {
	x.code = failBrokenOff
	panic(http.ErrAbortHandler)
}
