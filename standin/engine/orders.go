package engine

import (
	"time"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/httpjson"
)

// orders is the state of the engine's model load orders.
type orders struct {
	current wire.Order
	// maxFencing is the highest fencing number accepted so far.
	maxFencing int64
	// loadedAt is the time at which the current order's load completes.
	loadedAt time.Time
	accepted []wire.Order
}

func (o *orders) loading() bool { return time.Now().Before(o.loadedAt) }

// order accepts a model load order. It answers 409 to an old fencing number if
// ChecksFencing is set, and 429 if the weight store does not grant the load.
func (s *Server) order(ctx *fasthttp.RequestCtx) {
	var o wire.Order
	if !httpjson.Read(ctx, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && o.Fencing < s.orders.maxFencing {
		httpjson.WriteError(ctx, fasthttp.StatusConflict, "old fencing number")
		return
	}
	if !s.fetchWeights(o) {
		httpjson.WriteError(ctx, fasthttp.StatusTooManyRequests, "weight store")
		return
	}
	s.orders.maxFencing = max(s.orders.maxFencing, o.Fencing)
	s.orders.current = o
	s.orders.accepted = append(s.orders.accepted, o)
	s.orders.loadedAt = time.Now().Add(s.cfg.LoadTime)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// fetchWeights requests the order's weights from the weight store, with a timeout
// of 1 s. It reports whether the store granted the load; always true without a
// weight store.
func (s *Server) fetchWeights(o wire.Order) bool {
	if s.cfg.WeightStore == "" {
		return true
	}
	status, _, err := fasthttp.GetTimeout(nil,
		"http://"+s.cfg.WeightStore+wire.PathWeights+o.Model+"/"+o.Version, time.Second)
	return err == nil && status == fasthttp.StatusNoContent
}

// Orders returns the orders accepted so far, the oldest first.
func (s *Server) Orders() []wire.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]wire.Order(nil), s.orders.accepted...)
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
