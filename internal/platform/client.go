// Package platform is the client of the platform's table service, object store
// and VM list.
package platform

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Outcome tells how a write ended.
type Outcome int

// The outcomes. OutcomeUnknown means that the write may have taken effect.
const (
	OutcomeUnknown Outcome = iota
	OutcomeApplied
	OutcomeNotApplied
)

// StatusError is an answer with an unexpected HTTP status.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "platform: " + e.Path + ": status " + fasthttp.StatusMessage(e.Status)
}

// Client speaks with one platform address. It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	http    *fasthttp.Client
}

// New returns a client whose requests end after timeout.
func New(address string, timeout time.Duration) *Client {
	return &Client{
		address: address,
		timeout: timeout,
		http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
		},
	}
}

// neverRetry keeps the library from repeating a request by itself.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Close frees idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply carries out a transaction. The error says why an outcome is unknown or,
// with OutcomeNotApplied and no failed conditions, why the platform refused it.
func (c *Client) Apply(txn wire.Txn) (wire.TxnResult, Outcome, error) {
	var result wire.TxnResult
	status, err := c.do(fasthttp.MethodPost, wire.PathTxn, txn, &result)
	switch {
	case err != nil:
		return result, OutcomeUnknown, err
	case status == fasthttp.StatusOK && result.Applied:
		return result, OutcomeApplied, nil
	case status == fasthttp.StatusConflict:
		return result, OutcomeNotApplied, nil
	case status == fasthttp.StatusServiceUnavailable, status == fasthttp.StatusTooManyRequests:
		return result, OutcomeNotApplied, errors.WithStack(&StatusError{wire.PathTxn, status})
	}
	return result, OutcomeUnknown, errors.WithStack(&StatusError{wire.PathTxn, status})
}

// Get reads a row; one with AbsentVersion if there is none.
func (c *Client) Get(key string) (wire.Row, error) {
	var row wire.Row
	return row, c.read(wire.PathRows+key, &row)
}

// Scan lists rows by prefix.
func (c *Client) Scan(scan wire.Scan) (wire.ScanResult, error) {
	var result wire.ScanResult
	status, err := c.do(fasthttp.MethodPost, wire.PathScan, scan, &result)
	return result, expect(wire.PathScan, status, fasthttp.StatusOK, err)
}

// VMs reads the platform's list, which lags.
func (c *Client) VMs() (wire.VMList, error) {
	var list wire.VMList
	return list, c.read(wire.PathVMs, &list)
}

// PutObject writes an object.
func (c *Client) PutObject(key string, data []byte) error {
	status, _, err := c.raw(fasthttp.MethodPut, wire.PathObjects+key, data)
	return expect(wire.PathObjects, status, fasthttp.StatusNoContent, err)
}

// GetObject reads an object.
func (c *Client) GetObject(key string) ([]byte, error) {
	status, data, err := c.raw(fasthttp.MethodGet, wire.PathObjects+key, nil)
	return data, expect(wire.PathObjects, status, fasthttp.StatusOK, err)
}

func (c *Client) read(path string, into any) error {
	status, err := c.do(fasthttp.MethodGet, path, nil, into)
	return expect(path, status, fasthttp.StatusOK, err)
}

func expect(path string, status, want int, err error) error {
	if err != nil {
		return err
	}
	if status != want {
		return errors.WithStack(&StatusError{path, status})
	}
	return nil
}

// do sends body as JSON and decodes the answer, where it has one.
func (c *Client) do(method, path string, body, into any) (int, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, errors.WithStack(err)
		}
	}
	status, answer, err := c.raw(method, path, data)
	if err != nil {
		return 0, err
	}
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return status, nil
	}
	return status, errors.WithStack(json.Unmarshal(answer, into))
}

func (c *Client) raw(method, path string, body []byte) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, res, c.timeout); err != nil {
		return 0, nil, errors.WithStack(err)
	}
	return res.StatusCode(), append([]byte(nil), res.Body()...), nil
}
