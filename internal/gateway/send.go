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

// maxBufferedBytes bounds an answer that is held whole before it is delivered.
const maxBufferedBytes = 64 << 20

// attemptResult is what became of one send.
type attemptResult struct {
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
	// bufferedResponse is the endpoint's own failure, which is delivered if the request is
	// not sent again.
	failureResponse *bufferedResponse
	err             error
}

func (r attemptResult) reason() string {
	if r.err != nil {
		return r.err.Error()
	}
	return ""
}

// bufferedResponse is an endpoint's answer that was read whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// UnprovenError says that an endpoint's answer is not vouched for.
type UnprovenError struct{ Status int }

// Error implements error.
func (e *UnprovenError) Error() string {
	return "response lacks the endpoint's proof: status " + strconv.Itoa(e.Status)
}

// NotResumedError says that an endpoint did not continue a stream.
type NotResumedError struct{ Status int }

// Error implements error.
func (e *NotResumedError) Error() string {
	return "stream not resumed: response status " + strconv.Itoa(e.Status)
}

// ResponseTooLargeError says that an answer is too long to be held.
type ResponseTooLargeError struct{ Bytes int }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return "response larger than " + strconv.Itoa(e.Bytes) + " bytes"
}

// send sends the request to one endpoint and delivers its answer.
func (x *exchange) send(ctx context.Context, job string, entry directory.Entry, helpers []provider.Helper) attemptResult {
	resp, err := x.gateway.cfg.Transport.Send(ctx, x.endpointRequest(entry, helpers))
	if err != nil {
		return x.failedAttempt(ctx, err)
	}
	defer resp.Close()
	meta := x.gateway.cfg.Dialect.Answer(resp.Status, resp.Header)
	switch {
	case meta.NotRun:
		// Read to its end, so that the connection can be kept.
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
		return attemptResult{notRun: true, outcome: dispatch.Rejected, blamed: x.blamed(meta.AtFault), status: resp.Status, err: err}
	case x.route.Kind == routing.Streaming && resp.Status == http.StatusOK:
		if !meta.Sealed {
			return unproven(resp.Status)
		}
		return x.relayStream(ctx, job, resp)
	}
	return x.relayBuffered(ctx, resp, meta.Sealed)
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
	for id, address := range x.helperAddresses {
		if address == named {
			return id
		}
	}
	return ""
}

// failedAttempt says what a send without an answer leaves open.
func (x *exchange) failedAttempt(ctx context.Context, err error) attemptResult {
	result := attemptResult{outcome: dispatch.Failed, err: err}
	var unsent *upstream.UnsentError
	if errors.As(err, &unsent) {
		result.notRun = true
	}
	if ctx.Err() != nil && x.r.Context().Err() != nil {
		result.outcome = dispatch.Abandoned
	}
	return result
}

func unproven(status int) attemptResult {
	return attemptResult{outcome: dispatch.Failed, status: status, err: errors.WithStack(&UnprovenError{status})}
}

// relayBuffered reads an answer to its end before any of it is delivered, so that one
// that is cut short can still be replaced.
func (x *exchange) relayBuffered(ctx context.Context, resp *upstream.Response, sealed bool) attemptResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err == nil && len(body) > maxBufferedBytes {
		err = errors.WithStack(&ResponseTooLargeError{maxBufferedBytes})
	}
	if err != nil {
		return x.failedAttempt(ctx, err)
	}
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	result := attemptResult{outcome: dispatch.Served, status: resp.Status}
	switch {
	case x.stream.headerSent:
		// The caller has the head of another answer, which this one can't continue.
		result.outcome = dispatch.Failed
		result.err = errors.WithStack(&NotResumedError{resp.Status})
		return result
	case resp.Status < http.StatusMultipleChoices && !sealed:
		return unproven(resp.Status)
	case impliesNotRun(resp.Status):
		// The status would promise that the request did not run, and the
		// endpoint doesn't say so.
		result.outcome = dispatch.Failed
		result.err = errors.WithStack(&UnprovenError{resp.Status})
		return result
	case resp.Status >= http.StatusInternalServerError:
		result.outcome = dispatch.Failed
		result.failureResponse = buffered
		return result
	}
	return x.deliver(buffered)
}

// impliesNotRun reports whether callers take the status as proof that the request did
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver writes an answer that was read whole.
func (x *exchange) deliver(resp *bufferedResponse) attemptResult {
	x.status = resp.status
	x.setResponseHeader(resp.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	x.w.WriteHeader(resp.status)
	if _, err := x.w.Write(resp.body); err != nil {
		return callerLeft(resp.status, err)
	}
	return attemptResult{delivered: true, outcome: dispatch.Served, status: resp.status}
}

// callerLeft is the result of an answer that could not be delivered.
func callerLeft(status int, err error) attemptResult {
	return attemptResult{callerLeft: true, outcome: dispatch.Abandoned, status: status, err: errors.WithStack(err)}
}

// setResponseHeader prepares the header of an endpoint's answer.
func (x *exchange) setResponseHeader(from http.Header) {
	h := x.w.Header()
	for name, values := range x.gateway.cfg.Dialect.Returned(from) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Without this the library would add a guess.
		h["Content-Type"] = nil
	}
}
