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

// Status is the body of the response to GET /status: the VM's state, for operators.
type Status struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   int64  `json:"incarnation"`
	// State is the state of the vm chart; Standing says whether the VM may accept
	// work under its configuration.
	State    string                 `json:"state"`
	Standing configuration.Standing `json:"standing"`
	Ready    bool                   `json:"ready"`
	// Configuration is the version in force, zero for none; KnownConfiguration is
	// the newest version that the VM has learnt of.
	Configuration      int64        `json:"configuration"`
	KnownConfiguration int64        `json:"known_configuration"`
	InFlight           int          `json:"in_flight"`
	Peers              []PeerStatus `json:"peers,omitempty"`
}

// PeerStatus is the state of another VM as seen by this one.
type PeerStatus struct {
	VM            string `json:"vm"`
	Status        string `json:"status"`
	Leaving       bool   `json:"leaving,omitempty"`
	Configuration int64  `json:"configuration"`
	// HeardMs is the time since the last message from the VM, in milliseconds; -1 if
	// none has come and the VM is known from others only.
	HeardMs int64 `json:"heard_ms"`
}

// adminServer returns the server for operators. The health checks need no token,
// all other paths require the admin token.
func (n *Node) adminServer() *fasthttp.Server {
	r := router.New()
	r.NotFound = writeUnknownPath
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", n.readyz)
	r.GET("/metrics", n.authorised(n.metrics))
	r.GET("/status", n.authorised(n.status))
	r.POST("/drain", n.authorised(n.drain))
	return &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true, CloseOnShutdown: true}
}

// authorised wraps a handler and rejects requests without the admin token.
func (n *Node) authorised(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	want := []byte(n.settings.Admin.Token)
	return func(ctx *fasthttp.RequestCtx) {
		got, _ := bytes.CutPrefix(ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			writeUnauthorised(ctx)
			return
		}
		next(ctx)
	}
}

// ready reports whether the load balancer may send requests to this VM.
func (n *Node) ready() bool { return n.lifecycle.state() == stateServing && n.components.API.Ready() }

func (n *Node) readyz(ctx *fasthttp.RequestCtx) {
	if !n.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(string(n.lifecycle.state()) + ", configuration " + string(n.components.Follower.Standing()) + "\n")
		return
	}
	ctx.SetBodyString("ok\n")
}

// metrics writes the metrics in the Prometheus text format, summed over
// organisations with ?by=class, or as JSON with ?format=json.
func (n *Node) metrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.QueryArgs().Peek("format")) == "json" {
		writeJSON(ctx, n.components.Metrics.Registry.GetAll())
		return
	}
	ctx.Response.Header.SetContentType(metrics.ContentType)
	detail := metrics.ByOrganisation
	if string(ctx.QueryArgs().Peek("by")) == string(metrics.ByClass) {
		detail = metrics.ByClass
	}
	if err := n.components.Metrics.WritePrometheus(ctx, detail); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

func (n *Node) status(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, Status{
		VM:                 n.settings.VM.ID,
		FailureDomain:      n.settings.VM.FailureDomain,
		Incarnation:        n.components.Identity.Incarnation,
		State:              string(n.lifecycle.state()),
		Standing:           n.components.Follower.Standing(),
		Ready:              n.ready(),
		Configuration:      n.configurationVersion(),
		KnownConfiguration: n.components.Follower.NewestKnown(),
		InFlight:           n.components.API.InFlight(),
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
			HeardMs:       heardMs(v.LastContact),
		})
	}
	return list
}

// heardMs returns the time since a VM was heard of, in milliseconds; -1 for never.
func heardMs(lastContact time.Time) int64 {
	if lastContact.IsZero() {
		return -1
	}
	return time.Since(lastContact).Milliseconds()
}

// drain begins a graceful shutdown and responds without waiting for its end.
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
