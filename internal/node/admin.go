package node

import (
	"bytes"
	"crypto/subtle"
	"encoding/json"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// Status is what a VM says of itself to operators.
type Status struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Configuration int64  `json:"configuration"`
	Ready         bool   `json:"ready"`
}

// adminServer serves operators: health to everybody, the rest with the token.
func (n *Node) adminServer() *fasthttp.Server {
	r := router.New()
	r.NotFound = refuseUnknownPath
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", n.ready)
	r.GET("/metrics", n.authorised(n.metrics))
	r.GET("/status", n.authorised(n.status))
	return &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true, CloseOnShutdown: true}
}

// authorised lets through requests with the admin token.
func (n *Node) authorised(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	want := []byte(n.settings.Admin.Token)
	return func(ctx *fasthttp.RequestCtx) {
		got, _ := bytes.CutPrefix(ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			refuseStranger(ctx)
			return
		}
		next(ctx)
	}
}

func (n *Node) ready(ctx *fasthttp.RequestCtx) {
	if !n.parts.API.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok\n")
}

// metrics answers in the Prometheus text format, with ?by=class added up over
// organisations, or in JSON with ?format=json.
func (n *Node) metrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.QueryArgs().Peek("format")) == "json" {
		writeJSON(ctx, n.parts.Metrics.Registry.GetAll())
		return
	}
	ctx.Response.Header.SetContentType(metrics.ContentType)
	detail := metrics.ByOrganisation
	if string(ctx.QueryArgs().Peek("by")) == string(metrics.ByClass) {
		detail = metrics.ByClass
	}
	if err := n.parts.Metrics.WritePrometheus(ctx, detail); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

func (n *Node) status(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, Status{
		VM:            n.settings.VM.ID,
		FailureDomain: n.settings.VM.FailureDomain,
		Configuration: n.configuration(),
		Ready:         n.parts.API.Ready(),
	})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(data)
}
