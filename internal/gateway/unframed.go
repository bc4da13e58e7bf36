package gateway

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

const (
	// lingerReset makes the end of a connection reset it, also that of the process.
	lingerReset = 0
	// lingerDefault makes Close send what is not sent yet, and end the connection
	// regularly.
	lingerDefault = -1
)

// lingerer is a connection that can be made to end with a reset.
type lingerer interface {
	SetLinger(seconds int) error
}

// connKey is the key of a caller's connection in the contexts of its requests.
type connKey struct{}

// ConnContext is the http.Server.ConnContext of a server that serves callers.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// framed reports whether the caller can tell the end of a response without a length
// from the end of its connection: HTTP/1.1 has chunks for that, and HTTP/1.0 has not.
func (x *exchange) framed() bool { return x.r.ProtoAtLeast(1, 1) }

// beginUnframed makes the end of the caller's connection a reset until endUnframed, so
// that a response that breaks off does not look complete.
func (x *exchange) beginUnframed() { x.setLinger(lingerReset) }

// endUnframed makes the end of the connection a regular one after a whole response.
func (x *exchange) endUnframed() { x.setLinger(lingerDefault) }

func (x *exchange) setLinger(seconds int) {
	c, ok := x.r.Context().Value(connKey{}).(lingerer)
	if !ok || x.framed() {
		return
	}
	if err := errors.WithStack(c.SetLinger(seconds)); err != nil {
		x.gateway.cfg.Log.Emit(event.LingerNotSet{Request: x.call.ID, Reason: err.Error()})
	}
}
