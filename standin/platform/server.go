package platform

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/httpjson"
)

// Config is the configuration of a stand-in platform.
type Config struct {
	// Address is the IP and port to listen on.
	Address string
	// WritesPerSecond and ReadsPerSecond limit the requests of all clients
	// together; zero for no limit. Writes are those of the table service and the
	// object store; reads include those of the VM list and the weight store.
	WritesPerSecond int
	ReadsPerSecond  int
	// WeightLoadsPerSecond limits the loads from the weight store by all clients
	// together; zero for no limit.
	WeightLoadsPerSecond float64
	// ListLag is the delay until a change of the VM list becomes visible.
	ListLag time.Duration
}

// Counts holds the number of requests since the start, by kind. Refused counts
// the requests refused because of the down fault or a limit on writes or reads.
type Counts struct {
	Writes      int64 `json:"writes"`
	Reads       int64 `json:"reads"`
	Refused     int64 `json:"refused"`
	WeightLoads int64 `json:"weight_loads"`
}

// Server is a running stand-in platform.
type Server struct {
	*httpjson.Server
	Table   *Table
	cfg     Config
	writes  *rate.Limiter
	reads   *rate.Limiter
	weights *rate.Limiter
	objects sync.Map
	list    vmList
	faults  faults
	counts  struct{ writes, reads, refused, weights atomic.Int64 }
}

// Start starts a stand-in platform.
func Start(cfg Config) (*Server, error) {
	s := &Server{
		Table:   NewTable(),
		cfg:     cfg,
		writes:  newLimiter(float64(cfg.WritesPerSecond)),
		reads:   newLimiter(float64(cfg.ReadsPerSecond)),
		weights: newLimiter(cfg.WeightLoadsPerSecond),
	}
	s.list.lag = cfg.ListLag
	r := router.New()
	r.POST(wire.PathTxn, s.write(s.txn))
	r.GET(wire.PathRows+"{key:*}", s.read(s.row))
	r.POST(wire.PathScan, s.read(s.scan))
	r.PUT(wire.PathObjects+"{key:*}", s.write(s.putObject))
	r.GET(wire.PathObjects+"{key:*}", s.read(s.getObject))
	r.DELETE(wire.PathObjects+"{key:*}", s.write(s.deleteObject))
	r.GET(wire.PathVMs, s.read(s.vms))
	r.POST(wire.PathVMs, s.setVMs)
	r.GET(wire.PathWeights+"{key:*}", s.read(s.weight))
	r.POST(wire.PathFaults, s.setFaults)
	r.GET("/v1/counts", s.getCounts)
	http, err := httpjson.Listen(cfg.Address, r.Handler)
	if err != nil {
		return nil, err
	}
	s.Server = http
	return s, nil
}

// newLimiter returns a limiter with a burst of one second's requests, at least 1;
// one without a limit if perSecond is not positive.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f wire.PlatformFaults) { s.faults.set(f) }

// SetVMs replaces the VM list; readers see the change after Config.ListLag.
func (s *Server) SetVMs(vms []wire.VM) { s.list.set(vms) }

// Counts returns the number of requests since the start.
func (s *Server) Counts() Counts {
	return Counts{
		Writes:      s.counts.writes.Load(),
		Reads:       s.counts.reads.Load(),
		Refused:     s.counts.refused.Load(),
		WeightLoads: s.counts.weights.Load(),
	}
}

// write wraps a write handler with the rate limit and the faults.
func (s *Server) write(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !s.admit(ctx, s.writes) {
			return
		}
		if s.faults.loseRequest() {
			dropConnection(ctx)
			return
		}
		s.counts.writes.Add(1)
		next(ctx)
		if s.faults.loseAnswer() {
			dropConnection(ctx)
		}
	}
}

// read wraps a read handler with the rate limit and the faults that concern
// reads.
func (s *Server) read(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !s.admit(ctx, s.reads) {
			return
		}
		s.counts.reads.Add(1)
		next(ctx)
	}
}

// admit applies the delay and down faults and the rate limit. If it refuses the
// request, it answers 503 or 429 with the header that the request was not
// applied, and returns false.
func (s *Server) admit(ctx *fasthttp.RequestCtx, limit *rate.Limiter) bool {
	down, delay := s.faults.current()
	if delay > 0 {
		time.Sleep(delay)
	}
	if down {
		s.counts.refused.Add(1)
		ctx.Response.Header.Set(wire.HeaderApplied, wire.AppliedNo)
		httpjson.WriteError(ctx, fasthttp.StatusServiceUnavailable, "down")
		return false
	}
	if !limit.Allow() {
		s.counts.refused.Add(1)
		ctx.Response.Header.Set(wire.HeaderApplied, wire.AppliedNo)
		httpjson.WriteError(ctx, fasthttp.StatusTooManyRequests, "over the limit")
		return false
	}
	return true
}

// dropConnection closes the connection without sending a response.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

func (s *Server) txn(ctx *fasthttp.RequestCtx) {
	var txn wire.Txn
	if !httpjson.Read(ctx, &txn) {
		return
	}
	result := s.Table.Apply(txn)
	status := fasthttp.StatusOK
	if !result.Applied {
		status = fasthttp.StatusConflict
	}
	httpjson.Write(ctx, status, result)
}

func (s *Server) row(ctx *fasthttp.RequestCtx) {
	httpjson.Write(ctx, fasthttp.StatusOK, s.Table.Get(pathKey(ctx)))
}

func (s *Server) scan(ctx *fasthttp.RequestCtx) {
	var scan wire.Scan
	if !httpjson.Read(ctx, &scan) {
		return
	}
	httpjson.Write(ctx, fasthttp.StatusOK, s.Table.Scan(scan))
}

func (s *Server) putObject(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.PostBody()...)
	s.objects.Store(pathKey(ctx), body)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) deleteObject(ctx *fasthttp.RequestCtx) {
	s.objects.Delete(pathKey(ctx))
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) getObject(ctx *fasthttp.RequestCtx) {
	data, ok := s.objects.Load(pathKey(ctx))
	if !ok {
		httpjson.WriteError(ctx, fasthttp.StatusNotFound, "no such object")
		return
	}
	ctx.SetBody(data.([]byte))
}

func (s *Server) vms(ctx *fasthttp.RequestCtx) {
	httpjson.Write(ctx, fasthttp.StatusOK, wire.VMList{VMs: s.list.get()})
}

func (s *Server) setVMs(ctx *fasthttp.RequestCtx) {
	var list wire.VMList
	if !httpjson.Read(ctx, &list) {
		return
	}
	s.list.set(list.VMs)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// weight grants a load from the weight store with 204 and no body, or answers 429
// over the limit. It transfers no weights; the engines simulate the load time.
func (s *Server) weight(ctx *fasthttp.RequestCtx) {
	if !s.weights.Allow() {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(1))
		httpjson.WriteError(ctx, fasthttp.StatusTooManyRequests, "over the limit")
		return
	}
	s.counts.weights.Add(1)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
	var f wire.PlatformFaults
	if !httpjson.Read(ctx, &f) {
		return
	}
	s.faults.set(f)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) getCounts(ctx *fasthttp.RequestCtx) {
	httpjson.Write(ctx, fasthttp.StatusOK, s.Counts())
}

// pathKey returns the key at the end of the request's path.
func pathKey(ctx *fasthttp.RequestCtx) string {
	key, _ := ctx.UserValue("key").(string)
	return key
}
