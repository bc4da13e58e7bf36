package gateway

import (
	"cmp"
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

const (
	// maxBufferedBytes bounds a response body that is buffered before it is
	// delivered. The rest of a larger one is delivered as it arrives.
	maxBufferedBytes = 1 << 20
	// maxResponseBytes bounds a response body.
	maxResponseBytes = 64 << 20
	// maxRejectionBytes bounds how much of a rejection's body is read; its connection
	// is closed if it has more.
	maxRejectionBytes = 16 << 10
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	// delivered is set when the whole response was written to the caller.
	delivered bool
	// callerLeft is set when writing to the caller's connection failed.
	callerLeft bool
	// notRun is set when it is certain that the endpoint did not run the request.
	notRun bool
	// unsent is set when no byte of the request was sent to the endpoint.
	unsent  bool
	outcome dispatch.Outcome
	// blamed is the ID of the endpoint at fault; empty for the one that
	// received the request.
	blamed string
	status int
	// replaced is set when another attempt has begun to answer in place of this one.
	replaced bool
	// failureResponse is the endpoint's server error, which is delivered if the
	// request is not sent again.
	failureResponse *bufferedResponse
	err             error
}

func (r attemptResult) reason() string {
	if r.err != nil {
		return r.err.Error()
	}
	return ""
}

// bufferedResponse is an endpoint's response with its whole body.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// UnprovenError reports a response that lacks the endpoint's proof: a success
// without the endpoint's seal, or a status that implies that the request did
// not run where the endpoint does not prove it.
type UnprovenError struct{ Status int }

// Error implements error.
func (e *UnprovenError) Error() string {
	return "response lacks the endpoint's proof: status " + strconv.Itoa(e.Status)
}

// NotResumedError reports that an endpoint did not resume a stream.
type NotResumedError struct{ Status int }

// Error implements error.
func (e *NotResumedError) Error() string {
	return "stream not resumed: response status " + strconv.Itoa(e.Status)
}

// ResponseTooLargeError reports a response body that exceeds a size limit.
type ResponseTooLargeError struct{ Bytes int }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return "response larger than " + strconv.Itoa(e.Bytes) + " bytes"
}

// relay delivers the response of an attempt.
func (x *exchange) relay(ctx context.Context, o *openedAttempt) attemptResult {
	if o.buffer != nil {
		return x.relayStream(ctx, o)
	}
	meta := x.observe(o)
	switch {
	case meta.NotRun:
		// Drain the body so that the connection can be reused.
		_, err := io.Copy(io.Discard, io.LimitReader(o.resp.Body, maxRejectionBytes))
		return attemptResult{notRun: true, outcome: dispatch.Rejected, blamed: x.blamed(meta.AtFault), status: o.resp.Status, err: err}
	case x.streams(o.resp):
		if !meta.Sealed {
			return unproven(o.resp.Status)
		}
		return x.relayStream(ctx, o)
	}
	return x.relayBuffered(ctx, o.job, o.resp, meta.Sealed)
}

// streams reports whether a response is to be delivered event by event.
func (x *exchange) streams(resp *upstream.Response) bool {
	return x.route.Kind == routing.Streaming && resp.Status == http.StatusOK && isEventStream(resp)
}

// responseHeader returns what the header of an attempt's response says, which is decoded once.
func (x *exchange) responseHeader(o *openedAttempt) provider.ResponseHeader {
	if o.meta == nil {
		meta := x.gateway.cfg.Headers.DecodeResponse(o.resp.Status, o.resp.Header)
		o.meta = &meta
	}
	return *o.meta
}

// observe records what the header of an attempt's response says, and returns it.
func (x *exchange) observe(o *openedAttempt) provider.ResponseHeader {
	meta := x.responseHeader(o)
	if o.observed {
		return meta
	}
	o.observed = true
	resp := o.resp
	x.framing, x.via = resp.Framing, resp.Via
	if resp.Framing == upstream.ByClose {
		x.gateway.closeFramed.Inc(1)
	}
	x.gateway.cfg.Directory.Observed(o.entry.Incarnation(), meta)
	resp.Observed(meta.RetryAfter, meta.Leaving)
	x.limit = limitText(meta)
	if resp.Status != http.StatusMisdirectedRequest {
		x.gateway.cfg.Placer.Answered(o.job, meta.Limit)
	}
	return meta
}

// limitText returns the limit that a response names, as it is logged.
func limitText(meta provider.ResponseHeader) string {
	return cmp.Or(meta.Limit.Text(), meta.UnreadableLimit)
}

// blamed returns the ID of the endpoint that a response names as at fault, by
// ID or address; empty if it is unknown.
func (x *exchange) blamed(named string) string {
	if named == "" {
		return ""
	}
	if _, availability := x.gateway.cfg.Directory.Lookup(named); availability != directory.Unlisted {
		return named
	}
	for id, address := range x.helperAddresses {
		if address == named {
			return id
		}
	}
	return ""
}

