package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confapply"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/internal/settings"
	"cornelsaddle.example/cornelsaddle/standin/engine"
	standinplatform "cornelsaddle.example/cornelsaddle/standin/platform"
)

const (
	callerKey          = "framers-secret-key"
	adminToken         = "admin-secret-token"
	peerKey            = "peers-secret-key-1"
	waitTimeout        = 30 * time.Second
	engineMemoryTokens = 100_000
	maxBodyBytes       = 64 << 10
	maxHeaderBytes     = 4 << 10
	maxConnections     = 8
)

// logBuffer is an io.Writer that stores the log. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fixture is one VM with an engine stand-in and the VM's log.
type fixture struct {
	node   *Node
	engine *engine.Server
	log    logBuffer
}

// ignoredGoroutines excludes fasthttp's cleaners from the check for goroutine
// leaks: they sleep for up to 10 s before they detect that their owner was closed,
// and hold no request.
func ignoredGoroutines() []goleak.Option {
	const fasthttp = "github.com/valyala/fasthttp."
	return []goleak.Option{
		goleak.IgnoreAnyFunction(fasthttp + "(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction(fasthttp + "(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction(fasthttp + "(*Client).mCleaner"),
		goleak.IgnoreAnyFunction(fasthttp + "(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction(fasthttp + "updateServerDate.func1"),
	}
}

// defaultModel returns the engine's model for tests that need no other.
func defaultModel() engine.ModelConfig {
	return engine.ModelConfig{
		MemoryTokens: engineMemoryTokens, PrefillRate: 1_000_000, DecodeStep: 5 * time.Millisecond, PrefillChunkTokens: 2048, PriorityScheduling: true,
	}
}

func startFixture(t *testing.T) *fixture {
	t.Helper()
	return startFixtureWithModel(t, defaultModel())
}

func startFixtureWithModel(t *testing.T, model engine.ModelConfig) *fixture {
	t.Helper()
	f := &fixture{}
	store, err := standinplatform.Start(standinplatform.Config{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	f.engine, err = engine.Start(engine.Config{Address: "127.0.0.1:0", InitialModel: "scribe-pool", Model: model})
	require.NoError(t, err)
	applyConfiguration(t, store.Addr(), f.engine.Addr())
	log, err := event.New(&f.log, "json", "debug", "entry-1")
	require.NoError(t, err)
	f.node, err = Start(testSettings(store.Addr()), log)
	require.NoError(t, err)
	t.Cleanup(func() {
		f.node.Close()
		f.engine.Close()
		store.Close()
		goleak.VerifyNone(t, ignoredGoroutines()...)
	})
	require.Eventually(t, f.ready, waitTimeout, 10*time.Millisecond)
	return f
}

func (f *fixture) ready() bool {
	res, err := http.Get("http://" + f.node.AdminAddr() + "/readyz")
	if err != nil {
		return false
	}
	http.DefaultClient.CloseIdleConnections()
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func testSettings(store string) settings.Settings {
	s := settings.Default()
	s.VM = settings.VM{ID: "entry-1", Region: "dar-coast", FailureDomain: "upanga"}
	s.Callers.Address = "127.0.0.1:0"
	s.Callers.MaxBodyBytes = maxBodyBytes
	s.Callers.MaxHeaderBytes = maxHeaderBytes
	s.Callers.MaxConnections = maxConnections
	s.Callers.ReadTimeoutMs = 300
	s.Callers.IdleTimeoutMs = 300
	s.Callers.WriteTimeoutMs = 300
	s.Callers.DrainGraceMs = 1
	s.Admin = settings.Admin{Address: "127.0.0.1:0", Token: adminToken}
	s.Peers = settings.Peers{Address: "127.0.0.1:0", Keys: []string{peerKey}}
	s.Platform.Address = store
	s.Platform.PollMs = 50
	s.Log.Level = "debug"
	return s
}

func applyConfiguration(t *testing.T, store, engineAddress string) {
	t.Helper()
	doc := configuration.Document{
		Organisations: map[string]configuration.Organisation{
			"framers": {KeyDigests: []string{calls.Digest([]byte(callerKey))}, Weight: 1, Services: []string{"scribe-pool", "ledger-desk"}},
		},
		Services: map[string]configuration.Service{
			"scribe-pool": {Kind: configuration.KindModel, MaxTimeoutMs: 600_000},
			"closed-pool": {Kind: configuration.KindModel, MaxTimeoutMs: 30_000},
			"ledger-desk": {Kind: configuration.KindPlain, MaxTimeoutMs: 10_000, Operations: map[string]configuration.Operation{"deposit": {}}},
		},
		Endpoints: map[string]configuration.Endpoint{
			"scribe-1": {Service: "scribe-pool", Address: engineAddress, FailureDomain: "upanga", MemoryTokens: engineMemoryTokens},
			// No server listens there, and no organisation may use its service.
			"closed-1": {Service: "closed-pool", Address: "127.0.0.1:9", FailureDomain: "upanga", MemoryTokens: engineMemoryTokens},
		},
		Limits: configuration.Limits{RetryBudget: 0.2, CallRetentionHours: 24},
	}
	data, err := json.Marshal(doc)
	require.NoError(t, err)
	client := platform.New(store, time.Second)
	defer client.Close()
	_, err = confapply.Apply(client, []configuration.File{{Name: "10-all.json", Data: data}}, 0)
	require.NoError(t, err)
}

// sendRaw sends raw bytes on a new connection and returns the response and its
// body.
func (f *fixture) sendRaw(t *testing.T, raw string) (*http.Response, []byte) {
	t.Helper()
	c := f.dialCallers(t)
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, raw)
	require.NoError(t, err)
	return readResponse(t, c)
}

func (f *fixture) dialCallers(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", f.node.CallersAddr())
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return c
}

func readResponse(t *testing.T, c net.Conn) (*http.Response, []byte) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res, data
}

// rawRequest returns an encoded HTTP request with the caller's key.
func rawRequest(method, path, body string, headers ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, callerKey, strings.Join(append(headers, ""), "\r\n"), len(body), body)
}

// requireErrorResponse checks that the response is a typed error with the code.
func requireErrorResponse(t *testing.T, code errcode.Code, res *http.Response, data []byte) {
	t.Helper()
	var got struct {
		Error struct {
			Code      errcode.Code `json:"code"`
			Message   string       `json:"message"`
			Ran       errcode.Ran  `json:"ran"`
			RequestID string       `json:"request_id"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal(data, &got), string(data))
	require.Equal(t, code, got.Error.Code, string(data))
	require.Equal(t, errcode.Lookup(code).Status, res.StatusCode)
	require.NotEmpty(t, got.Error.Message)
	require.Equal(t, string(got.Error.Ran), res.Header.Get(wire.HeaderRan))
	require.Equal(t, got.Error.RequestID, res.Header.Get(wire.HeaderRequestID))
	require.Equal(t, "application/json", res.Header.Get("Content-Type"))
}

func TestInvalidRequestsGetTypedErrors(t *testing.T) {
	f := startFixture(t)
	const deposit = "/v1/services/ledger-desk/deposit"
	validBody := `{"model":"scribe-pool","prompt":"secret prompt text"}`
	for name, c := range map[string]struct {
		raw  string
		code errcode.Code
	}{
		"no key":             {strings.Replace(rawRequest("POST", wire.PathCompletions, validBody), "Authorization", "X-Other", 1), errcode.Unauthorized},
		"unknown key":        {strings.Replace(rawRequest("POST", wire.PathCompletions, validBody), callerKey, "stolen-secret-key", 1), errcode.Unauthorized},
		"truncated JSON":     {rawRequest("POST", wire.PathCompletions, `{"model":"scribe-pool","prompt":"secret prompt text`), errcode.BadRequest},
		"empty body":         {rawRequest("POST", wire.PathCompletions, ""), errcode.BadRequest},
		"wrong type":         {rawRequest("POST", wire.PathCompletions, `{"model":"scribe-pool","prompt":7}`), errcode.BadRequest},
		"invalid UTF-8":      {rawRequest("POST", wire.PathCompletions, "{\"model\":\"scribe-pool\",\"prompt\":\"secret prompt text \xff\"}"), errcode.BadRequest},
		"unknown model":      {rawRequest("POST", wire.PathCompletions, `{"model":"nope","prompt":"secret prompt text"}`), errcode.UnknownModel},
		"forbidden model":    {rawRequest("POST", wire.PathCompletions, `{"model":"closed-pool","prompt":"secret prompt text"}`), errcode.Forbidden},
		"bad timeout":        {rawRequest("POST", wire.PathCompletions, validBody, wire.HeaderTimeoutMs+": soon"), errcode.BadRequest},
		"unknown service":    {rawRequest("POST", "/v1/services/nope/deposit", "{}"), errcode.UnknownService},
		"unknown operation":  {rawRequest("POST", "/v1/services/ledger-desk/nope", "{}"), errcode.UnknownOperation},
		"no idempotency key": {rawRequest("POST", deposit, "{}"), errcode.KeyRequired},
		"unknown path":       {rawRequest("POST", "/v1/nope", "{}"), errcode.UnknownRoute},
		"wrong method":       {rawRequest("DELETE", wire.PathCompletions, ""), errcode.MethodNotAllowed},
		"body too large":     {rawRequest("POST", wire.PathCompletions, strings.Repeat("x", maxBodyBytes+1)), errcode.BodyTooLarge},
		"headers too large":  {rawRequest("POST", wire.PathCompletions, validBody, "X-Long: "+strings.Repeat("x", 2*maxHeaderBytes)), errcode.HeaderTooLarge},
		"not HTTP":           {"hello " + callerKey + "\r\n\r\n", errcode.BadRequest},
		"slow headers":       {"POST /v1/completions HTTP/1.1\r\nHost: te", errcode.RequestTimeout},
		"slow body":          {"POST /v1/completions HTTP/1.1\r\nHost: test\r\nContent-Length: 100\r\n\r\n{", errcode.RequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			res, data := f.sendRaw(t, c.raw)
			requireErrorResponse(t, c.code, res, data)
		})
	}
	require.Empty(t, f.engine.Started())
	for _, secret := range []string{"secret prompt text", callerKey, "stolen-secret-key", adminToken, peerKey} {
		require.NotContains(t, f.log.String(), secret)
	}
}

func TestModelsAreListed(t *testing.T) {
	f := startFixture(t)
	res, data := f.sendRaw(t, rawRequest("GET", "/v1/models", ""))
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.JSONEq(t, `{"object":"list","data":[{"id":"scribe-pool","object":"model","owned_by":"cornelsaddle"}]}`, string(data))
}

func TestConnectionsAreLimited(t *testing.T) {
	f := startFixture(t)
	for range maxConnections {
		c := f.dialCallers(t)
		defer func() { _ = c.Close() }()
		// With the first byte of a request, the connection does not count as idle.
		_, err := io.WriteString(c, "P")
		require.NoError(t, err)
	}
	c := f.dialCallers(t)
	defer func() { _ = c.Close() }()
	res, data := readResponse(t, c)
	requireErrorResponse(t, errcode.TooManyConnections, res, data)
	require.Equal(t, "1", res.Header.Get("Retry-After"))
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	f := startFixture(t)
	c := f.dialCallers(t)
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, rawRequest("POST", "/v1/nope", "{}"))
	require.NoError(t, err)
	// ReadAll returns without an error only if the server closes the connection
	// before the test's deadline.
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(data), errcode.UnknownRoute)
}

func TestCallerDisconnectReleasesEngineMemory(t *testing.T) {
	f := startFixture(t)
	body := `{"model":"scribe-pool","prompt":"secret prompt text","max_tokens":20000,"stream":true}`
	c := f.dialCallers(t)
	_, err := io.WriteString(c, rawRequest("POST", wire.PathCompletions, body))
	require.NoError(t, err)
	_, err = bufio.NewReader(c).ReadString('{')
	require.NoError(t, err)
	require.Less(t, f.engine.Free(), int64(engineMemoryTokens))
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return f.engine.Free() == engineMemoryTokens }, waitTimeout, 10*time.Millisecond)
	f.node.Drain()
	require.NotContains(t, f.log.String(), "secret prompt text")
}

