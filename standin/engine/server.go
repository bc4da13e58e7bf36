package engine

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/httpjson"
)

// Config is what a stand-in engine is started with.
type Config struct {
	// Address to listen on, IP and port.
	Address string
	Model   ModelConfig
	// Serves is the model that it serves at the start.
	Serves string
	// Speed divides all times of the model; 1 for real time.
	Speed float64
	// ReportLag is the age of the load reports.
	ReportLag time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is how long an order takes.
	LoadTime time.Duration
	// WeightStore is the platform's address; empty to load without it.
	WeightStore string
}

// idleWait is how long the loop sleeps when there is nothing to do.
const idleWait = time.Millisecond

// streamBuffer is the number of tokens that wait for a slow reader.
const streamBuffer = 4096

// Server is a running stand-in engine.
type Server struct {
	*httpjson.Server
	cfg         Config
	incarnation string

	mu    sync.Mutex
	model *Model
	// computing are the tokens at the end of the iteration under way.
	computing []Token
	streams   map[string]*stream
	started   []string
	faults    wire.EngineFaults
	reports   []wire.LoadReport
	leaving   bool

	reservations reservations
	orders       orders

	closing sync.Once
	stop    chan struct{}
	done    chan struct{}
}

// stream is the answer of one attempt on its way out.
type stream struct {
	request wire.CompletionRequest
	name    string
	attempt int
	chat    bool
	seed    uint64
	seq     *Sequence
	tokens  chan Token
	// reservation is the memory that it uses; empty for none.
	reservation string
}

// Start starts a stand-in engine.
func Start(cfg Config) (*Server, error) {
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	s := &Server{
		cfg:         cfg,
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		model:       NewModel(cfg.Model),
		streams:     make(map[string]*stream),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
	}
	s.reservations.init()
	s.orders.current = wire.Order{Model: cfg.Serves}
	http, err := httpjson.Listen(cfg.Address, s.routes().Handler)
	if err != nil {
		return nil, err
	}
	s.Server = http
	go s.run()
	return s, nil
}

func (s *Server) routes() *router.Router {
	r := router.New()
	r.POST(wire.PathCompletions, s.completions)
	r.POST(wire.PathChatCompletions, s.completions)
	r.POST(wire.PathCancel, s.cancel)
	r.GET(wire.PathEngineLoad, s.load)
	r.GET(wire.PathCacheEvents, s.cacheEvents)
	r.GET(wire.PathReservations, s.listReservations)
	r.POST(wire.PathReservations, s.reserve)
	r.DELETE(wire.PathReservations+"/{id}", s.release)
	r.GET(wire.PathDescription, s.describe)
	r.POST(wire.PathOrders, s.order)
	r.GET(wire.PathStarted, s.listStarted)
	r.POST(wire.PathFaults, s.postFaults)
	return r
}

// Close stops the engine: all streams are cut. It may be called again.
func (s *Server) Close() { s.closing.Do(s.close) }

func (s *Server) close() {
	close(s.stop)
	<-s.done
	s.mu.Lock()
	for _, st := range s.streams {
		s.forget(st)
	}
	s.mu.Unlock()
	s.Server.Close()
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f wire.EngineFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Started lists the attempts that were started, as request/attempt.
func (s *Server) Started() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.started...)
}

// Free is the KV memory that nothing holds, in tokens.
func (s *Server) Free() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Free()
}

// run drives the model in accelerated time.
func (s *Server) run() {
	defer close(s.done)
	for {
		wait := s.step()
		select {
		case <-s.stop:
			return
		case <-time.After(wait):
		}
	}
}

// step ends the iteration under way, handing out its tokens, and begins the
// next. It returns how long that one takes.
func (s *Server) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireReservations()
	if s.faults.Stall {
		return idleWait
	}
	for _, t := range s.computing {
		s.hand(t)
	}
	length, tokens := s.model.Step()
	s.computing = tokens
	s.report()
	if length == 0 {
		return idleWait
	}
	return time.Duration(float64(length) / s.cfg.Speed)
}