// failedAttempt returns the result of an attempt that ended without a complete
// response.
func (x *exchange) failedAttempt(ctx context.Context, err error) attemptResult {
	result := attemptResult{outcome: dispatch.Failed, err: err}
	var unsent *upstream.UnsentError
	if errors.As(err, &unsent) {
		result.notRun, result.unsent = true, true
	}
	if upstream.PathLost(err) {
		// It says nothing of the endpoint.
		result.outcome = dispatch.Abandoned
	}
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		result.outcome = unavailableOutcome(unavailable.Availability)
	}
	var withheld *WithheldError
	var refused *HedgeRefusedError
	if errors.As(err, &withheld) || errors.As(err, &refused) {
		result.outcome = dispatch.Abandoned
	}
	if ctx.Err() != nil && (x.standingBy || x.r.Context().Err() != nil || x.gateway.exitingSoon()) {
		result.outcome = dispatch.Abandoned
	}
	return result
}

func unproven(status int) attemptResult {
	return attemptResult{outcome: dispatch.Failed, status: status, err: errors.WithStack(&UnprovenError{status})}
}

// notResumed returns the result of a response that doesn't continue the stream of which the
// caller has the begin. Nothing of it is delivered.
func notResumed(status int) attemptResult {
	return attemptResult{outcome: dispatch.Failed, status: status, err: errors.WithStack(&NotResumedError{status})}
}

// bufferLimit returns how much of a response is read before any of it is delivered. What came late
// in a stop must not be cut by the end of the process: it is not begun before it is whole.
func (x *exchange) bufferLimit() int {
	if x.gateway.afterLate(x.arrived) {
		return maxResponseBytes
	}
	return maxBufferedBytes
}

// relayBuffered reads up to bufferLimit of the response, as far as there is memory, before any of it
// is delivered, so that a truncated one can still be replaced by another endpoint's.
func (x *exchange) relayBuffered(ctx context.Context, job string, resp *upstream.Response, sealed bool) attemptResult {
	body, complete, err := x.readBuffered(resp, sealed)
	if err != nil {
		return x.failedAttempt(ctx, err)
	}
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	result := attemptResult{outcome: dispatch.Served, status: resp.Status}
	switch {
	case x.stream.headerSent.Load():
		// The caller already has the header of a stream, which a response of
		// another kind can't continue.
		return notResumed(resp.Status)
	case resp.Status < http.StatusMultipleChoices && !sealed:
		return unproven(resp.Status)
	case impliesNotRun(resp.Status):
		// Callers take this status as proof that the request did not run, but the
		// endpoint did not prove it.
		result.outcome = dispatch.Failed
		result.err = errors.WithStack(&UnprovenError{resp.Status})
		return result
	case resp.Status >= http.StatusInternalServerError:
		result.outcome = dispatch.Failed
		if !complete {
			result.err = errors.WithStack(&ResponseTooLargeError{x.bufferLimit()})
		} else if result.err = x.retain(resp, buffered); result.err == nil {
			result.failureResponse = buffered
		}
		return result
	}
	if !complete && x.gateway.afterLate(x.arrived) {
		return attemptResult{outcome: dispatch.Failed, status: resp.Status, err: errors.WithStack(&ResponseTooLargeError{x.bufferLimit()})}
	}
	if len(x.call.PromptParts) > 0 && resp.Status < http.StatusMultipleChoices {
		x.gateway.cfg.Placer.Began(job)
	}
	if !complete {
		return x.deliverLarge(ctx, resp, body)
	}
	return x.deliver(buffered)
}

// deliverLarge delivers a response that is too large to be buffered, or for which there is no
// memory: the begin of its body that was read, and then the rest as it arrives. If that breaks, the
// caller gets a truncated response.
func (x *exchange) deliverLarge(ctx context.Context, resp *upstream.Response, begin []byte) attemptResult {
	x.stream.headerSent.Store(true)
	x.status = resp.Status
	x.setResponseHeader(resp.Header)
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	} else {
		x.beginUnframed()
	}
	x.w.WriteHeader(resp.Status)
	if _, err := x.w.Write(begin); err != nil {
		return callerLeft(resp.Status, err)
	}
	rest := &readErrors{r: resp.Body, remaining: maxResponseBytes - len(begin)}
	resp.Memory.Shrink(cap(begin))
	if _, err := io.CopyBuffer(writerOnly{x.w}, rest, make([]byte, copyBuffer)); err != nil && rest.err == nil {
		return callerLeft(resp.Status, err)
	}
	if rest.err != nil {
		return x.failedAttempt(ctx, rest.err)
	}
	x.endUnframed()
	return attemptResult{delivered: true, outcome: dispatch.Served, status: resp.Status}
}

// readErrors bounds the bytes read from r and records the error that ended reading,
// which tells it from an error of writing.
type readErrors struct {
	r         io.Reader
	remaining int
	err       error
}

// Read implements io.Reader.
func (r *readErrors) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.remaining -= n
	if r.remaining < 0 {
		err = errors.WithStack(&ResponseTooLargeError{maxResponseBytes})
	}
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err //nolint:wrapcheck // io.Copy expects io.EOF as it is
}

// impliesNotRun reports whether callers take the status as proof that the
// request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver writes a buffered response to the caller.
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

// callerLeft returns the result of a response that could not be written to the
// caller.
func callerLeft(status int, err error) attemptResult {
	return attemptResult{callerLeft: true, outcome: dispatch.Abandoned, status: status, err: errors.WithStack(err)}
}

// setResponseHeader copies the header of an endpoint's response that the caller
// gets.
func (x *exchange) setResponseHeader(from http.Header) {
	h := x.w.Header()
	for name, values := range x.gateway.cfg.Headers.EncodeResponse(from) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from adding a Content-Type that it guesses from the
		// body.
		h["Content-Type"] = nil
	}
}