// TestCallerDisconnectDuringPrefill closes the caller's connection during a prefill
// that takes minutes. The engine's memory must be freed well before its end.
func TestCallerDisconnectDuringPrefill(t *testing.T) {
	for name, stream := range map[string]bool{"streamed": true, "whole": false} {
		t.Run(name, func(t *testing.T) {
			model := defaultModel()
			model.PrefillRate = 100
			f := startFixtureWithModel(t, model)
			body := fmt.Sprintf(`{"model":"scribe-pool","prompt":%q,"max_tokens":4,"stream":%v}`, strings.Repeat("ash ", 12_000), stream)
			c := f.dialCallers(t)
			_, err := io.WriteString(c, rawRequest("POST", wire.PathCompletions, body))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return f.engine.Free() < engineMemoryTokens }, waitTimeout, 10*time.Millisecond)
			require.NoError(t, c.Close())
			require.Eventually(t, func() bool { return f.engine.Free() == engineMemoryTokens }, waitTimeout, 10*time.Millisecond)
			f.node.Drain()
		})
	}
}

func TestValidRequestsLogNoPromptOrKey(t *testing.T) {
	f := startFixture(t)
	validBody := `{"model":"scribe-pool","prompt":"secret prompt text","max_tokens":12}`
	res, data := f.sendRaw(t, rawRequest("POST", wire.PathCompletions, validBody))
	require.Equal(t, http.StatusOK, res.StatusCode, string(data))
	var completion wire.Chunk
	require.NoError(t, json.Unmarshal(data, &completion))
	require.Equal(t, engine.AnswerText("secret prompt text", 12), completion.Choices[0].Text)
	// A truncated stream makes the VM log the failed attempt as well.
	f.engine.SetFaults(wire.EngineFaults{CutAfterTokens: 3})
	_, _ = f.sendRaw(t, rawRequest("POST", wire.PathCompletions, validBody))
	require.Contains(t, f.log.String(), `"event":301`)
	for _, secret := range []string{"secret prompt text", callerKey, adminToken, peerKey, strings.Fields(completion.Choices[0].Text)[0]} {
		require.NotContains(t, f.log.String(), secret)
	}
}
