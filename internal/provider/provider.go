// Package provider defines the interfaces between the product and the platform it
// runs on: a row store with the configuration and the endpoint registry, the
// headers of requests and responses, and the requests for endpoint memory. A
// platform adapter implements them and only translates; all decisions are made by
// the product.
package provider

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"time"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/ratelimit"
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

// Revision is a point in the history of the store. The store's versions increase
// with each transaction within an epoch. A new epoch begins when the store has been
// restored from a backup: its version goes back, and versions are issued again for
// other changes, so that versions of different epochs are not comparable.
type Revision struct {
	Epoch   int64
	Version int64
}

// Compare returns -1, 0 or 1 if r is before, equal to or after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Version, other.Version))
}

// Row is one row of a topic.
type Row struct {
	Key   string
	Value []byte
	// Version is the store version at which the row last changed, in the epoch in
	// which it was read.
	Version int64
	// Removed marks a tombstone.
	Removed bool
	// Epoch is the epoch of the store in which the row was read.
	Epoch int64
}

// Revision returns the revision at which the row last changed.
func (r Row) Revision() Revision { return Revision{Epoch: r.Epoch, Version: r.Version} }

// Page is the result of listing or following a topic.
type Page struct {
	Rows []Row
	// Version is the latest store version; the next call to Follow starts from it.
	Version int64
	// Epoch is the epoch of the store; all rows have the same one.
	Epoch int64
}

// Revision returns the revision of the page.
func (p Page) Revision() Revision { return Revision{Epoch: p.Epoch, Version: p.Version} }

// Store is the platform's row store. A Follow that fails with an ExpiredError or a
// ResponseTooLargeError must be replaced by a List; after any other error a read may be
// retried.
type Store interface {
	// List returns all rows of the topic.
	List(ctx context.Context, topic Topic) (Page, error)
	// Follow is a long poll: it returns the rows that changed after the version as
	// soon as there are any, and otherwise an empty page when the wait has passed. A
	// page of another epoch than that of the version is no continuation of it, and
	// the topic must be listed again.
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

// ResponseTooLargeError reports a response of the store that exceeds a bound of bytes. Nothing of
// it is used: a write may have taken effect, and changes must be replaced by a list of the topic,
// which is read in pages.
type ResponseTooLargeError struct{ Bytes int }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response of the store larger than %d bytes", e.Bytes)
}

// EpochChangedError reports that the store was restored from a backup while a topic
// was being listed; the list must be read again.
type EpochChangedError struct{ From, To int64 }

// Error implements error.
func (e *EpochChangedError) Error() string {
	return fmt.Sprintf("store was restored during a list: epoch %d became %d", e.From, e.To)
}

// Decoder decodes the platform's documents.
type Decoder interface {
	// Deployment decodes the configuration. found is false for a row that does not
	// hold a deployment.
	Deployment(row Row) (d routing.Deployment, found bool, err error)
	// Evacuation returns the failure domain whose endpoints are to get no requests while
	// the row, of the topic Configuration, exists. found is false for other rows.
	Evacuation(row Row) (domain string, found bool)
	// Entry decodes an endpoint's row in the registry.
	Entry(row Row) (directory.Entry, error)
}

// CallerHeader holds the fields decoded from the header of a caller's request.
type CallerHeader struct {
	// ID identifies the attempt.
	ID string
	// Key is the API key of an organisation.
	Key string
	// Timeout is the caller's timeout; zero if the header gives none.
	Timeout time.Duration
	// LastEventID is the ID of the last stream event that the caller has received.
	LastEventID string
	// PromptTokens is the number of prompt tokens, and MaxOutputTokens the
	// maximum number of output tokens.
	PromptTokens    int
	MaxOutputTokens int
	// PromptParts are the IDs of the parts of the prompt, in their order; empty if
	// the header names none. Prompts share parts, but for the last one.
	PromptParts []string
}

// EndpointHeader holds the fields added to the header of a request to an endpoint.
type EndpointHeader struct {
	// Remaining is the time remaining until the deadline.
	Remaining time.Duration
	// Endpoint is the ID of the endpoint that the request is addressed to.
	Endpoint string
	// Organisation is the caller's organisation; empty for none.
	Organisation string
	// LastEventID is the ID of the last stream event that the caller has received;
	// empty for none.
	LastEventID string
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

// ControlRequest is an HTTP request for the endpoint itself, such as a memory reservation,
// as opposed to a caller's request.
type ControlRequest struct {
	Method string
	URI    string
	Header http.Header
	Body   []byte
}

// MemoryEncoder encodes the requests that manage an endpoint's memory.
type MemoryEncoder interface {
	// Reserve returns the request that makes or renews a reservation.
	Reserve(endpoint string, r Reservation) (ControlRequest, error)
	// Release returns the request that ends a reservation.
	Release(endpoint string, id string) (ControlRequest, error)
	// Succeeded reports whether a response with the HTTP status means that the request
	// was carried out.
	Succeeded(status int) bool
}

// ResponseHeader holds the fields decoded from the header of an endpoint's response.
type ResponseHeader struct {
	// ID is the ID of the attempt that the response belongs to; empty if the header
	// gives none.
	ID string
	// Sealed is true if the endpoint has marked the response as its own.
	Sealed bool
	// NotRun is true if the response proves that the request was not run.
	NotRun bool
	// Leaving is true if the endpoint says that it leaves.
	Leaving bool
	// RetryAfter is how long an endpoint that has turned the request away wants no
	// requests from this VM; zero if it does not say so.
	RetryAfter time.Duration
	// Limit is the limit on requests that the endpoint names.
	Limit ratelimit.Limit
	// UnreadableLimit is the begin of a limit that can't be read; empty if there is none.
	UnreadableLimit string
	// AtFault is the ID or address of the endpoint that caused the request not to be
	// run; empty for the endpoint that responded.
	AtFault string
}

// HeaderTranslator translates the headers of requests and responses.
type HeaderTranslator interface {
	// DecodeCaller decodes the header of a caller's request.
	DecodeCaller(h http.Header) CallerHeader
	// EncodeRequest returns the header of the request to an endpoint, from that of the
	// caller's request.
	EncodeRequest(h http.Header, o EndpointHeader) http.Header
	// DecodeResponse decodes the status and header of an endpoint's response.
	DecodeResponse(status int, h http.Header) ResponseHeader
	// EncodeResponse returns the header of the response to the caller, from that of the
	// endpoint's response.
	EncodeResponse(h http.Header) http.Header
	// EncodeError returns the header of an error response that the product itself
	// produces for an attempt; a zero retryAfter means that there is none.
	EncodeError(id string, retryAfter time.Duration) http.Header
}
