package engine

import (
	"time"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/httpjson"
)

// orders is what the engine was told to serve.
type orders struct {
	current wire.Order
	fencing int64
	ready   time.Time
	log     []wire.Order
}

func (o *orders) loading() bool { return time.Now().Before(o.ready) }

// order takes an order; an old fencing number is refused if the engine checks.
func (s *Server) order(ctx *fasthttp.RequestCtx) {
	var o wire.Order
	if !httpjson.Read(ctx, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && o.Fencing < s.orders.fencing {
		httpjson.Refuse(ctx, fasthttp.StatusConflict, "old fencing number")
		return
	}
	if !s.fetchWeights(o) {
		httpjson.Refuse(ctx, fasthttp.StatusTooManyRequests, "weight store")
		return
	}
	s.orders.fencing = max(s.orders.fencing, o.Fencing)
	s.orders.current = o
	s.orders.log = append(s.orders.log, o)
	s.orders.ready = time.Now().Add(s.cfg.LoadTime)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// fetchWeights asks the weight store for the order's weights.
func (s *Server) fetchWeights(o wire.Order) bool {
	if s.cfg.WeightStore == "" {
		return true
	}
	status, _, err := fasthttp.GetTimeout(nil,
		"http://"+s.cfg.WeightStore+wire.PathWeights+o.Model+"/"+o.Version, time.Second)
	return err == nil && status == fasthttp.StatusNoContent
}

// Orders lists the orders taken so far.
func (s *Server) Orders() []wire.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.Order(nil), s.orders.log...)
}

func (s *Server) describe(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	d := wire.Description{
		Incarnation:   s.incarnation,
		ChecksFencing: s.cfg.ChecksFencing,
		Current:       s.orders.current,
		Loading:       s.orders.loading(),
		TotalTokens:   s.cfg.Model.MemoryTokens,
	}
	s.mu.Unlock()
	httpjson.Write(ctx, fasthttp.StatusOK, d)
}
