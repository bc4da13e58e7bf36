package api

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
)

const (
	// defaultMaxTokens is the answer limit, in tokens, of a request that sets none.
	defaultMaxTokens = 256
)

// completions handles completion and chat requests, streamed or not.
func (a *API) completions(ctx *fasthttp.RequestCtx, info requestInfo) {
	req, stream, err := a.parsePromptRequest(ctx, info)
	if err != nil {
		a.endRequest()
		a.fail(ctx, info, err)
		return
	}
	if err := a.gate.Admit(req); err != nil {
		a.endRequest()
		a.fail(ctx, info, err)
		return
	}
	answer, err := a.prompts.Start(req)
	if err != nil {
		a.endRequest()
		a.fail(ctx, info, err)
		return
	}
	if stream {
		a.sendStream(ctx, info, answer)
		return
	}
	defer a.endRequest()
	defer answer.Close()
	a.sendComplete(ctx, info, answer)
}

// parsePromptRequest parses and validates a completion request. It also reports
// whether the caller requested a stream.
func (a *API) parsePromptRequest(ctx *fasthttp.RequestCtx, info requestInfo) (prompt.Request, bool, error) {
	raw := append([]byte(nil), bytes.TrimSpace(ctx.PostBody())...)
	var c wire.CompletionRequest
	if err := json.Unmarshal(raw, &c); err != nil {
		return prompt.Request{}, false, errcode.New(errcode.BadRequest, "body: %v", err)
	}
	service, ok := info.snapshot.Services[c.Model]
	if !ok || service.Kind != "model" {
		return prompt.Request{}, false, errcode.New(errcode.UnknownModel, "no model %q", c.Model)
	}
	if !slices.Contains(info.snapshot.Organisations[info.organisation].Services, c.Model) {
		return prompt.Request{}, false, errcode.New(errcode.Forbidden, "service %s is not open to the organisation", c.Model)
	}
	end, err := deadline(ctx, service.MaxTimeoutMs)
	if err != nil {
		return prompt.Request{}, false, err
	}
	body, err := engineBody(raw, c)
	if err != nil {
		return prompt.Request{}, false, err
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	tokens := service.PromptTokens(len(raw))
	return prompt.Request{
		ID:           info.id,
		Organisation: info.organisation,
		Service:      c.Model,
		Path:         string(ctx.Path()),
		Body:         body,
		Tokens:       tokens,
		MaxTokens:    int64(c.MaxTokens),
		Blocks:       wire.Blocks(wire.PromptText(&c)),
		Class:        info.snapshot.ClassOf(tokens),
		Deadline:     end,
		Snapshot:     info.snapshot,
		Caller:       callerConn{ctx.Conn()},
	}, c.Stream, nil
}

// engineBody returns the body of the request to the engine. It is the caller's
// body unchanged if that sets the answer limit, requests a stream and has none of
// the fields for resuming a stream.
func engineBody(raw []byte, c wire.CompletionRequest) ([]byte, error) {
	if c.MaxTokens <= 0 {
		return prompt.FirstBody(raw, defaultMaxTokens)
	}
	if c.Stream && c.Delivered == 0 && c.Resume == "" {
		return raw, nil
	}
	return prompt.FirstBody(raw, 0)
}

// sendStream sends the answer as server-sent events. A failure before the first
// event is returned with its own HTTP status; a later one is sent as the last
// event.
func (a *API) sendStream(ctx *fasthttp.RequestCtx, info requestInfo, answer *prompt.Answer) {
	first, err := answer.Next(true)
	if err != nil && !errors.Is(err, io.EOF) {
		answer.Close()
		a.endRequest()
		a.fail(ctx, info, err)
		return
	}
	body := &eventStream{answer: answer, encodeError: func(err error) []byte { return a.failureEvent(info, err) }, onClose: a.endRequest}
	if err == nil {
		body.addEvent(first)
	} else {
		body.addLast(err)
	}
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.SetBodyStream(body, -1)
}

// failureEvent logs and counts the failure of a stream that has started and returns the
// data of its last event.
func (a *API) failureEvent(info requestInfo, err error) []byte {
	e := errcode.From(err)
	a.log.Emit(event.RequestFailed{Request: info.id, Organisation: info.organisation, Code: string(e.Code)})
	a.metrics.Failed(string(e.Code))
	return encodeFailure(info.id, e)
}

// sendComplete waits for the complete answer and sends it as one response body.
func (a *API) sendComplete(ctx *fasthttp.RequestCtx, info requestInfo, answer *prompt.Answer) {
	var assembled assembler
	for {
		data, err := answer.Next(true)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			a.fail(ctx, info, err)
			return
		}
		if err := assembled.add(data); err != nil {
			a.fail(ctx, info, err)
			return
		}
	}
	data, err := assembled.encode()
	if err != nil {
		a.fail(ctx, info, err)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(data)
}
