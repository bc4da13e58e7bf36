// Package platform is the client of the platform's table service, object store
// and VM list.
//
// A write ends in one of three outcomes: applied, not applied or unknown. Only
// three things prove that it was not applied: the client sent nothing, the
// table returned a failed condition, or the response carries wire.HeaderApplied
// with the value "no". A status of 503 or 429 alone proves nothing, as it may come
// from an intermediary between the client and the table.
//
// A response to a write that exceeds a bound of bytes proves nothing: its outcome is unknown.
//
// Every wait of the client is bounded: a request that this VM's share of the
// store's rate does not admit within Rates.MaxWait, or that exceeds the limit of
// requests in flight, is refused without being sent.
package platform

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/dial"
)

// maxResponseBytes bounds the body of a response, and with it the size of an object, of a page of
// rows and of the failed conditions of a write.
const maxResponseBytes = 16 << 20

// Outcome is the result of a write.
type Outcome int

// The outcomes. OutcomeUnknown means that the write may have taken effect, or
// may still do so.
const (
	OutcomeUnknown Outcome = iota
	OutcomeApplied
	OutcomeNotApplied
)

// Config configures a Client.
type Config struct {
	// Address is the address of the platform, IP and port.
	Address string
	// AttemptTimeout bounds one attempt, including the wait for this VM's share
	// of the rate.
	AttemptTimeout time.Duration
	// Timeout bounds all attempts of one request, including the back-off between
	// them.
	Timeout time.Duration
	// Attempts is the maximum number of attempts of one request.
	Attempts int
	// InFlight is the maximum number of requests in flight; any further request
	// is refused.
	InFlight int
	// Rates bounds the requests of all VMs together and the share of one VM.
	Rates Rates
}

// timeoutRatio is the ratio of Timeout to AttemptTimeout in the default
// configuration.
const timeoutRatio = 2

// DefaultConfig returns the default configuration with timeout as the
// AttemptTimeout.
func DefaultConfig(address string, timeout time.Duration) Config {
	return Config{
		Address:        address,
		AttemptTimeout: timeout,
		Timeout:        timeoutRatio * timeout,
		Attempts:       4,
		InFlight:       256,
		Rates:          DefaultRates(),
	}
}

// ConfigError names a field of Config or Rates that is out of range.
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

// Client sends requests to one platform address. It is safe for concurrent use.
type Client struct {
	cfg      Config
	http     *fasthttp.Client
	inFlight chan struct{}
	limits   *limits
	counts   counts
}

// New returns a client with DefaultConfig. It panics if timeout is not positive.
func New(address string, timeout time.Duration) *Client {
	c, err := NewClient(DefaultConfig(address, timeout))
	if err != nil {
		panic(err)
	}
	return c
}

// NewClient returns a client, or a ConfigError if cfg is invalid.
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
			ReadBufferSize:            dial.MaxHeadBytes,
			MaxResponseBodySize:       maxResponseBytes,
			ConfigureClient:           dial.OmitHeads,
		},
		inFlight: make(chan struct{}, cfg.InFlight),
		limits:   newLimits(cfg.Rates, assumedVMs),
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Address returns the address of the platform, IP and port.
func (c *Client) Address() string { return c.cfg.Address }

// SetVMs sets the number of VMs in the membership, among which the store's rate is
// divided.
func (c *Client) SetVMs(n int) {
	c.limits.members.Store(int64(n))
	c.limits.updateShare()
}

// response is the response to one attempt.
type response struct {
	status int
	// notApplied is set if the response proves that a write was not applied.
	notApplied bool
	body       []byte
}

// attempt sends the request once, within the client's limits. The timeout includes
// the wait for this VM's share of the rate. A NotSentError proves that nothing was
// sent.
func (c *Client) attempt(r request, timeout time.Duration) (response, error) {
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
	default:
		return response{}, errors.WithStack(&NotSentError{ReasonBusy})
	}
	wait, ok := c.limits.admit(r.class, timeout)
	if !ok {
		return response{}, errors.WithStack(&NotSentError{ReasonThrottled})
	}
	time.Sleep(wait)
	c.counts.add(r.class)
	return c.send(r, timeout-wait)
}

// send sends the request once, without applying the limits. A response that exceeds a bound of
// bytes is an error, for which dial.OverBound is true.
func (c *Client) send(r request, timeout time.Duration) (response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + c.cfg.Address + r.path)
	req.SetBody(r.body)
	err := c.http.DoTimeout(req, res, timeout)
	if dial.NotSent(err) {
		return response{}, errors.WithStack(&NotSentError{ReasonUnreachable})
	}
	if err != nil {
		return response{}, errors.WithStack(dial.BoundError(err, maxResponseBytes))
	}
	return response{
		status:     res.StatusCode(),
		notApplied: string(res.Header.Peek(wire.HeaderApplied)) == wire.AppliedNo,
		body:       append([]byte(nil), res.Body()...),
	}, nil
}

// request is a request to the platform.
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
