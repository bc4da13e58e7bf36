package httpcheck

import (
	"io"
	"net"

	"github.com/pkg/errors"
)

// EndConn is a connection at whose regular end it is checked that the other system has acknowledged all
// that was written. Its client must read that end only after it has written the request, or know by
// other means whether it has (Trace).
type EndConn struct{ net.Conn }

// NewEndConn returns an EndConn.
func NewEndConn(c net.Conn) *EndConn { return &EndConn{c} }

// Read implements net.Conn. An end that makes a response incomplete is an UnfinishedRequestError.
func (c *EndConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !Acknowledged(c.Conn) {
		return n, errors.WithStack(&UnfinishedRequestError{})
	}
	return n, err //nolint:wrapcheck // callers tell io.EOF from other errors
}

// SequentialConn is an EndConn of a client that writes a whole request before it reads the response,
// as fasthttp does, and doesn't pipeline. It checks the status as well.
type SequentialConn struct {
	EndConn
	status statusReader
}

// NewSequentialConn returns a SequentialConn.
func NewSequentialConn(c net.Conn) *SequentialConn {
	return &SequentialConn{EndConn: EndConn{c}}
}

// Write implements net.Conn.
func (c *SequentialConn) Write(p []byte) (int, error) {
	c.status.reset()
	return c.EndConn.Write(p) //nolint:wrapcheck // as net.Conn has it
}

// Read implements net.Conn. A status that is not valid is an InvalidStatusError.
func (c *SequentialConn) Read(p []byte) (int, error) {
	n, err := c.EndConn.Read(p)
	if failure := c.status.read(p[:n]); failure != nil {
		return 0, failure
	}
	return n, err
}