// hand gives the token to its stream; a reader that is too slow is cut.
func (s *Server) hand(t Token) {
	st := s.streams[t.Sequence.ID]
	if st == nil {
		return
	}
	select {
	case st.tokens <- t:
	default:
		s.model.Cancel(t.Sequence.ID)
		s.forget(st)
		return
	}
	if t.Last {
		s.forget(st)
	}
}

// forget ends a stream, and its reservation where its owner gave it up.
func (s *Server) forget(st *stream) {
	delete(s.streams, st.seq.ID)
	close(st.tokens)
	s.unuse(st.reservation)
}

// report remembers the load, so that it can be told with a lag.
func (s *Server) report() {
	r := s.model.Load()
	r.AtMs = time.Now().UnixMilli()
	r.Incarnation = s.incarnation
	r.Leaving = s.leaving || s.faults.Leaving
	if n := len(s.reports); n > 0 && s.reports[n-1].AtMs == r.AtMs {
		s.reports[n-1] = r
		return
	}
	s.reports = append(s.reports, r)
	due := r.AtMs - s.cfg.ReportLag.Milliseconds()
	for len(s.reports) > 1 && s.reports[1].AtMs <= due {
		s.reports = s.reports[1:]
	}
}

func (s *Server) load(ctx *fasthttp.RequestCtx) {
	httpjson.Write(ctx, fasthttp.StatusOK, s.lastReport())
}

// lastReport is the newest report that is as old as the lag.
func (s *Server) lastReport() wire.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports) == 0 {
		return wire.LoadReport{}
	}
	return s.reports[0]
}

// setLoadReport lets the last report ride on an answer.
func (s *Server) setLoadReport(ctx *fasthttp.RequestCtx) {
	data, err := json.Marshal(s.lastReport())
	if err != nil {
		return
	}
	ctx.Response.Header.SetBytesV(wire.HeaderLoadReport, data)
}

func (s *Server) cacheEvents(ctx *fasthttp.RequestCtx) {
	since, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("since")), 10, 64)
	s.mu.Lock()
	events := s.model.cache.since(since)
	s.mu.Unlock()
	httpjson.Write(ctx, fasthttp.StatusOK, wire.CacheEvents{Incarnation: s.incarnation, Events: events})
}

func (s *Server) listStarted(ctx *fasthttp.RequestCtx) {
	httpjson.Write(ctx, fasthttp.StatusOK, wire.StartedList{Started: s.Started()})
}

func (s *Server) postFaults(ctx *fasthttp.RequestCtx) {
	var f wire.EngineFaults
	if !httpjson.Read(ctx, &f) {
		return
	}
	s.SetFaults(f)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) cancel(ctx *fasthttp.RequestCtx) {
	var c wire.Cancel
	if !httpjson.Read(ctx, &c) {
		return
	}
	s.cut(attemptName(c.Request, c.Attempt))
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// cut ends a stream without its end marker and frees its memory.
func (s *Server) cut(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Cancel(id)
	if st := s.streams[id]; st != nil {
		s.forget(st)
	}
}

func attemptName(request string, attempt int) string {
	return request + "/" + strconv.Itoa(attempt)
}

// newStream reads a completion request into a stream.
func newStream(ctx *fasthttp.RequestCtx, req wire.CompletionRequest) *stream {
	text := PromptText(&req)
	attempt, _ := strconv.Atoi(string(ctx.Request.Header.Peek(wire.HeaderAttempt)))
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek(wire.HeaderPriority)))
	name := string(ctx.Request.Header.Peek(wire.HeaderRequestID))
	answer := int64(req.MaxTokens)
	if answer == 0 {
		answer = defaultAnswer
	}
	return &stream{
		request: req,
		name:    name,
		attempt: attempt,
		chat:    len(req.Messages) > 0,
		seed:    xxhash.Sum64String(text),
		seq: &Sequence{
			ID:        attemptName(name, attempt),
			Priority:  min(max(wire.Priority(priority), wire.PriorityHigh), wire.PriorityLow),
			Blocks:    Blocks(text),
			Prompt:    PromptTokens(text) + int64(req.Delivered),
			Answer:    answer,
			Delivered: int64(req.Delivered),
		},
		tokens: make(chan Token, streamBuffer),
	}
}

// defaultAnswer is the length of an answer when the request sets none.
const defaultAnswer = 16
