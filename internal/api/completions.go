package api

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
)

const (
	// bytesPerToken bounds the length of a prompt in tokens from its bytes.
	bytesPerToken = 4
	// defaultMaxTokens is the longest answer of a request that sets none.
	defaultMaxTokens = 256
	// sinkBuffer is the number of tokens that wait for the caller.
	sinkBuffer = 64
)

// completions answers a completion or a chat, streamed or whole.
func (a *API) completions(ctx *fasthttp.RequestCtx, s scope) {
	req, stream, err := a.promptRequest(ctx, s)
	if err != nil {
		a.leave()
		a.fail(ctx, s, err)
		return
	}
	run, cancel := context.WithCancel(context.Background())
	out := &sink{ctx: run, tokens: make(chan []byte, sinkBuffer)}
	result := make(chan error, 1)
	go func() {
		defer a.leave()
		err := a.prompts.Run(run, req, out)
		result <- err
		close(out.tokens)
	}()
	if stream {
		a.stream(ctx, s, out, result, cancel)
		return
	}
	defer cancel()
	a.whole(ctx, s, out, result)
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
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	tokens := int64(len(raw)/bytesPerToken + 1)
	return prompt.Request{
		ID:           s.id,
		Organisation: s.organisation,
		Service:      c.Model,
		Path:         string(ctx.Path()),
		Body:         streamBody(raw, c.Stream),
		Tokens:       tokens,
		MaxTokens:    int64(c.MaxTokens),
		Class:        s.snapshot.ClassOf(tokens),
		Deadline:     end,
		Snapshot:     s.snapshot,
	}, c.Stream, nil
}

// streamBody asks the engine for a stream, whatever the caller wants.
func streamBody(raw []byte, stream bool) []byte {
	if stream {
		return raw
	}
	return append(bytes.TrimRight(raw, "} \t\r\n"), `,"stream":true}`...)
}

// sink hands tokens from the request's goroutine to the caller's.
type sink struct {
	ctx    context.Context
	tokens chan []byte
}

// Deliver implements prompt.Sink.
func (s *sink) Deliver(_ int64, data []byte) error {
	select {
	case s.tokens <- append([]byte(nil), data...):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// stream sends tokens as they come. A failure before the first token gets its
// own status; one after it is the last event.
func (a *API) stream(ctx *fasthttp.RequestCtx, s scope, out *sink, result chan error, cancel context.CancelFunc) {
	first, ok := <-out.tokens
	if !ok {
		cancel()
		a.fail(ctx, s, <-result)
		return
	}
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		if !writeData(w, first) {
			return
		}
		for data := range out.tokens {
			if !writeData(w, data) {
				return
			}
		}
		if err := <-result; err != nil {
			writeData(w, failBody(s.id, errcode.From(err)))
			return
		}
		writeData(w, []byte(wire.StreamDone))
	})
}

func writeData(w *bufio.Writer, data []byte) bool {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}

// whole waits for the whole answer and sends it as one body.
func (a *API) whole(ctx *fasthttp.RequestCtx, s scope, out *sink, result chan error) {
	var answer assembler
	for data := range out.tokens {
		answer.add(data)
	}
	if err := <-result; err != nil {
		a.fail(ctx, s, err)
		return
	}
	data, err := answer.encode()
	if err != nil {
		a.fail(ctx, s, err)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(data)
}
