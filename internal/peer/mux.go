package peer

import (
	"context"
	"encoding/json"
	"runtime/pprof"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// Method is the name of a JSON-RPC method.
type Method string

// Identity identifies a VM and its incarnation.
type Identity struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
}

// Handler handles one request. Its error is returned to the caller with its error
// code.
type Handler func(ctx context.Context, from Identity, params json.RawMessage) (any, error)

// Mux routes requests to handlers by method. It is safe for concurrent use.
type Mux struct {
	mu       sync.RWMutex
	handlers map[Method]labelledHandler
	upgrades map[Method]UpgradeHandler
}

// labelledHandler is a handler with the labels of its goroutines in profiles.
type labelledHandler struct {
	handle Handler
	labels context.Context //nolint:containedctx // carries labels only
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: make(map[Method]labelledHandler), upgrades: make(map[Method]UpgradeHandler)}
}

// Handle registers the handler of a method, replacing any earlier one.
func (m *Mux) Handle(method Method, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[method] = labelledHandler{h, pprof.WithLabels(context.Background(), pprof.Labels(metrics.ProfileLabel, string(method)))}
}

// Register registers a handler with typed parameters and result. Parameters that
// cannot be decoded give the caller a BadRequest error.
func Register[P, R any](m *Mux, method Method, f func(ctx context.Context, from Identity, params P) (R, error)) {
	m.Handle(method, func(ctx context.Context, from Identity, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, errcode.New(errcode.BadRequest, "%s: %v", method, err)
		}
		return f(ctx, from, params)
	})
}

func (m *Mux) lookup(method Method) (labelledHandler, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.handlers[method]
	return h, ok
}

// serve handles one JSON-RPC request. Missing parameters are passed on as an
// empty object.
func (m *Mux) serve(ctx context.Context, from Identity, req *jsonrpc2.Request) (any, error) {
	h, ok := m.lookup(Method(req.Method))
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	pprof.SetGoroutineLabels(h.labels)
	params := json.RawMessage("{}")
	if req.Params != nil {
		params = *req.Params
	}
	result, err := h.handle(ctx, from, params)
	if err != nil {
		return nil, encodeError(err)
	}
	return result, nil
}

// errorData is the data member of a JSON-RPC error.
type errorData struct {
	Code errcode.Code `json:"code"`
	Ran  errcode.Ran  `json:"ran"`
}

func encodeError(err error) *jsonrpc2.Error {
	e := errcode.From(err)
	out := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: e.Message}
	out.SetError(errorData{e.Code, e.Ran})
	return out
}

// decodeError converts a JSON-RPC error back into the error that the handler
// returned. An error without errorData is returned as it is.
func decodeError(err error) error {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) || e.Data == nil {
		return errors.WithStack(err)
	}
	var f errorData
	if json.Unmarshal(*e.Data, &f) != nil || f.Code == "" {
		return errors.WithStack(err)
	}
	return errors.WithStack(errcode.New(f.Code, "%s", e.Message).WithRan(f.Ran))
}
