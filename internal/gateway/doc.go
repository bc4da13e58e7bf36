// Package gateway proxies callers' requests to endpoints, byte for byte, and
// delivers their responses. It decides for each request where and how often it
// may be sent, never runs a non-idempotent request twice, resumes broken streams
// where the route allows it, and cancels the endpoint's work when the caller
// disconnects.
//
// Callers are served with net/http, because a handler must be notified immediately
// when its caller disconnects.
package gateway
