package peer

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

// Config is what one VM's end of the protocol needs.
type Config struct {
	// Self is this VM.
	Self Identity
	// Keys are valid for peers; the first one proves this VM. During a rotation
	// there are two.
	Keys []string
	// MaxMessageBytes bounds a message, with its authentication code.
	MaxMessageBytes int
	// MaxConnections bounds the connections of peers to this VM.
	MaxConnections int
	// HandshakeTimeout bounds each step of a handshake.
	HandshakeTimeout time.Duration
}

// Defaults of a Config.
const (
	defaultMaxMessageBytes  = 4 << 20
	defaultMaxConnections   = 2048
	defaultHandshakeTimeout = 2 * time.Second
)

// withDefaults fills in what is not set.
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

// KeysError says that a Config has no key.
type KeysError struct{}

// Error implements error.
func (*KeysError) Error() string { return "peers need at least one key" }

// end is what the server and the client of one VM share.
type end struct {
	cfg      Config
	mux      *Mux
	log      *event.Logger
	counters *Counters
	logged   *rate.Limiter
}

func newEnd(cfg Config, mux *Mux, log *event.Logger, registry metrics.Registry) *end {
	return &end{
		cfg:      cfg.withDefaults(),
		mux:      mux,
		log:      log,
		counters: NewCounters(registry),
		logged:   rate.NewLimiter(rate.Every(time.Second), 10),
	}
}

func (e *end) handshaker() handshaker {
	return handshaker{e.cfg.Self, e.cfg.Keys, e.cfg.HandshakeTimeout}
}

// reject counts a refused connection or message and logs it, at a bounded rate.
func (e *end) reject(address string, reason Reason) {
	e.counters.Rejected.Inc(1)
	if e.logged.Allow() {
		e.log.Emit(event.PeerRejected{Address: address, Reason: string(reason), Total: e.counters.Rejected.Count()})
	}
}
