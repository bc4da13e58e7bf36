package endpoint

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// invalidStatuses are statuses that are not valid.
var invalidStatuses = []string{"000", "001", "099", "101", "1000", "20", "2x0", "+20", "-20", "+99", ""}

// TestInvalidStatusIsNoResponse guards against a status that is not valid counting as a success, which
// 000 does where it is read as 200, or as a refusal: whether the request ran is not known.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const timeout = 5 * time.Second
	for _, status := range invalidStatuses {
		for _, before := range []string{"", "HTTP/1.1 102 Processing\r\nX: 1\r\n\r\n"} {
			t.Run(status, func(t *testing.T) {
				t.Parallel()
				c, streams := NewCaller(), New()
				defer c.Close()
				defer streams.Close()
				address := serveRaw(t, before+"HTTP/1.1 "+status+" X\r\n"+wire.HeaderRan+": no\r\nContent-Length: 2\r\n\r\n{}", false)
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				for name, send := range map[string]func() error{
					"call": func() error {
						_, err := c.Do(Call{Address: address, Operation: "x", Timeout: timeout})
						return err
					},
					"probe":       func() error { _, err := c.Load(address, timeout); return err },
					"description": func() error { _, err := c.Describe(address, timeout); return err },
					"events":      func() error { _, err := c.CacheEvents(address, 1, timeout); return err },
					"order":       func() error { return c.SendOrder(address, wire.Order{}, timeout) },
					"reservation": func() error { return c.Reserve(address, wire.Reservation{}, timeout) },
					"release":     func() error { return c.Release(address, "r", timeout) },
					"cancel":      func() error { return c.Cancel(address, wire.Cancel{}, timeout) },
					"stream": func() error {
						_, err := streams.Open(ctx, Attempt{Address: address, Path: "/", Request: "r", Number: 1})
						return err
					},
				} {
					err := send()
					require.Error(t, err, name)
					var refused *RefusedError
					var notSent *NotSentError
					require.False(t, errors.As(err, &refused) || errors.As(err, &notSent), "%s: it may have run: %v", name, err)
					require.NoError(t, ctx.Err(), "%s waits for another response", name)
				}
			})
		}
	}
}

// TestStatusAboveTheStandardIsAnError guards against a status above 599 counting as a success of a
// control request.
func TestStatusAboveTheStandardIsAnError(t *testing.T) {
	const timeout = 5 * time.Second
	for _, status := range []string{"600", "999"} {
		c := NewCaller()
		defer c.Close()
		address := serveRaw(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}", false)
		_, err := c.Load(address, timeout)
		require.Error(t, err)
		require.Error(t, c.SendOrder(address, wire.Order{}, timeout))
		require.Error(t, c.Reserve(address, wire.Reservation{}, timeout))
		require.Error(t, c.Release(address, "r", timeout))
		answer, err := c.Do(Call{Address: address, Operation: "x", Timeout: timeout})
		require.NoError(t, err)
		require.Equal(t, status, string(rune('0'+answer.Status/100))+status[1:], "a service's own error is passed on")
	}
}

// TestResponsesAfterAnInterimOneAreRead guards against the check of the status lines taking a line of a
// header or of a body for one, or an interim response for the last one.
func TestResponsesAfterAnInterimOneAreRead(t *testing.T) {
	const body = `{"at_ms":1}` + "\r\n\r\nHTTP/1.1 000 X\r\n\r\n"
	response := "HTTP/1.1 100 Continue\r\nX: HTTP/1.1 000\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nX: HTTP/1.1 000\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	c := NewCaller()
	defer c.Close()
	address := serveRaw(t, response, false)
	answer, err := c.Do(Call{Address: address, Operation: "x", Timeout: 5 * time.Second})
	require.NoError(t, err)
	require.Equal(t, body, string(answer.Body))
}
