package routing

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// Kind says what a request on a route may suffer without its caller's consent.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of numbered events. They run
	// at most once unless the route is resumable.
	Streaming
)

// String returns the kind's name in the log.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non_idempotent"
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route says how the requests below a path of a host are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be kept waiting for its answer.
	Timeout time.Duration
	// Goal is the time within which an answer, or a stream's first event, is on
	// time; zero where the route has none.
	Goal time.Duration
	// Gap is the longest pause between two events of a stream that is on time;
	// zero where the route has none.
	Gap time.Duration
	// Patience is how long callers wait for the first event of a stream, or for the
	// next one, before they leave; zero for as long as the request may take.
	Patience time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	Shares   []Share
	// MaxAttempts bounds the endpoints to which one request may be sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Prompts says that requests carry the size of a prompt.
	Prompts bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a pool of endpoints that serve the same requests.
type Service struct {
	Name string
	// Engine has the figures of model engines; nil for a plain service.
	Engine *engine.Figures
}

// Organisation is a customer whose members call with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Deployment is one version of the configuration, in full.
type Deployment struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Organisations is empty where no route needs a key.
	Organisations []Organisation
	Limits        Limits
}
