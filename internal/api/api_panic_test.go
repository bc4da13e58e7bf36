package api

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// TestPanickingHandlerFailsItsRequest checks that a handler that panics, which ends the
// process under fasthttp, fails its request with a typed error.
func TestPanickingHandlerFailsItsRequest(t *testing.T) {
	log, err := event.New(io.Discard, "json", "error", "test")
	require.NoError(t, err)
	a := New(nil, nil, nil, nil, log, metrics.New())
	var ctx fasthttp.RequestCtx
	a.recovering(func(*fasthttp.RequestCtx) { panic("unexpected request") })(&ctx)
	require.Equal(t, fasthttp.StatusInternalServerError, ctx.Response.StatusCode())
	require.Equal(t, "unknown", string(ctx.Response.Header.Peek(wire.HeaderRan)))
}
