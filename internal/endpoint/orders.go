package endpoint

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/dial"
)

// StaleFencingError reports that the endpoint refused an order because of its outdated
// fencing number.
type StaleFencingError struct{ Fencing int64 }

// Error implements error.
func (*StaleFencingError) Error() string { return "endpoint: order refused: outdated fencing number" }

// Describe returns the state that the endpoint reports.
func (c *Caller) Describe(address string, timeout time.Duration) (wire.Description, error) {
	return getJSON[wire.Description](c.lists, address+wire.PathDescription, timeout)
}

// SendOrder sends the order, without a retry. After a StaleFencingError, a
// RefusedError or a NotSentError the endpoint has not accepted the order; after
// any other error it may have, also after one whose response exceeds a bound of bytes.
func (c *Caller) SendOrder(address string, order wire.Order, timeout time.Duration) error {
	data, err := json.Marshal(order)
	if err != nil {
		return errors.WithStack(err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetConnectionClose()
	req.SetRequestURI("http://" + address + wire.PathOrders)
	req.SetBody(data)
	err = c.orders.DoTimeout(req, res, timeout)
	switch {
	case dial.NotSent(err):
		return errors.WithStack(&NotSentError{err})
	case err != nil:
		return errors.WithStack(dial.BoundError(err, maxControlBytes))
	}
	return orderError(res.StatusCode(), order)
}

// orderError returns the error for the HTTP status of the response to an order.
func orderError(status int, order wire.Order) error {
	switch status {
	case fasthttp.StatusNoContent, fasthttp.StatusOK:
		return nil
	case fasthttp.StatusConflict:
		return errors.WithStack(&StaleFencingError{order.Fencing})
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return errors.WithStack(&RefusedError{status})
	}
	return errors.WithStack(&StatusError{status})
}
