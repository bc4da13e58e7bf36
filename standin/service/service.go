// Package service is a small stand-in for a service without a model, for tests.
// It counts the effects of its calls by idempotency key or request ID, so that
// tests can detect lost and repeated effects.
package service

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/httpjson"
)

// Faults holds the faults that are injected into a stand-in service.
type Faults struct {
	// Refuse answers with 503 and X-Request-Ran: no, without an effect.
	Refuse bool `json:"refuse"`
	// LoseAnswers is the number of the next calls whose answer is lost after the
	// effect.
	LoseAnswers int `json:"lose_answers"`
	// DelayMs is the delay before each effect, in milliseconds.
	DelayMs int64 `json:"delay_ms"`
	// AnswerBytes is the length of a filler sent as the answer, in bytes; zero for
	// a CallResponse.
	AnswerBytes int `json:"answer_bytes"`
	// Limit is the number of requests per second that the service names as its limit;
	// empty for none.
	Limit string `json:"limit"`
}

// Effects is a response body with the number of effects by key.
type Effects struct {
	Effects map[string]int `json:"effects"`
}

// CallResponse is the body of the answer to a call. Effect is the number of
// effects with the key so far, including this one.
type CallResponse struct {
	Key    string `json:"key"`
	Effect int    `json:"effect"`
}

// Server is a running stand-in service.
type Server struct {
	*httpjson.Server
	mu      sync.Mutex
	effects map[string]int
	started []string
	faults  Faults
}

// Start starts a stand-in service that listens on the address, an IP and a port.
func Start(address string) (*Server, error) {
	s := &Server{effects: make(map[string]int)}
	r := router.New()
	r.POST(wire.PathOperations+"{operation}", s.call)
	r.GET(wire.PathEffects, s.getEffects)
	r.GET(wire.PathStarted, s.getStarted)
	r.POST(wire.PathFaults, s.setFaults)
	http, err := httpjson.Listen(address, r.Handler)
	if err != nil {
		return nil, err
	}
	s.Server = http
	return s, nil
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Effects returns a copy of the number of effects by key.
func (s *Server) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	effects := make(map[string]int, len(s.effects))
	for k, n := range s.effects {
		effects[k] = n
	}
	return effects
}

// Started returns the IDs of the requests that had an effect, one for each
// effect.
func (s *Server) Started() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.started...)
}

func (s *Server) getStarted(ctx *fasthttp.RequestCtx) {
	httpjson.Write(ctx, fasthttp.StatusOK, wire.StartedList{Started: s.Started()})
}

// call handles a call. Its key is the idempotency key, or the request ID if there
// is none.
func (s *Server) call(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek(wire.HeaderIdempotencyKey))
	if key == "" {
		key = string(ctx.Request.Header.Peek(wire.HeaderRequestID))
	}
	f := s.currentFaults()
	if f.Limit != "" {
		ctx.Response.Header.Set(wire.HeaderLimit, f.Limit)
	}
	if f.Refuse {
		ctx.Response.Header.Set(wire.HeaderRan, "no")
		httpjson.WriteError(ctx, fasthttp.StatusServiceUnavailable, "refused")
		return
	}
	if f.DelayMs > 0 {
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	}
	n, loseAnswer := s.recordEffect(key, string(ctx.Request.Header.Peek(wire.HeaderRequestID)))
	if loseAnswer {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	if f.AnswerBytes > 0 {
		ctx.SetBody(bytes.Repeat([]byte("x"), f.AnswerBytes))
		return
	}
	httpjson.Write(ctx, fasthttp.StatusOK, CallResponse{Key: key, Effect: n})
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// recordEffect counts an effect of the request. It returns the number of effects
// with the key and whether the answer is to be lost.
func (s *Server) recordEffect(key, request string) (n int, loseAnswer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = append(s.started, request)
	s.effects[key]++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		loseAnswer = true
	}
	return s.effects[key], loseAnswer
}

func (s *Server) getEffects(ctx *fasthttp.RequestCtx) {
	httpjson.Write(ctx, fasthttp.StatusOK, Effects{Effects: s.Effects()})
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if !httpjson.Read(ctx, &f) {
		return
	}
	s.SetFaults(f)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
