package gateway

import (
	"net/http"
	"time"
)

// failureCode names a failure of the gateway's own.
type failureCode string

// The failures.
const (
	failNotReady   failureCode = "not_ready"
	failNoRoute    failureCode = "no_route"
	failUnknownKey failureCode = "unknown_key"
	failUnreadable failureCode = "unreadable"
	failTooLarge   failureCode = "body_too_large"
	// failNotRun says that the request has not run and will not.
	failNotRun failureCode = "not_run"
	// failTimeout and failEndpoint leave open whether it ran.
	failTimeout  failureCode = "timeout"
	failEndpoint failureCode = "endpoint_failed"
	// failBrokenOff says that an answer was broken off.
	failBrokenOff failureCode = "broken_off"
	// failAbandoned says that the caller left first.
	failAbandoned failureCode = "abandoned"
)

// status is the HTTP status of a failure.
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
	case failTimeout:
		return http.StatusGatewayTimeout
	case failEndpoint, failBrokenOff, failAbandoned:
	}
	return http.StatusBadGateway
}

// fail answers with a failure of the gateway's own.
func (x *exchange) fail(code failureCode, retryAfter time.Duration) {
	x.code = code
	x.status = code.status()
	h := x.w.Header()
	for name, values := range x.gateway.cfg.Dialect.Refused(x.call.ID, retryAfter) {
		h[name] = values
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(x.status)
}

// abortAbandoned ends a request whose caller has left.
func (x *exchange) abortAbandoned() {
	x.code = failAbandoned
	panic(http.ErrAbortHandler)
}

// abortResponse ends an answer that is under way so that it does not look complete.
func (x *exchange) abortResponse() {
	x.code = failBrokenOff
	panic(http.ErrAbortHandler)
}
