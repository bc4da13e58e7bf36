// Package gateway passes callers' requests through to endpoints, byte for byte,
// and delivers their answers. It decides for each request how often and where it
// may be sent, keeps what may run once from running twice, continues broken
// streams where that is allowed, and ends the endpoint's work when the caller
// leaves.
//
// Callers are served with net/http, as a handler has to learn at once that its
// caller has left.
package gateway
