package relay

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// methodOpen opens a connection to an endpoint, by an upgrade of the connection between the VMs.
const methodOpen peer.Method = "relay.open"

// openRequest names the endpoint. Its address is looked up by the server, so that a server
// connects to nothing but listed endpoints.
type openRequest struct {
	Endpoint string `json:"e"`
	Started  int64  `json:"s,omitempty"`
}

func (r openRequest) incarnation() directory.Incarnation {
	return directory.Incarnation{ID: r.Endpoint, Started: r.Started}
}

// refusal is the reason why a server does not relay; empty if it does.
type refusal string

// Refusals.
const (
	// refusedStopping means that the server is stopping.
	refusedStopping refusal = "stopping"
	// refusedUnavailable means that the endpoint may be sent no requests, as the server knows.
	refusedUnavailable refusal = "unavailable"
	// refusedUnreached means that the server could not open a connection to the endpoint.
	refusedUnreached refusal = "unreached"
	// refusedFull means that the server relays too many requests.
	refusedFull refusal = "full"
)

// openResponse is the response to an openRequest.
type openResponse struct {
	Refusal refusal `json:"r,omitempty"`
	// Reason is the reason in words, for the log.
	Reason string `json:"w,omitempty"`
	// PathLost is set if the server's own path to the endpoint is lost, so that its failure
	// says nothing of the endpoint.
	PathLost bool `json:"l,omitempty"`
}

// observedMessage is what a response says of its endpoint, which binds the VM that sent the
// request as well. RetryAfter is in milliseconds.
type observedMessage struct {
	RetryAfter int64 `json:"a,omitempty"`
	Leaving    bool  `json:"l,omitempty"`
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
