package api

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

const (
	engineMemory = 100_000
	waitLimit    = 20 * time.Second
)

// oneEngine is a fleet of one.
type oneEngine struct{}

func (oneEngine) Views(_ *confsync.Snapshot, _ string, except map[string]bool) []placement.View {
	if except["e"] {
		return nil
	}
	return []placement.View{{ID: "e", Rate: 1e6, Memory: engineMemory}}
}
func (e oneEngine) Place(snap *confsync.Snapshot, service string, except map[string]bool, p placement.Prompt) (placement.Choice, placement.View) {
	views := e.Views(snap, service, except)
	if len(views) == 0 {
		return placement.Choice{Index: -1}, placement.View{}
	}
	return placement.Choice{Priority: p.Priority}, views[0]
}
func (oneEngine) SentPrompt(string, string, placement.Prompt, wire.Priority) {}
func (oneEngine) Reported(string, configuration.Endpoint, wire.LoadReport)   {}

func (oneEngine) FirstToken(string, string)     {}
func (oneEngine) Ended(string, string)          {}
func (oneEngine) Answered(string, fleet.Answer) {}
func (oneEngine) Done(string, int64)            {}
func (oneEngine) Failed(string)                 {}

// noHolder holds nothing.
type noHolder struct{}

func (noHolder) Take(context.Context, reserve.Claim) (*reserve.Grant, error) {
	return nil, &reserve.RefusedError{}
}
func (noHolder) Owner() string { return "vm/1" }

// front is an API before one engine.
type front struct {
	*API
	engine  *engine.Server
	address string
}

func newFront(t *testing.T, cfg prompt.Config, model engine.ModelConfig) *front {
	t.Helper()
	model.MemoryTokens, model.PieceTokens = engineMemory, 512
	e, err := engine.Start(engine.Config{Address: "127.0.0.1:0", Model: model})
	require.NoError(t, err)
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	streams, caller := endpoint.New(), endpoint.NewCaller()
	runner := prompt.NewRunner(cfg, oneEngine{}, streams, caller, noHolder{}, log, metrics.New())
	f := &front{API: New(nil, openGate{}, runner, nil, log, metrics.New()), engine: e}
	snapshot := &confsync.Snapshot{Version: 1, Document: &configuration.Document{
		Organisations: map[string]configuration.Organisation{"framers": {Services: []string{"pool"}}},
		Services:      map[string]configuration.Service{"pool": {Kind: configuration.KindModel, MaxTimeoutMs: time.Hour.Milliseconds()}},
		Endpoints:     map[string]configuration.Endpoint{"e": {Service: "pool", Address: e.Addr(), MemoryTokens: engineMemory}},
	}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = l.Addr().String()
	server := &fasthttp.Server{CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
		f.enter()
		f.completions(ctx, scope{id: fmt.Sprint(ctx.ID()), organisation: "framers", snapshot: snapshot})
	}}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.Shutdown()
		runner.Close()
		streams.Close()
		caller.Close()
		e.Close()
	})
	return f
}

func (f *front) post(ctx context.Context, t *testing.T, req wire.CompletionRequest) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(req)
	require.NoError(t, err)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+wire.PathCompletions, strings.NewReader(string(data)))
	require.NoError(t, err)
	return http.DefaultClient.Do(r)
}

// requireIdle waits until nothing is under way and the engine's memory is back.
func (f *front) requireIdle(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.count == 0 && f.engine.Free() == engineMemory
	}, waitLimit, 5*time.Millisecond)
}

func ask(tokens int) wire.CompletionRequest {
	return wire.CompletionRequest{Model: "pool", Prompt: strings.Repeat("pole", 1000), MaxTokens: tokens, Stream: true}
}

func TestCallerThatLeavesWhileQueuedFreesTheEngine(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		t.Run(fmt.Sprint(streamed), func(t *testing.T) {
			f := newFront(t, prompt.DefaultConfig(), engine.ModelConfig{PrefillRate: 1, DecodeStep: time.Hour})
			ctx, cancel := context.WithCancel(context.Background())
			req := ask(10)
			req.Stream = streamed
			done := make(chan error, 1)
			go func() {
				res, err := f.post(ctx, t, req)
				if err == nil {
					_ = res.Body.Close()
				}
				done <- err
			}()
			require.Eventually(t, func() bool { return f.engine.Free() < engineMemory }, waitLimit, time.Millisecond)
			cancel()
			require.Error(t, <-done)
			f.requireIdle(t)
		})
	}
}

func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	cfg := prompt.DefaultConfig()
	cfg.CallerStall, cfg.Watch = 200*time.Millisecond, 20*time.Millisecond
	f := newFront(t, cfg, engine.ModelConfig{PrefillRate: 1e6, DecodeStep: 10 * time.Microsecond})
	conn, err := net.Dial("tcp4", f.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(1024))
	data, err := json.Marshal(ask(90_000))
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", wire.PathCompletions, len(data), data)
	require.NoError(t, err)
	f.requireIdle(t)
}

func TestFailureAfterTheFirstTokenIsTheLastEvent(t *testing.T) {
	cfg := prompt.DefaultConfig()
	cfg.Retry.MaxAttempts = 1
	f := newFront(t, cfg, engine.ModelConfig{PrefillRate: 1e6, DecodeStep: time.Millisecond})
	f.engine.SetFaults(wire.EngineFaults{CutAfterTokens: 3})
	res, err := f.post(context.Background(), t, ask(10))
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	events := strings.Split(strings.TrimSpace(string(body)), "\n\n")
	require.Len(t, events, 4)
	require.Contains(t, events[3], `"code":"stream_cut"`)
	require.Contains(t, events[3], `"ran":"yes"`)
	f.requireIdle(t)
}

func TestReadsOfAnySizeJoinToTheSameAnswer(t *testing.T) {
	f := newFront(t, prompt.DefaultConfig(), engine.ModelConfig{PrefillRate: 1e6, DecodeStep: time.Microsecond})
	req := ask(200)
	res, err := f.post(context.Background(), t, req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var text strings.Builder
	last := ""
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		last = data
		var chunk wire.Chunk
		if json.Unmarshal([]byte(data), &chunk) == nil {
			text.WriteString(chunk.Choices[0].Text)
		}
	}
	require.Equal(t, wire.StreamDone, last)
	require.Equal(t, engine.AnswerText(req.Prompt, 200), text.String())
	f.requireIdle(t)
}

// openGate admits all.
type openGate struct{}

func (openGate) Admit(prompt.Request) error { return nil }
