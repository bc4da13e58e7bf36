package routing

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// Kind is the execution guarantee of a route: whether its requests may be sent
// again without the caller's consent.
type Kind uint8

// Route kinds.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of numbered events. They run
	// at most once unless the route is resumable.
	Streaming
)

// String returns the kind's name as it appears in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non_idempotent"
}

// Share is the proportion of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route defines how requests to a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may wait for its response.
	Timeout time.Duration
	// Goal is the latency target for the response or, on streaming routes, for
	// the first event; zero if the route has none.
	Goal time.Duration
	// Gap is the target for the longest pause between two events of a stream;
	// zero if the route has none.
	Gap time.Duration
	// Patience is how long callers wait for the first or the next event of a
	// stream before they disconnect; zero if they wait until the request times
	// out.
	Patience time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	Shares   []Share
	// MaxAttempts is the maximum number of endpoints to which one request is
	// sent.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Prompts is set if requests state the size of their prompt.
	Prompts bool
}

// Repeatable reports whether a request that may already have run may be sent
// again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a pool of endpoints that serve the same requests.
type Service struct {
	Name string
	// Engine holds the cost parameters of model engines; nil for services that
	// do not run one.
	Engine *engine.CostModel
	// ColdFor is how long an endpoint is cold after its start, and ColdPerSecond the
	// number of requests that it bears in a second while it is; zero for no limit.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Organisation is a customer whose members authenticate with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the size and time limits of client requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// BodyGrace is the time that each body has to arrive, and BodyRate the bytes per second that
	// come to it for what has arrived; zero for DefaultBodyGrace and DefaultBodyRate.
	BodyGrace time.Duration
	BodyRate  int
}

// The defaults are far below what callers of slow lines need, and bound the time for which a caller
// who sends next to nothing holds a connection.
const (
	DefaultBodyGrace = 30 * time.Second
	DefaultBodyRate  = 1 << 10
)

// BodyTime returns the time within which more than the given bytes of a body must have arrived.
func (l Limits) BodyTime(received int64) time.Duration {
	grace, rate := l.BodyGrace, l.BodyRate
	if grace <= 0 {
		grace = DefaultBodyGrace
	}
	if rate <= 0 {
		rate = DefaultBodyRate
	}
	return grace + time.Duration(float64(received)/float64(rate)*float64(time.Second))
}

// Deployment is one complete version of the configuration.
type Deployment struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Organisations is empty if no route requires an API key.
	Organisations []Organisation
	Limits        Limits
}
