package endpoint

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/dial"
)

// InsufficientMemoryError reports that an engine has not enough free memory for a reservation.
type InsufficientMemoryError struct {
	// Free is the engine's free memory, in tokens.
	Free int64
}

// Error implements error.
func (*InsufficientMemoryError) Error() string {
	return "endpoint: not enough free memory for the reservation"
}

// ReservationNotFoundError reports that an engine does not hold the reservation.
type ReservationNotFoundError struct{}

// Error implements error.
func (*ReservationNotFoundError) Error() string { return "endpoint: reservation not found" }

// Reserve reserves memory at an engine or renews a reservation. After an
// InsufficientMemoryError or a ReservationNotFoundError the engine holds no memory
// for the reservation, and after a NotSentError nothing has changed; after any
// other error the reservation may have been made or renewed.
func (c *Caller) Reserve(address string, r wire.Reservation, timeout time.Duration) error {
	data, err := json.Marshal(r)
	if err != nil {
		return errors.WithStack(err)
	}
	status, body, err := send(c.control, fasthttp.MethodPost, address+wire.PathReservations, data, timeout)
	if err != nil {
		return err
	}
	var refusal wire.ReservationRefusal
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return errors.WithStack(&ReservationNotFoundError{})
	case fasthttp.StatusConflict:
		if err := json.Unmarshal(body, &refusal); err != nil {
			return errors.WithStack(err)
		}
		return errors.WithStack(&InsufficientMemoryError{refusal.FreeTokens})
	}
	return errors.WithStack(&StatusError{status})
}

// Release releases a reservation. It is not an error if the engine does not hold
// it.
func (c *Caller) Release(address, id string, timeout time.Duration) error {
	path := address + wire.PathReservations + "/" + url.PathEscape(id)
	status, _, err := send(c.control, fasthttp.MethodDelete, path, nil, timeout)
	if err == nil && status >= fasthttp.StatusBadRequest && status != fasthttp.StatusNotFound {
		return errors.WithStack(&StatusError{status})
	}
	return err
}

// Reservations lists the reservations at an engine.
func (c *Caller) Reservations(address string, timeout time.Duration) ([]wire.Reservation, error) {
	list, err := getJSON[wire.ReservationList](c.lists, address+wire.PathReservations, timeout)
	return list.Reservations, err
}

// send sends one request and returns the status and the body of the response. A
// NotSentError reports that no byte of the request was sent. For a response that exceeds a bound of
// bytes dial.OverBound is true.
func send(c *fasthttp.Client, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + path)
	req.SetBody(body)
	err := c.DoTimeout(req, res, timeout)
	if dial.NotSent(err) {
		return 0, nil, errors.WithStack(&NotSentError{err})
	}
	if err != nil {
		return 0, nil, errors.WithStack(dial.BoundError(err, c.MaxResponseBodySize))
	}
	return res.StatusCode(), append([]byte(nil), res.Body()...), nil
}
