package httpcheck

import (
	"io"
	"net"

	"github.com/pkg/errors"
)

// Conn is a connection of a client that has written the whole request when it reads the end of a
// response, as fasthttp has, or that learns of it otherwise (Trace).
type Conn struct{ net.Conn }

// NewConn returns a Conn.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn. An end that makes a response incomplete is an UnfinishedRequestError.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !Acknowledged(c.Conn) {
		return n, errors.WithStack(&UnfinishedRequestError{})
	}
	return n, err //nolint:wrapcheck // callers tell io.EOF from other errors
}
