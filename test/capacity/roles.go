package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/node"
	"cornelsaddle.example/cornelsaddle/internal/settings"
	"cornelsaddle.example/cornelsaddle/standin/httpjson"
)

// Roles of the measurement's processes.
const (
	roleSource      = "source"
	rolePassThrough = "pass-through"
	roleEntry       = "entry"
)

const (
	loopback   = "127.0.0.1:0"
	copyBuffer = 4 << 10
	// pathPolls tells how many load polls the source has answered.
	pathPolls = "/polls"
	// sourceMemory is the KV memory that the source reports, in tokens.
	sourceMemory = 1 << 40
)

// announce prints the address and waits for the signal to stop.
func announce(address string) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	fmt.Println(address)
	<-stop
}

// runSource serves streams of tokens at the interval that the prompt asks for,
// on so many addresses.
func runSource(listeners int) error {
	r := router.New()
	r.POST(wire.PathCompletions, sourceStream)
	r.POST(wire.PathCancel, accept)
	r.POST(wire.PathReservations, func(ctx *fasthttp.RequestCtx) {
		httpjson.Write(ctx, fasthttp.StatusOK, wire.Reservation{})
	})
	r.GET(wire.PathReservations, func(ctx *fasthttp.RequestCtx) {
		httpjson.Write(ctx, fasthttp.StatusOK, wire.ReservationList{})
	})
	r.DELETE(wire.PathReservations+"/{id}", accept)
	var polls atomic.Int64
	r.GET(wire.PathEngineLoad, func(ctx *fasthttp.RequestCtx) {
		polls.Add(1)
		httpjson.Write(ctx, fasthttp.StatusOK, sourceReport())
	})
	r.GET(pathPolls, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(strconv.FormatInt(polls.Load(), 10))
	})
	addresses := make([]string, 0, listeners)
	for range listeners {
		s, err := httpjson.Listen(loopback, r.Handler)
		if err != nil {
			return err
		}
		defer s.Close()
		addresses = append(addresses, s.Addr())
	}
	announce(strings.Join(addresses, " "))
	return nil
}

// sourceReport is the load of an idle engine.
func sourceReport() wire.LoadReport {
	return wire.LoadReport{
		AtMs:        time.Now().UnixMilli(),
		Incarnation: "source",
		PrefillRate: sourceMemory,
		FreeTokens:  sourceMemory,
		TotalTokens: sourceMemory,
	}
}

// accept answers without a body.
func accept(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNoContent) }

// prompt is the part of a request that the source reads. User carries the
// interval, since it passes unchanged through every forwarder.
type prompt struct {
	MaxTokens int    `json:"max_tokens"`
	User      string `json:"user"`
}

func sourceStream(ctx *fasthttp.RequestCtx) {
	var p prompt
	if !httpjson.Read(ctx, &p) {
		return
	}
	interval, _ := time.ParseDuration(p.User)
	name := string(ctx.Request.Header.Peek(wire.HeaderRequestID))
	attempt := string(ctx.Request.Header.Peek(wire.HeaderAttempt))
	ctx.Response.Header.SetContentType("text/event-stream")
	if report, err := json.Marshal(sourceReport()); err == nil {
		ctx.Response.Header.SetBytesV(wire.HeaderLoadReport, report)
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		writeTokens(w, name+"/"+attempt+"/", name, p.MaxTokens, interval)
	})
}

func writeTokens(w *bufio.Writer, prefix, name string, tokens int, interval time.Duration) {
	next := time.Now()
	for i := range tokens {
		if interval > 0 {
			next = next.Add(interval)
			time.Sleep(time.Until(next))
		}
		_, _ = w.WriteString("id: " + prefix + strconv.Itoa(i) + "\ndata: " +
			`{"id":"` + name + `","object":"text_completion","model":"pool","choices":[{"index":0,"text":"gesso ","finish_reason":null}]}` + "\n\n")
		if w.Flush() != nil {
			return
		}
	}
	_, _ = w.WriteString("id: " + prefix + strconv.Itoa(tokens) + "\ndata: " + wire.StreamDone + "\n\n")
	_ = w.Flush()
}

// runPassThrough is the baseline: it hands each request's body to the source
// and copies the answer's bytes as they come, without looking at them.
func runPassThrough(upstream string) error {
	client := &fasthttp.Client{StreamResponseBody: true, MaxConnsPerHost: 1 << 16}
	handler := func(ctx *fasthttp.RequestCtx) {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		res := fasthttp.AcquireResponse()
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + upstream + string(ctx.Path()))
		req.SetBody(ctx.PostBody())
		if err := client.Do(req, res); err != nil {
			fasthttp.ReleaseResponse(res)
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
		ctx.Response.Header.SetContentType(string(res.Header.ContentType()))
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer fasthttp.ReleaseResponse(res)
			copyFlushed(w, res.BodyStream())
			_ = res.CloseBodyStream()
		})
	}
	s, err := httpjson.Listen(loopback, handler)
	if err != nil {
		return err
	}
	defer s.Close()
	announce(s.Addr())
	return nil
}

// copyFlushed copies r to w and flushes after each read.
func copyFlushed(w *bufio.Writer, r io.Reader) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := r.Read(buffer)
		_, _ = w.Write(buffer[:n])
		if n > 0 && w.Flush() != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

// runEntry is one entry VM.
func runEntry(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	log, err := event.New(io.Discard, s.Log.Format, s.Log.Level, s.VM.ID)
	if err != nil {
		return err
	}
	n, err := node.Start(s, log)
	if err != nil {
		return err
	}
	defer n.Close()
	announce(n.Callers())
	return nil
}

// writeSettings writes an entry VM's settings file.
func writeSettings(file, platform string) error {
	s := settings.Default()
	s.VM = settings.VM{ID: "entry-1", Region: "region-1", FailureDomain: "domain-1"}
	s.Callers.Address = loopback
	s.Admin = settings.Admin{Address: loopback, Token: "capacity-admin-token"}
	s.Peers = settings.Peers{Address: loopback, Keys: []string{"capacity-peer-key-1"}}
	s.Platform.Address = platform
	s.Log.Level = "error"
	data, err := json.Marshal(s)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(file, data, 0o600))
}
