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

// Roles of the processes in a measurement.
const (
	roleSource      = "source"
	rolePassThrough = "pass-through"
	roleEntry       = "entry"
)

const (
	loopback        = "127.0.0.1:0"
	copyBufferBytes = 4 << 10
	// pathPolls returns the number of load polls that the source has answered.
	pathPolls = "/polls"
	// sourceMemoryTokens is the KV memory that the source reports, in tokens.
	sourceMemoryTokens = 1 << 40
)

// printAddressAndWait prints the address and waits for SIGINT or SIGTERM.
func printAddressAndWait(address string) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	fmt.Println(address)
	<-stop
}

// runSource runs a minimal engine on the given number of addresses. It streams
// tokens at the interval given in the request.
func runSource(listeners int) error {
	r := router.New()
	r.POST(wire.PathCompletions, sourceStream)
	r.POST(wire.PathCancel, noContent)
	r.POST(wire.PathReservations, func(ctx *fasthttp.RequestCtx) {
		httpjson.Write(ctx, fasthttp.StatusOK, wire.Reservation{})
	})
	r.GET(wire.PathReservations, func(ctx *fasthttp.RequestCtx) {
		httpjson.Write(ctx, fasthttp.StatusOK, wire.ReservationList{})
	})
	r.DELETE(wire.PathReservations+"/{id}", noContent)
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
	printAddressAndWait(strings.Join(addresses, " "))
	return nil
}

// sourceReport returns the load report of an idle engine.
func sourceReport() wire.LoadReport {
	return wire.LoadReport{
		AtMs:        time.Now().UnixMilli(),
		Incarnation: "source",
		PrefillRate: sourceMemoryTokens,
		FreeTokens:  sourceMemoryTokens,
		TotalTokens: sourceMemoryTokens,
	}
}

// noContent responds with status 204.
func noContent(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNoContent) }

// sourceRequest is the part of a request that the source reads. User carries the
// interval, because every forwarder passes it on unchanged.
type sourceRequest struct {
	MaxTokens int    `json:"max_tokens"`
	User      string `json:"user"`
}

// sourceStream streams the requested number of tokens.
func sourceStream(ctx *fasthttp.RequestCtx) {
	var p sourceRequest
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

// writeTokens writes the tokens as server-sent events, one per interval, followed by
// the end marker. It returns early if the client disconnects.
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

// runPassThrough runs the baseline: a proxy that forwards each request body to the
// source and copies the response bytes as they arrive, without parsing them.
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
	printAddressAndWait(s.Addr())
	return nil
}

// copyFlushed copies r to w and flushes w after each read.
func copyFlushed(w *bufio.Writer, r io.Reader) {
	buffer := make([]byte, copyBufferBytes)
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

// runEntry runs an entry VM with the settings file.
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
	printAddressAndWait(n.CallersAddr())
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
