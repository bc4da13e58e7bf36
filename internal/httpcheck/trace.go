package httpcheck

import (
	"context"
	"net/http"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// Trace tells whether net/http has written a request, which it does while it reads the response.
type Trace struct {
	ctx context.Context //nolint:containedctx // that of the request
	// written receives the result of the last write.
	written chan httptrace.WroteRequestInfo
}

// NewTrace returns a Trace, and the context for the request.
func NewTrace(ctx context.Context) (context.Context, *Trace) {
	t := &Trace{ctx: ctx, written: make(chan httptrace.WroteRequestInfo, 1)}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: t.wrote}), t
}

// wrote records the result of a write. A request that is sent again is written again.
func (t *Trace) wrote(info httptrace.WroteRequestInfo) {
	select {
	case <-t.written:
	default:
	}
	t.written <- info
}

// Complete returns nil if a response whose body was read to its end is complete, and an
// UnfinishedRequestError otherwise. A write that is pending fails once the connection has ended.
func (t *Trace) Complete(resp *http.Response) error {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody {
		return nil
	}
	select {
	case info := <-t.written:
		if info.Err != nil {
			return errors.WithStack(&UnfinishedRequestError{Cause: info.Err})
		}
		return nil
	case <-t.ctx.Done():
		return errors.WithStack(&UnfinishedRequestError{})
	}
}
