// Package provider defines the interfaces between the product and the platform it
// runs on: a row store with the configuration and the endpoint registry, the
// headers of requests and responses, and the requests for endpoint memory. A
// platform adapter implements them and only translates; all decisions are made by
// the product.
package provider

import (
	"context"
	"net/http"
	"time"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/routing"
)

// Topic is a set of rows that is listed and followed as a unit.
type Topic uint8

// The topics.
const (
	// Configuration holds the deployment's configuration.
	Configuration Topic = iota
	// Endpoints is the registry of endpoints.
	Endpoints
	// VMs is the list of the entry VMs; each VM writes its own row.
	VMs
)

// String returns the name of the topic as written to the log.
func (t Topic) String() string {
	switch t {
	case Configuration:
		return "configuration"
	case Endpoints:
		return "endpoints"
	}
	return "vms"
}

// Row is one row of a topic.
type Row struct {
	Key   string
	Value []byte
	// Version is the store version at which the row last changed. It increases with
	// each transaction of the store.
	Version int64
	// Removed marks a tombstone.
	Removed bool
}

// Page is the result of listing or following a topic.
type Page struct {
	Rows []Row
	// Version is the latest store version; the next call to Follow starts from it.
	Version int64
}

// Store is the platform's row store. A read that fails with an ExpiredError must
// be replaced by a List; after any other error it may be retried.
type Store interface {
	// List returns all rows of the topic.
	List(ctx context.Context, topic Topic) (Page, error)
	// Follow is a long poll: it returns the rows that changed after the version as
	// soon as there are any, and otherwise an empty page when the wait has passed.
	Follow(ctx context.Context, topic Topic, after int64, wait time.Duration) (Page, error)
	// Put writes a row unconditionally.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// Remove deletes a row.
	Remove(ctx context.Context, topic Topic, key string) error
}

// ExpiredError reports that the changes after the version After are no longer
// available: the topic must be listed again.
type ExpiredError struct{ After int64 }

// Error implements error.
func (e *ExpiredError) Error() string { return "requested changes are no longer available" }

// Decoder decodes the platform's documents.
type Decoder interface {
	// Deployment decodes the configuration. found is false for a row that does not
	// hold a deployment.
	Deployment(row Row) (d routing.Deployment, found bool, err error)
	// Entry decodes an endpoint's row in the registry.
	Entry(row Row) (directory.Entry, error)
}

// Call holds the fields decoded from the header of a caller's request.
type Call struct {
	// ID identifies the attempt.
	ID string
	// Key is the API key of an organisation.
	Key string
	// Patience is the caller's timeout; zero if the header gives none.
	Patience time.Duration
	// LastEvent is the ID of the last stream event that the caller has received.
	LastEvent string
	// Prompt is the number of prompt tokens, and Answer the maximum number of
	// output tokens.
	Prompt int
	Answer int
}

// Onward holds the fields added to the header of a request to an endpoint.
type Onward struct {
	// Left is the time remaining until the deadline.
	Left time.Duration
	// Endpoint is the ID of the endpoint that the request is addressed to.
	Endpoint string
	// Organisation is the caller's organisation; empty for none.
	Organisation string
	// LastEvent is the ID of the last stream event that the caller has received;
	// empty for none.
	LastEvent string
	// Helpers are the other endpoints that run part of the prefill.
	Helpers []Helper
}

// Helper is an endpoint that runs part of the prefill of a prompt for another
// endpoint.
type Helper struct {
	Address string
	// Reservation is the ID of the memory reservation that it holds for the prompt;
	// empty for none.
	Reservation string
}

// Reservation is memory that an endpoint reserves for a request.
type Reservation struct {
	ID string
	// Tokens is the amount of memory, in tokens.
	Tokens int
	// Hold is the time after which the reservation expires unless it is renewed.
	Hold time.Duration
}

// Order is an HTTP request for the endpoint itself, such as a memory reservation,
// as opposed to a caller's request.
type Order struct {
	Method string
	URI    string
	Header http.Header
	Body   []byte
}

// Memory encodes the requests that manage an endpoint's memory.
type Memory interface {
	// Reserve returns the request that makes or renews a reservation.
	Reserve(endpoint string, r Reservation) (Order, error)
	// Release returns the request that ends a reservation.
	Release(endpoint string, id string) (Order, error)
	// Done reports whether a response with the HTTP status means that the request
	// was carried out.
	Done(status int) bool
}

// Answer holds the fields decoded from the header of an endpoint's response.
type Answer struct {
	// ID is the ID of the attempt that the response belongs to; empty if the header
	// gives none.
	ID string
	// Sealed is true if the endpoint has marked the response as its own.
	Sealed bool
	// NotRun is true if the response proves that the request was not run.
	NotRun bool
	// AtFault is the ID or address of the endpoint that caused the request not to be
	// run; empty for the endpoint that responded.
	AtFault string
}

// Dialect translates the headers of requests and responses.
type Dialect interface {
	// Call decodes the header of a caller's request.
	Call(h http.Header) Call
	// Onward returns the header of the request to an endpoint, from that of the
	// caller's request.
	Onward(h http.Header, o Onward) http.Header
	// Answer decodes the status and header of an endpoint's response.
	Answer(status int, h http.Header) Answer
	// Returned returns the header of the response to the caller, from that of the
	// endpoint's response.
	Returned(h http.Header) http.Header
	// Refused returns the header of an error response that the product itself
	// produces for an attempt; a zero retryAfter means that there is none.
	Refused(id string, retryAfter time.Duration) http.Header
}
