// Package provider defines what a platform gives the product: a store of rows,
// the configuration and the registry of endpoints in it, and the headers of
// requests. A platform's adapter implements it; the product decides.
package provider

import (
	"context"
	"net/http"
	"time"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/routing"
)

// Topic is a set of rows that is followed as one.
type Topic uint8

// The topics.
const (
	// Configuration holds the deployment's configuration.
	Configuration Topic = iota
	// Endpoints is the registry of endpoints.
	Endpoints
	// VMs lists the entry VMs, which write it themselves.
	VMs
)

// String returns the topic's name in the log.
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
	// Version grows with each transaction of the store.
	Version int64
	// Removed says that the row is gone.
	Removed bool
}

// Page is an answer about rows.
type Page struct {
	Rows []Row
	// Version is the store's newest; following goes on from it.
	Version int64
}

// Store is the platform's store. Its failures are an ExpiredError or any other,
// after which a read may be tried again.
type Store interface {
	// List returns all rows of the topic.
	List(ctx context.Context, topic Topic) (Page, error)
	// Follow returns the rows that changed after the version, as soon as there
	// are some, and at the latest after the wait.
	Follow(ctx context.Context, topic Topic, after int64, wait time.Duration) (Page, error)
	// Put writes a row whatever it held.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// Remove drops a row.
	Remove(ctx context.Context, topic Topic, key string) error
}

// ExpiredError says that the store no longer has the changes that were asked
// for: the topic must be listed anew.
type ExpiredError struct{ After int64 }

// Error implements error.
func (e *ExpiredError) Error() string { return "the store has dropped the changes asked for" }

// Decoder reads the platform's documents.
type Decoder interface {
	// Deployment reads the configuration. found is false for rows of another
	// purpose.
	Deployment(row Row) (d routing.Deployment, found bool, err error)
	// Entry reads an endpoint's line.
	Entry(row Row) (directory.Entry, error)
}

// Call is what the header of a caller's request says.
type Call struct {
	// ID names the attempt.
	ID string
	// Key is an organisation's.
	Key string
	// Patience is how long the caller waits; zero where it does not say.
	Patience time.Duration
	// LastEvent is the last event that the caller has of a stream.
	LastEvent string
	// Prompt and Answer are numbers of tokens; Answer is the most.
	Prompt int
	Answer int
}

// Onward is what the product adds to a request for an endpoint.
type Onward struct {
	// Left is the time that the endpoint has.
	Left time.Duration
	// Endpoint is the one that is meant.
	Endpoint string
	// Organisation is the caller's; empty for none.
	Organisation string
	// LastEvent is the last event that the caller has; empty for none.
	LastEvent string
	// Helpers read parts of the prompt.
	Helpers []Helper
}

// Helper is an endpoint that reads a part of a prompt.
type Helper struct {
	Address string
	// Reservation names the memory that it has set aside for the prompt; empty
	// for none.
	Reservation string
}

// Reservation is memory that an endpoint sets aside for a request.
type Reservation struct {
	ID     string
	Tokens int
	// Hold is how long it stands unless it is renewed.
	Hold time.Duration
}

// Order is a request that an endpoint carries out itself.
type Order struct {
	Method string
	URI    string
	Header http.Header
	Body   []byte
}

// Memory translates orders about endpoints' memory.
type Memory interface {
	// Reserve sets memory aside, or renews a reservation.
	Reserve(endpoint string, r Reservation) (Order, error)
	// Release ends a reservation.
	Release(endpoint string, id string) (Order, error)
	// Done reports whether an answer of the status says that the order was
	// carried out.
	Done(status int) bool
}

// Answer is what the header of an endpoint's answer says.
type Answer struct {
	// ID is the attempt that it answers; empty where it does not say.
	ID string
	// Sealed says that the endpoint vouches for the answer as its own.
	Sealed bool
	// NotRun says that the endpoint proves not to have run the request.
	NotRun bool
	// AtFault names the endpoint because of which it was not run, by ID or
	// address; empty for the one that answers.
	AtFault string
}

// Dialect translates the headers of requests and answers.
type Dialect interface {
	// Call reads a caller's request.
	Call(h http.Header) Call
	// Onward returns the header for an endpoint.
	Onward(h http.Header, o Onward) http.Header
	// Answer reads an endpoint's answer.
	Answer(status int, h http.Header) Answer
	// Returned returns the header of an endpoint's answer for the caller.
	Returned(h http.Header) http.Header
	// Refused returns the header of a failure of the product's own.
	Refused(id string, retryAfter time.Duration) http.Header
}
