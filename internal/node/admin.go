package node

import (
	"bytes"
	"crypto/subtle"
	"encoding/json"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// Status is what a VM says of itself to operators.
type Status struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   int64  `json:"incarnation"`
	// State is that of the vm chart; Standing is whether the configuration lets
	// the VM take work.
	State    string                 `json:"state"`
	Standing configuration.Standing `json:"standing"`
	Ready    bool                   `json:"ready"`
	// Configuration is the version in force; KnownConfiguration is the newest
	// that the VM has heard of.
	Configuration      int64        `json:"configuration"`
	KnownConfiguration int64        `json:"known_configuration"`
	InFlight           int          `json:"in_flight"`
	Peers              []PeerStatus `json:"peers,omitempty"`
}

// PeerStatus is another VM as this one sees it.
type PeerStatus struct {
	VM            string `json:"vm"`
	Status        string `json:"status"`
	Leaving       bool   `json:"leaving,omitempty"`
	Configuration int64  `json:"configuration"`
	// HeardMs is the time since it last answered or asked, in milliseconds.
	HeardMs int64 `json:"heard_ms"`
}

// adminServer serves operators: health to everybody, the rest with the token.
func (n *Node) adminServer() *fasthttp.Server {
	r := router.New()
	r.NotFound = refuseUnknownPath
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", n.readyz)
	r.GET("/metrics", n.authorised(n.metrics))
	r.GET("/status", n.authorised(n.status))
	r.POST("/drain", n.authorised(n.drain))
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

// ready reports whether the balancer may send requests.
func (n *Node) ready() bool { return n.life.state() == stateServing && n.parts.API.Ready() }

func (n *Node) readyz(ctx *fasthttp.RequestCtx) {
	if !n.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(string(n.life.state()) + ", configuration " + string(n.parts.Follower.Standing()) + "\n")
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
		VM:                 n.settings.VM.ID,
		FailureDomain:      n.settings.VM.FailureDomain,
		Incarnation:        n.parts.Identity.Incarnation,
		State:              string(n.life.state()),
		Standing:           n.parts.Follower.Standing(),
		Ready:              n.ready(),
		Configuration:      n.configuration(),
		KnownConfiguration: n.parts.Follower.Known(),
		InFlight:           n.parts.API.InFlight(),
		Peers:              n.peerStatus(),
	})
}

func (n *Node) peerStatus() []PeerStatus {
	views := n.members.Views()
	list := make([]PeerStatus, 0, len(views))
	for _, v := range views {
		list = append(list, PeerStatus{
			VM:            v.ID,
			Status:        v.Status.String(),
			Leaving:       v.Leaving,
			Configuration: v.Configuration,
			HeardMs:       time.Since(v.LastContact).Milliseconds(),
		})
	}
	return list
}

// drain begins a graceful shutdown.
func (n *Node) drain(ctx *fasthttp.RequestCtx) {
	n.BeginDrain()
	ctx.SetStatusCode(fasthttp.StatusAccepted)
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
