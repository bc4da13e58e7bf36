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

// Config is the configuration of a stand-in engine.
type Config struct {
	// Address is the IP and port to listen on.
	Address string
	Model   ModelConfig
	// InitialModel is the name of the model served at the start; empty to accept
	// requests for any model.
	InitialModel string
	// Speed divides the durations of the Model's iterations; 1 or zero for real
	// time.
	Speed float64
	// ReportLag is the age of the load reports.
	ReportLag time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is the time for which the engine refuses requests after an order,
	// in real time.
	LoadTime time.Duration
	// WeightStore is the address of the platform whose weight store grants model
	// loads; empty to load without it.
	WeightStore string
}

// idlePollInterval is the wait before the next step when no sequence can progress
// or the stall fault is in force.
const idlePollInterval = time.Millisecond

// streamBuffer is the number of tokens buffered for a slow reader. A stream whose
// buffer is full is aborted.
const streamBuffer = 4096

// Server is a running stand-in engine.
type Server struct {
	*httpjson.Server
	cfg         Config
	incarnation string

	mu    sync.Mutex
	model *Model
	// iterationTokens are the tokens to be sent at the end of the current
	// iteration.
	iterationTokens []Token
	streams         map[string]*stream
	started         []string
	faults          wire.EngineFaults
	reports         []wire.LoadReport

	reservations reservations
	orders       orders

	closing sync.Once
	stop    chan struct{}
	done    chan struct{}
}

// stream is the answer to one attempt, from its submission to its end.
type stream struct {
	request   wire.CompletionRequest
	requestID string
	attempt   int
	chat      bool
	seed      uint64
	seq       *Sequence
	tokens    chan Token
	// reservation is the ID of the reservation that the stream uses; empty for
	// none.
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
	s.orders.current = wire.Order{Model: cfg.InitialModel}
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

// Close stops the engine and aborts all streams. It may be called more than once.
func (s *Server) Close() { s.closing.Do(s.close) }

func (s *Server) close() {
	close(s.stop)
	<-s.done
	s.mu.Lock()
	for _, st := range s.streams {
		s.closeStream(st)
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

// Started returns the IDs of the started attempts, as request/attempt.
func (s *Server) Started() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.started...)
}

// Free returns the KV cache memory that is neither allocated nor reserved, in
// tokens.
func (s *Server) Free() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Free()
}

// run executes the model's iterations; each takes its virtual duration divided by
// Config.Speed.
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

// step ends the current iteration by delivering its tokens and starts the next
// one. It returns the duration of the new iteration.
func (s *Server) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireReservations()
	if s.faults.Stall {
		return idlePollInterval
	}
	for _, t := range s.iterationTokens {
		s.deliver(t)
	}
	length, tokens := s.model.Step()
	s.iterationTokens = tokens
	s.recordLoad()
	if length == 0 {
		return idlePollInterval
	}
	return time.Duration(float64(length) / s.cfg.Speed)
}

// deliver passes the token to its stream, or aborts the stream if its buffer is
// full.
func (s *Server) deliver(t Token) {
	st := s.streams[t.Sequence.ID]
	if st == nil {
		return
	}
	select {
	case st.tokens <- t:
	default:
		s.model.Cancel(t.Sequence.ID)
		s.closeStream(st)
		return
	}
	if t.Last {
		s.closeStream(st)
	}
}

// closeStream removes the stream, closes its channel and ends the use of its
// reservation.
func (s *Server) closeStream(st *stream) {
	delete(s.streams, st.seq.ID)
	close(st.tokens)
	s.endReservationUse(st.reservation)
}

// recordLoad appends the current load to the reports, at most one a millisecond,
// and drops those that are older than the lag requires.
func (s *Server) recordLoad() {
	r := s.model.Load()
	r.AtMs = time.Now().UnixMilli()
	r.Incarnation = s.incarnation
	r.Leaving = s.faults.Leaving
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

// lastReport returns the newest report that was at least ReportLag old when the
// last one was recorded, or the oldest report if none was.
func (s *Server) lastReport() wire.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports) == 0 {
		return wire.LoadReport{}
	}
	return s.reports[0]
}

// setLoadReport adds the load report to the response header.
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
	s.abort(attemptID(c.Request, c.Attempt))
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// abort ends a stream without its end marker and frees its memory. It has no
// effect if there is no such stream.
func (s *Server) abort(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Cancel(id)
	if st := s.streams[id]; st != nil {
		s.closeStream(st)
	}
}

// attemptID returns the ID of an attempt, as request/attempt.
func attemptID(request string, attempt int) string {
	return request + "/" + strconv.Itoa(attempt)
}

// newStream returns a stream for the completion request and its header.
func newStream(ctx *fasthttp.RequestCtx, req wire.CompletionRequest) *stream {
	text := PromptText(&req)
	attempt, _ := strconv.Atoi(string(ctx.Request.Header.Peek(wire.HeaderAttempt)))
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek(wire.HeaderPriority)))
	requestID := string(ctx.Request.Header.Peek(wire.HeaderRequestID))
	answer := int64(req.MaxTokens)
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	return &stream{
		request:   req,
		requestID: requestID,
		attempt:   attempt,
		chat:      len(req.Messages) > 0,
		seed:      xxhash.Sum64String(text),
		seq: &Sequence{
			ID:           attemptID(requestID, attempt),
			Priority:     min(max(wire.Priority(priority), wire.PriorityHigh), wire.PriorityLow),
			Blocks:       Blocks(text),
			PromptTokens: PromptTokens(text) + int64(req.Delivered),
			AnswerTokens: answer,
			Delivered:    int64(req.Delivered),
		},
		tokens: make(chan Token, streamBuffer),
	}
}

// defaultAnswerTokens is the answer length of a request without max_tokens.
const defaultAnswerTokens = 16
