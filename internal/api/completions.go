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
	// defaultMaxTokens is the longest answer of a request that sets none.
	defaultMaxTokens = 256
)

// completions answers a completion or a chat, streamed or whole.
func (a *API) completions(ctx *fasthttp.RequestCtx, s scope) {
	req, stream, err := a.promptRequest(ctx, s)
	if err != nil {
		a.leave()
		a.fail(ctx, s, err)
		return
	}
	if err := a.gate.Admit(req); err != nil {
		a.leave()
		a.fail(ctx, s, err)
		return
	}
	answer, err := a.prompts.Start(req)
	if err != nil {
		a.leave()
		a.fail(ctx, s, err)
		return
	}
	if stream {
		a.stream(ctx, s, answer)
		return
	}
	defer a.leave()
	defer answer.Close()
	a.whole(ctx, s, answer)
}

// promptRequest reads and checks a caller's prompt.
func (a *API) promptRequest(ctx *fasthttp.RequestCtx, s scope) (prompt.Request, bool, error) {
	raw := append([]byte(nil), bytes.TrimSpace(ctx.PostBody())...)
	var c wire.CompletionRequest
	if err := json.Unmarshal(raw, &c); err != nil {
		return prompt.Request{}, false, errcode.New(errcode.BadRequest, "body: %v", err)
	}
	service, ok := s.snapshot.Services[c.Model]
	if !ok || service.Kind != "model" {
		return prompt.Request{}, false, errcode.New(errcode.UnknownModel, "no model %q", c.Model)
	}
	if !slices.Contains(s.snapshot.Organisations[s.organisation].Services, c.Model) {
		return prompt.Request{}, false, errcode.New(errcode.Forbidden, "service %s is not open to the organisation", c.Model)
	}
	end, err := deadline(ctx, service.MaxTimeoutMs)
	if err != nil {
		return prompt.Request{}, false, err
	}
	body, err := firstBody(raw, c)
	if err != nil {
		return prompt.Request{}, false, err
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	tokens := service.PromptTokens(len(raw))
	return prompt.Request{
		ID:           s.id,
		Organisation: s.organisation,
		Service:      c.Model,
		Path:         string(ctx.Path()),
		Body:         body,
		Tokens:       tokens,
		MaxTokens:    int64(c.MaxTokens),
		Blocks:       wire.Blocks(wire.PromptText(&c)),
		Class:        s.snapshot.ClassOf(tokens),
		Deadline:     end,
		Snapshot:     s.snapshot,
		Caller:       connection{ctx.Conn()},
	}, c.Stream, nil
}

// firstBody is what goes to the engine: the caller's own bytes where nothing has
// to be changed in them.
func firstBody(raw []byte, c wire.CompletionRequest) ([]byte, error) {
	if c.MaxTokens <= 0 {
		return prompt.FirstBody(raw, defaultMaxTokens)
	}
	if c.Stream && c.Delivered == 0 && c.Resume == "" {
		return raw, nil
	}
	return prompt.FirstBody(raw, 0)
}

// stream sends tokens as they come. A failure before the first token gets its
// own status; one after it is the last event.
func (a *API) stream(ctx *fasthttp.RequestCtx, s scope, answer *prompt.Answer) {
	first, err := answer.Next(true)
	if err != nil && !errors.Is(err, io.EOF) {
		answer.Close()
		a.leave()
		a.fail(ctx, s, err)
		return
	}
	body := &eventStream{answer: answer, failed: func(err error) []byte { return a.lastEvent(s, err) }, closed: a.leave}
	if err == nil {
		body.add(first)
	} else {
		body.end(err)
	}
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.SetBodyStream(body, -1)
}

// lastEvent is the event that ends a stream which failed after its first token.
func (a *API) lastEvent(s scope, err error) []byte {
	e := errcode.From(err)
	a.log.Emit(event.RequestFailed{Request: s.id, Organisation: s.organisation, Code: string(e.Code)})
	return failBody(s.id, e)
}

// whole waits for the whole answer and sends it as one body.
func (a *API) whole(ctx *fasthttp.RequestCtx, s scope, answer *prompt.Answer) {
	var joined assembler
	for {
		data, err := answer.Next(true)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			a.fail(ctx, s, err)
			return
		}
		joined.add(data)
	}
	data, err := joined.encode()
	if err != nil {
		a.fail(ctx, s, err)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(data)
}
