package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/routing"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

// maxWholeBytes bounds an answer that is held whole before it is delivered.
const maxWholeBytes = 64 << 20

// sendResult is what became of one send.
type sendResult struct {
	// delivered says that the caller has its answer.
	delivered bool
	// callerLeft says that the caller's connection is gone.
	callerLeft bool
	// notRun says that the endpoint did not run the request.
	notRun  bool
	outcome dispatch.Outcome
	// blamed is the endpoint at fault where it is another one.
	blamed string
	status int
	// answer is the endpoint's own failure, which is delivered if the request is
	// not sent again.
	answer *answer
	err    error
}

func (r sendResult) reason() string {
	if r.err != nil {
		return r.err.Error()
	}
	return ""
}

// answer is an endpoint's answer that was read whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// UnsealedError says that an endpoint's answer is not vouched for.
type UnsealedError struct{ Status int }

// Error implements error.
func (e *UnsealedError) Error() string { return "unsealed answer " + strconv.Itoa(e.Status) }

// NotResumedError says that an endpoint did not continue a stream.
type NotResumedError struct{ Status int }

// Error implements error.
func (e *NotResumedError) Error() string {
	return "the stream was not continued: answer " + strconv.Itoa(e.Status)
}

// TooLongError says that an answer is too long to be held.
type TooLongError struct{ Bytes int }

// Error implements error.
func (e *TooLongError) Error() string { return "answer of over " + strconv.Itoa(e.Bytes) + " bytes" }

// send sends the request to one endpoint and delivers its answer.
func (x *exchange) send(ctx context.Context, job string, entry directory.Entry, helpers []provider.Helper) sendResult {
	resp, err := x.gateway.cfg.Transport.Send(ctx, x.request(entry, helpers))
	if err != nil {
		return x.failedSend(ctx, err)
	}
	defer resp.Close()
	about := x.gateway.cfg.Dialect.Answer(resp.Status, resp.Header)
	switch {
	case about.NotRun:
		// Read to its end, so that the connection can be kept.
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWholeBytes))
		return sendResult{notRun: true, outcome: dispatch.Rejected, blamed: x.blamed(about.AtFault), status: resp.Status, err: err}
	case x.route.Kind == routing.Streaming && resp.Status == http.StatusOK:
		if !about.Sealed {
			return unsealed(resp.Status)
		}
		return x.relay(ctx, job, resp)
	}
	return x.whole(ctx, resp, about.Sealed)
}

// blamed is the ID of the endpoint that is named as at fault by its ID or its
// address; empty where it isn't known.
func (x *exchange) blamed(named string) string {
	if named == "" {
		return ""
	}
	if _, ok := x.gateway.cfg.Directory.Entry(named); ok {
		return named
	}
	for id, address := range x.asked {
		if address == named {
			return id
		}
	}
	return ""
}

// failedSend says what a send without an answer leaves open.
func (x *exchange) failedSend(ctx context.Context, err error) sendResult {
	result := sendResult{outcome: dispatch.Failed, err: err}
	var unsent *upstream.UnsentError
	if errors.As(err, &unsent) {
		result.notRun = true
	}
	if ctx.Err() != nil && x.r.Context().Err() != nil {
		result.outcome = dispatch.Abandoned
	}
	return result
}

func unsealed(status int) sendResult {
	return sendResult{outcome: dispatch.Failed, status: status, err: errors.WithStack(&UnsealedError{status})}
}

// whole reads an answer to its end before any of it is delivered, so that one
// that is cut short can still be replaced.
func (x *exchange) whole(ctx context.Context, resp *upstream.Response, sealed bool) sendResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeBytes+1))
	if err == nil && len(body) > maxWholeBytes {
		err = errors.WithStack(&TooLongError{maxWholeBytes})
	}
	if err != nil {
		return x.failedSend(ctx, err)
	}
	a := &answer{status: resp.Status, header: resp.Header, body: body}
	result := sendResult{outcome: dispatch.Served, status: resp.Status}
	switch {
	case x.stream.begun:
		// The caller has the head of another answer, which this one can't continue.
		result.outcome = dispatch.Failed
		result.err = errors.WithStack(&NotResumedError{resp.Status})
		return result
	case resp.Status < http.StatusMultipleChoices && !sealed:
		return unsealed(resp.Status)
	case promises(resp.Status):
		// The status would promise that the request did not run, and the
		// endpoint doesn't say so.
		result.outcome = dispatch.Failed
		result.err = errors.WithStack(&UnsealedError{resp.Status})
		return result
	case resp.Status >= http.StatusInternalServerError:
		result.outcome = dispatch.Failed
		result.answer = a
		return result
	}
	return x.deliver(a)
}

// promises reports whether callers take the status as proof that the request did
// not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver writes an answer that was read whole.
func (x *exchange) deliver(a *answer) sendResult {
	x.status = a.status
	x.returnHeader(a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		return callerLeft(a.status, err)
	}
	return sendResult{delivered: true, outcome: dispatch.Served, status: a.status}
}

// callerLeft is the result of an answer that could not be delivered.
func callerLeft(status int, err error) sendResult {
	return sendResult{callerLeft: true, outcome: dispatch.Abandoned, status: status, err: errors.WithStack(err)}
}

// returnHeader prepares the header of an endpoint's answer.
func (x *exchange) returnHeader(from http.Header) {
	h := x.w.Header()
	for name, values := range x.gateway.cfg.Dialect.Returned(from) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Without this the library would add a guess.
		h["Content-Type"] = nil
	}
}
