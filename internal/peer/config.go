package peer

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// Config configures the servers and clients of one VM. Zero values of the limits
// stand for their defaults.
type Config struct {
	// Self is the identity of this VM.
	Self Identity
	// Keys are the shared keys that are accepted from peers; the client
	// authenticates with the first one. During a key rotation there are two.
	Keys []string
	// FailureDomain is the one of this VM, and DomainOf returns that of another VM; empty
	// while it is not known. They serve the count of the traffic only. DomainOf may be
	// nil.
	FailureDomain string
	DomainOf      func(vm string) string
	// MaxMessageBytes bounds the size of a message, including its authentication
	// code.
	MaxMessageBytes int
	// MaxConnections bounds the number of connections from peers to this VM.
	MaxConnections int
	// HandshakeTimeout bounds the time to open a connection and the time for each
	// message of its handshake.
	HandshakeTimeout time.Duration
}

// Defaults of a Config.
const (
	defaultMaxMessageBytes  = 4 << 20
	defaultMaxConnections   = 2048
	defaultHandshakeTimeout = 2 * time.Second
)

func (c Config) domainOf(vm string) string {
	if c.DomainOf == nil {
		return ""
	}
	return c.DomainOf(vm)
}

// withDefaults returns the configuration with defaults in place of zero limits.
func (c Config) withDefaults() Config {
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = defaultMaxMessageBytes
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultMaxConnections
	}
	if c.HandshakeTimeout == 0 {
		c.HandshakeTimeout = defaultHandshakeTimeout
	}
	return c
}

// KeysError reports a Config without a key.
type KeysError struct{}

// Error implements error.
func (*KeysError) Error() string { return "peer configuration must have at least one key" }

// shared holds the fields that servers and clients have in common.
type shared struct {
	cfg        Config
	mux        *Mux
	log        *event.Logger
	counters   *Counters
	traffic    *metrics.Traffic
	logLimiter *rate.Limiter
}

func newShared(cfg Config, mux *Mux, log *event.Logger, registry gometrics.Registry) *shared {
	return &shared{
		cfg:        cfg.withDefaults(),
		mux:        mux,
		log:        log,
		counters:   NewCounters(registry),
		traffic:    metrics.NewTraffic(registry),
		logLimiter: rate.NewLimiter(rate.Every(time.Second), 10),
	}
}

func (s *shared) handshaker() handshaker {
	return handshaker{self: s.cfg.Self, keys: s.cfg.Keys, timeout: s.cfg.HandshakeTimeout}
}

// reject counts a rejected connection or message and logs it. The rate of log
// events is limited to one per second, with bursts of 10.
func (s *shared) reject(address string, reason Reason) {
	s.counters.Rejected.Inc(1)
	if s.logLimiter.Allow() {
		s.log.Emit(event.PeerRejected{Address: address, Reason: string(reason), Total: s.counters.Rejected.Count()})
	}
}
