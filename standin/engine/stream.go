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

// completions handles a completion or chat request.
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
		s.respondUnary(ctx, st)
		return
	}
	ctx.Response.Header.SetContentType("text/event-stream")
	s.setLoadReport(ctx)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.abort(st.seq.ID)
		s.writeStream(w, st, faults)
	})
}

// submit queues the stream's sequence, or answers 503 with the header
// X-Request-Ran: no. It returns the faults for this stream and resets those that
// apply to one stream only.
func (s *Server) submit(ctx *fasthttp.RequestCtx, st *stream) (wire.EngineFaults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := s.refusalReason(st, string(ctx.Request.Header.Peek(wire.HeaderReservation)))
	if reason != "" {
		ctx.Response.Header.Set(wire.HeaderRan, "no")
		httpjson.WriteError(ctx, fasthttp.StatusServiceUnavailable, reason)
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

// refusalReason returns why the stream can't be started, or an empty string after
// acquiring its reservation, if it has one.
func (s *Server) refusalReason(st *stream, reservation string) string {
	switch {
	case s.faults.Refuse:
		return "refused"
	case s.orders.loading():
		return "loading"
	case st.request.Model != "" && s.orders.current.Model != "" && st.request.Model != s.orders.current.Model:
		return "another model"
	case s.streams[st.seq.ID] != nil:
		return "attempt exists"
	case st.request.Resume != st.deliveredText():
		return "resume is not what was delivered"
	}
	if reservation != "" {
		r, ok := s.reservations.acquire(reservation)
		if !ok {
			return "no such reservation"
		}
		st.seq.Reserved = max(r.Tokens, r.Group)
		st.reservation = reservation
	}
	if st.seq.unreservedTokens() > s.cfg.Model.MemoryTokens {
		s.endReservationUse(reservation)
		return "over the memory"
	}
	return ""
}

// writeStream writes the stream's tokens as server-sent events, with the faults.
// The end marker follows only if the answer is complete.
func (s *Server) writeStream(w *bufio.Writer, st *stream, faults wire.EngineFaults) {
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
			writeForeignEvents(w, st, t)
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
	fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", st.eventIDPrefix(faults.Cross), st.seq.AnswerTokens, wire.StreamDone)
	_ = w.Flush()
}

// eventIDPrefix returns the part of the event IDs that all events of the stream
// share. With cross, it names another request.
func (st *stream) eventIDPrefix(cross bool) string {
	if cross {
		return attemptID("crossed-"+st.requestID, st.attempt)
	}
	return st.seq.ID
}

// writeForeignEvents writes a token and an end marker with the ID of another
// request, and the same with the ID of another attempt of this request.
func writeForeignEvents(w *bufio.Writer, st *stream, t Token) {
	for _, id := range []string{st.eventIDPrefix(true), attemptID(st.requestID, st.attempt+1)} {
		fmt.Fprintf(w, "id: %s/%d\ndata: {\"choices\":[{\"text\":\"foreign \"}]}\n\n", id, t.Index)
		fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", id, t.Index, wire.StreamDone)
	}
}

// deliveredText returns the text of the tokens that the caller already has.
func (st *stream) deliveredText() string {
	var text strings.Builder
	for i := range st.seq.Delivered {
		text.WriteString(tokenText(st.seed, i))
	}
	return text.String()
}

// writeEvent writes one token as an event with the ID request/attempt/index.
func writeEvent(w *bufio.Writer, st *stream, t Token, cross bool) {
	data, err := json.Marshal(st.chunk(t))
	if err != nil {
		return
	}
	fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", st.eventIDPrefix(cross), t.Index, data)
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
	c := wire.Chunk{ID: st.requestID, Object: object, Model: st.request.Model}
	if t.Last {
		reason := "length"
		choice.FinishReason = &reason
		c.Usage = st.usage()
	}
	c.Choices = []wire.ChunkChoice{choice}
	return c
}

func (st *stream) usage() *wire.Usage {
	prompt := int(st.seq.PromptTokens - st.seq.Delivered)
	return &wire.Usage{
		PromptTokens:     prompt,
		CachedTokens:     int(st.seq.cached),
		CompletionTokens: int(st.seq.AnswerTokens),
		TotalTokens:      prompt + int(st.seq.AnswerTokens),
	}
}

// respondUnary waits for the whole answer and sends it as one JSON body.
func (s *Server) respondUnary(ctx *fasthttp.RequestCtx, st *stream) {
	defer s.abort(st.seq.ID)
	var text strings.Builder
	complete := false
	for t := range st.tokens {
		text.WriteString(tokenText(st.seed, t.Index))
		complete = t.Last
	}
	if !complete {
		httpjson.WriteError(ctx, fasthttp.StatusBadGateway, "cut")
		return
	}
	reason := "length"
	httpjson.Write(ctx, fasthttp.StatusOK, wire.Chunk{
		ID:      st.requestID,
		Object:  "text_completion",
		Model:   st.request.Model,
		Choices: []wire.ChunkChoice{{Text: text.String(), FinishReason: &reason}},
		Usage:   st.usage(),
	})
}
