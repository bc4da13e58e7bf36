// Package platform is the client of the platform's table service, object store
// and VM list.
//
// A write ends in one of three outcomes: applied, not applied or unknown. Only
// three things prove that it was not applied: the client sent nothing, the
// table named a failed condition, or the answer carries wire.HeaderApplied with
// the value "no". A status of 503 or 429 by itself proves nothing, as
// something between the client and the table may have answered.
//
// The client never waits without a bound: it refuses by itself what would pass
// this VM's share of the store's rate, or its number of requests in flight.
package platform

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/dial"
)

// Outcome tells how a write ended.
type Outcome int

// The outcomes. OutcomeUnknown means that the write may have taken effect, or
// may still do so.
const (
	OutcomeUnknown Outcome = iota
	OutcomeApplied
	OutcomeNotApplied
)

// Config of a Client.
type Config struct {
	// Address of the platform, IP and port.
	Address string
	// AttemptTimeout bounds one attempt.
	AttemptTimeout time.Duration
	// Timeout bounds all attempts of one request, waits included.
	Timeout time.Duration
	// Attempts bounds their number.
	Attempts int
	// InFlight bounds the requests at one time; one more is refused.
	InFlight int
	// Rates is the share of the store that all VMs together may use.
	Rates Rates
}

// attemptsPerTimeout is how many timeouts of one attempt all attempts may take.
const attemptsPerTimeout = 2

// DefaultConfig returns a Config whose attempts end after timeout.
func DefaultConfig(address string, timeout time.Duration) Config {
	return Config{
		Address:        address,
		AttemptTimeout: timeout,
		Timeout:        attemptsPerTimeout * timeout,
		Attempts:       4,
		InFlight:       256,
		Rates:          DefaultRates(),
	}
}

// ConfigError says which field of a Config is wrong.
type ConfigError struct{ Field string }

// Error implements error.
func (e *ConfigError) Error() string { return "platform: " + e.Field + " must be positive" }

func (c Config) validate() error {
	switch {
	case c.AttemptTimeout <= 0:
		return &ConfigError{"AttemptTimeout"}
	case c.Timeout <= 0:
		return &ConfigError{"Timeout"}
	case c.Attempts <= 0:
		return &ConfigError{"Attempts"}
	case c.InFlight <= 0:
		return &ConfigError{"InFlight"}
	}
	return c.Rates.validate()
}

// Client speaks with one platform address. It is safe for concurrent use.
type Client struct {
	cfg      Config
	http     *fasthttp.Client
	inFlight chan struct{}
	limits   *limits
	counts   counts
}

// New returns a client with the default configuration, whose attempts end after
// timeout.
func New(address string, timeout time.Duration) *Client {
	c, err := NewClient(DefaultConfig(address, timeout))
	if err != nil {
		panic(err)
	}
	return c
}

// NewClient returns a client, or a ConfigError.
func NewClient(cfg Config) (*Client, error) {
	if err := cfg.validate(); err != nil {
		return nil, errors.WithStack(err)
	}
	return &Client{
		cfg: cfg,
		http: &fasthttp.Client{
			MaxConnsPerHost:           cfg.InFlight,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                dial.NoRetry,
			DialTimeout:               dial.TCP,
		},
		inFlight: make(chan struct{}, cfg.InFlight),
		limits:   newLimits(cfg.Rates, assumedVMs),
	}, nil
}

// Close frees idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Address is the platform's, IP and port.
func (c *Client) Address() string { return c.cfg.Address }

// SetVMs tells the client how many VMs the membership knows to share the store.
func (c *Client) SetVMs(n int) {
	c.limits.members.Store(int64(n))
	c.limits.share()
}

// answer is what came back on one attempt.
type answer struct {
	status     int
	notApplied bool
	body       []byte
}

// attempt sends the request once, within the client's limits and the timeout,
// which the wait for this VM's share counts against. An error that
// is a NotSentError proves that nothing was sent.
func (c *Client) attempt(r request, timeout time.Duration) (answer, error) {
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
	default:
		return answer{}, errors.WithStack(&NotSentError{ReasonBusy})
	}
	wait, ok := c.limits.admit(r.class, timeout)
	if !ok {
		return answer{}, errors.WithStack(&NotSentError{ReasonThrottled})
	}
	time.Sleep(wait)
	c.counts.add(r.class)
	return c.raw(r, timeout-wait)
}

// raw sends the request, once.
func (c *Client) raw(r request, timeout time.Duration) (answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + c.cfg.Address + r.path)
	req.SetBody(r.body)
	err := c.http.DoTimeout(req, res, timeout)
	if dial.NotSent(err) {
		return answer{}, errors.WithStack(&NotSentError{ReasonUnreachable})
	}
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	return answer{
		status:     res.StatusCode(),
		notApplied: string(res.Header.Peek(wire.HeaderApplied)) == wire.AppliedNo,
		body:       append([]byte(nil), res.Body()...),
	}, nil
}

// request is one request to the platform.
type request struct {
	class  Class
	method string
	path   string
	body   []byte
}

func encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	return data, errors.WithStack(err)
}
