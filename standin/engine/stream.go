package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/httpjson"
)

// completions answers a completion or chat request.
func (s *Server) completions(ctx *fasthttp.RequestCtx) {
	var req wire.CompletionRequest
	if !httpjson.Read(ctx, &req) {
		return
	}
	st := newStream(ctx, req)
	faults, ok := s.submit(ctx, st)
	if !ok {
		return
	}
	if !req.Stream {
		s.answerWhole(ctx, st)
		return
	}
	ctx.Response.Header.SetContentType("text/event-stream")
	s.setLoadReport(ctx)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.cut(st.seq.ID)
		s.write(w, st, faults)
	})
}

// submit queues the stream's sequence, or refuses before anything started.
func (s *Server) submit(ctx *fasthttp.RequestCtx, st *stream) (wire.EngineFaults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := s.refusal(st, string(ctx.Request.Header.Peek(wire.HeaderReservation)))
	if reason != "" {
		ctx.Response.Header.Set(wire.HeaderRan, "no")
		httpjson.Refuse(ctx, fasthttp.StatusServiceUnavailable, reason)
		return wire.EngineFaults{}, false
	}
	s.started = append(s.started, st.seq.ID)
	s.streams[st.seq.ID] = st
	s.model.Submit(st.seq)
	faults := s.faults
	s.faults.CutAfterTokens = 0
	s.faults.Cross = false
	s.faults.Duplicate = false
	s.faults.Interleave = false
	return faults, true
}

// refusal says why the stream can't be started; empty if it can.
func (s *Server) refusal(st *stream, reservation string) string {
	switch {
	case s.faults.Refuse:
		return "refused"
	case s.orders.loading():
		return "loading"
	case st.request.Model != "" && s.orders.current.Model != "" && st.request.Model != s.orders.current.Model:
		return "another model"
	case s.streams[st.seq.ID] != nil:
		return "attempt exists"
	case st.request.Resume != st.answered():
		return "resume is not what was delivered"
	}
	if reservation != "" {
		r, ok := s.reservations.use(reservation)
		if !ok {
			return "no such reservation"
		}
		st.seq.Reserved = max(r.Tokens, r.Group)
		st.reservation = reservation
	}
	if st.seq.own() > s.cfg.Model.MemoryTokens {
		s.unuse(reservation)
		return "over the memory"
	}
	return ""
}

// write sends the stream's tokens as server-sent events.
func (s *Server) write(w *bufio.Writer, st *stream, faults wire.EngineFaults) {
	sent := 0
	last := false
	for t := range st.tokens {
		if faults.CutAfterTokens > 0 && sent == faults.CutAfterTokens {
			return
		}
		copies := 1
		if faults.Duplicate {
			copies = 2
		}
		if faults.Interleave {
			writeForeign(w, st, t)
		}
		for range copies {
			writeEvent(w, st, t, faults.Cross)
		}
		if w.Flush() != nil {
			return
		}
		sent++
		last = t.Last
	}
	if !last {
		return
	}
	fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", st.eventName(faults.Cross), st.seq.Answer, wire.StreamDone)
	_ = w.Flush()
}

// eventName is the part of an event's id that all events of a stream share.
func (st *stream) eventName(cross bool) string {
	if cross {
		return attemptName("crossed-"+st.name, st.attempt)
	}
	return st.seq.ID
}

// writeForeign sends a token and an end marker of another request, and of
// another attempt of the same one.
func writeForeign(w *bufio.Writer, st *stream, t Token) {
	for _, name := range []string{st.eventName(true), attemptName(st.name, st.attempt+1)} {
		fmt.Fprintf(w, "id: %s/%d\ndata: {\"choices\":[{\"text\":\"foreign \"}]}\n\n", name, t.Index)
		fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", name, t.Index, wire.StreamDone)
	}
}

// answered is the text of the tokens that the caller has already.
func (st *stream) answered() string {
	var text strings.Builder
	for i := range st.seq.Delivered {
		text.WriteString(tokenText(st.seed, i))
	}
	return text.String()
}

// writeEvent sends one token. The event's id is request/attempt/index.
func writeEvent(w *bufio.Writer, st *stream, t Token, cross bool) {
	data, err := json.Marshal(st.chunk(t))
	if err != nil {
		return
	}
	fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", st.eventName(cross), t.Index, data)
}

func (st *stream) chunk(t Token) wire.Chunk {
	text := tokenText(st.seed, t.Index)
	choice := wire.ChunkChoice{}
	object := "text_completion"
	if st.chat {
		object = "chat.completion.chunk"
		choice.Delta = &wire.ChatDelta{Content: text}
	} else {
		choice.Text = text
	}
	c := wire.Chunk{ID: st.name, Object: object, Model: st.request.Model}
	if t.Last {
		reason := "length"
		choice.FinishReason = &reason
		c.Usage = st.usage()
	}
	c.Choices = []wire.ChunkChoice{choice}
	return c
}

func (st *stream) usage() *wire.Usage {
	prompt := int(st.seq.Prompt - st.seq.Delivered)
	return &wire.Usage{
		PromptTokens:     prompt,
		CachedTokens:     int(st.seq.cached),
		CompletionTokens: int(st.seq.Answer),
		TotalTokens:      prompt + int(st.seq.Answer),
	}
}

// answerWhole waits for the whole answer and sends it as one body.
func (s *Server) answerWhole(ctx *fasthttp.RequestCtx, st *stream) {
	defer s.cut(st.seq.ID)
	var text strings.Builder
	whole := false
	for t := range st.tokens {
		text.WriteString(tokenText(st.seed, t.Index))
		whole = t.Last
	}
	if !whole {
		httpjson.Refuse(ctx, fasthttp.StatusBadGateway, "cut")
		return
	}
	reason := "length"
	httpjson.Write(ctx, fasthttp.StatusOK, wire.Chunk{
		ID:      st.name,
		Object:  "text_completion",
		Model:   st.request.Model,
		Choices: []wire.ChunkChoice{{Text: text.String(), FinishReason: &reason}},
		Usage:   st.usage(),
	})
}
