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
	callerKey   = "framers-secret-key"
	adminSecret = "admin-secret-token"
	peerSecret  = "peers-secret-key-1"
	waitLimit   = 30 * time.Second
	engineTotal = 100_000
	bodyLimit   = 64 << 10
	headerLimit = 4 << 10
	connLimit   = 8
)

// logBuffer collects a log.
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

// rig is one VM with its stand-ins.
type rig struct {
	node   *Node
	engine *engine.Server
	log    logBuffer
}

// housekeeping lists the HTTP library's cleaners, which sleep for up to ten
// seconds before they notice that their owner was closed. They hold no request.
func housekeeping() []goleak.Option {
	const fasthttp = "github.com/valyala/fasthttp."
	return []goleak.Option{
		goleak.IgnoreAnyFunction(fasthttp + "(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction(fasthttp + "(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction(fasthttp + "(*Client).mCleaner"),
		goleak.IgnoreAnyFunction(fasthttp + "(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction(fasthttp + "updateServerDate.func1"),
	}
}

// engineModel is the rig's usual engine.
func engineModel() engine.ModelConfig {
	return engine.ModelConfig{
		MemoryTokens: engineTotal, PrefillRate: 1_000_000, DecodeStep: 5 * time.Millisecond, PieceTokens: 2048, Priorities: true,
	}
}

func startRig(t *testing.T) *rig {
	t.Helper()
	return startRigWith(t, engineModel())
}

func startRigWith(t *testing.T, model engine.ModelConfig) *rig {
	t.Helper()
	r := &rig{}
	store, err := standinplatform.Start(standinplatform.Config{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	r.engine, err = engine.Start(engine.Config{Address: "127.0.0.1:0", Serves: "scribe-pool", Model: model})
	require.NoError(t, err)
	applyDocument(t, store.Addr(), r.engine.Addr())
	log, err := event.New(&r.log, "json", "debug", "entry-1")
	require.NoError(t, err)
	r.node, err = Start(rigSettings(store.Addr()), log)
	require.NoError(t, err)
	t.Cleanup(func() {
		r.node.Close()
		r.engine.Close()
		store.Close()
		goleak.VerifyNone(t, housekeeping()...)
	})
	require.Eventually(t, r.ready, waitLimit, 10*time.Millisecond)
	return r
}

func (r *rig) ready() bool {
	res, err := http.Get("http://" + r.node.Admin() + "/readyz")
	if err != nil {
		return false
	}
	http.DefaultClient.CloseIdleConnections()
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func rigSettings(store string) settings.Settings {
	s := settings.Default()
	s.VM = settings.VM{ID: "entry-1", Region: "dar-coast", FailureDomain: "upanga"}
	s.Callers.Address = "127.0.0.1:0"
	s.Callers.MaxBodyBytes = bodyLimit
	s.Callers.MaxHeaderBytes = headerLimit
	s.Callers.MaxConnections = connLimit
	s.Callers.ReadTimeoutMs = 300
	s.Callers.IdleTimeoutMs = 300
	s.Callers.WriteTimeoutMs = 300
	s.Callers.DrainGraceMs = 1
	s.Admin = settings.Admin{Address: "127.0.0.1:0", Token: adminSecret}
	s.Peers = settings.Peers{Address: "127.0.0.1:0", Keys: []string{peerSecret}}
	s.Platform.Address = store
	s.Platform.PollMs = 50
	s.Log.Level = "debug"
	return s
}

func applyDocument(t *testing.T, store, engineAddress string) {
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
			"scribe-1": {Service: "scribe-pool", Address: engineAddress, FailureDomain: "upanga", MemoryTokens: engineTotal},
			// Nobody listens there, and nobody may use its service.
			"closed-1": {Service: "closed-pool", Address: "127.0.0.1:9", FailureDomain: "upanga", MemoryTokens: engineTotal},
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

// exchange sends raw bytes on a connection of its own and reads the answer.
func (r *rig) exchange(t *testing.T, raw string) (*http.Response, []byte) {
	t.Helper()
	c := r.dial(t)
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, raw)
	require.NoError(t, err)
	return readAnswer(t, c)
}

func (r *rig) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", r.node.Callers())
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	return c
}

func readAnswer(t *testing.T, c net.Conn) (*http.Response, []byte) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res, data
}

// request is a raw HTTP request with the caller's key.
func request(method, path, body string, headers ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, callerKey, strings.Join(append(headers, ""), "\r\n"), len(body), body)
}

// requireTyped checks that the answer is a typed failure of the code.
func requireTyped(t *testing.T, code errcode.Code, res *http.Response, data []byte) {
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

func TestBadInputGetsATypedAnswer(t *testing.T) {
	r := startRig(t)
	const deposit = "/v1/services/ledger-desk/deposit"
	good := `{"model":"scribe-pool","prompt":"secret prompt text"}`
	for name, c := range map[string]struct {
		raw  string
		code errcode.Code
	}{
		"no key":             {strings.Replace(request("POST", wire.PathCompletions, good), "Authorization", "X-Other", 1), errcode.Unauthorized},
		"unknown key":        {strings.Replace(request("POST", wire.PathCompletions, good), callerKey, "stolen-secret-key", 1), errcode.Unauthorized},
		"broken JSON":        {request("POST", wire.PathCompletions, `{"model":"scribe-pool","prompt":"secret prompt text`), errcode.BadRequest},
		"empty body":         {request("POST", wire.PathCompletions, ""), errcode.BadRequest},
		"wrong type":         {request("POST", wire.PathCompletions, `{"model":"scribe-pool","prompt":7}`), errcode.BadRequest},
		"wrong UTF-8":        {request("POST", wire.PathCompletions, "{\"model\":\"scribe-pool\",\"prompt\":\"secret prompt text \xff\"}"), errcode.BadRequest},
		"unknown model":      {request("POST", wire.PathCompletions, `{"model":"nope","prompt":"secret prompt text"}`), errcode.UnknownModel},
		"closed model":       {request("POST", wire.PathCompletions, `{"model":"closed-pool","prompt":"secret prompt text"}`), errcode.Forbidden},
		"bad timeout":        {request("POST", wire.PathCompletions, good, wire.HeaderTimeoutMs+": soon"), errcode.BadRequest},
		"unknown service":    {request("POST", "/v1/services/nope/deposit", "{}"), errcode.UnknownService},
		"unknown operation":  {request("POST", "/v1/services/ledger-desk/nope", "{}"), errcode.UnknownOperation},
		"no idempotency key": {request("POST", deposit, "{}"), errcode.KeyRequired},
		"unknown path":       {request("POST", "/v1/nope", "{}"), errcode.UnknownRoute},
		"wrong method":       {request("DELETE", wire.PathCompletions, ""), errcode.MethodNotAllowed},
		"body too large":     {request("POST", wire.PathCompletions, strings.Repeat("x", bodyLimit+1)), errcode.BodyTooLarge},
		"headers too large":  {request("POST", wire.PathCompletions, good, "X-Long: "+strings.Repeat("x", 2*headerLimit)), errcode.HeaderTooLarge},
		"no HTTP":            {"hello " + callerKey + "\r\n\r\n", errcode.BadRequest},
		"slow headers":       {"POST /v1/completions HTTP/1.1\r\nHost: te", errcode.RequestTimeout},
		"slow body":          {"POST /v1/completions HTTP/1.1\r\nHost: test\r\nContent-Length: 100\r\n\r\n{", errcode.RequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			res, data := r.exchange(t, c.raw)
			requireTyped(t, c.code, res, data)
		})
	}
	require.Empty(t, r.engine.Started())
	for _, secret := range []string{"secret prompt text", callerKey, "stolen-secret-key", adminSecret, peerSecret} {
		require.NotContains(t, r.log.String(), secret)
	}
}

func TestModelsAreListed(t *testing.T) {
	r := startRig(t)
	res, data := r.exchange(t, request("GET", "/v1/models", ""))
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.JSONEq(t, `{"object":"list","data":[{"id":"scribe-pool","object":"model","owned_by":"cornelsaddle"}]}`, string(data))
}

func TestConnectionsAreLimited(t *testing.T) {
	r := startRig(t)
	for range connLimit {
		c := r.dial(t)
		defer func() { _ = c.Close() }()
		// The request's first byte keeps the connection from being idle.
		_, err := io.WriteString(c, "P")
		require.NoError(t, err)
	}
	c := r.dial(t)
	defer func() { _ = c.Close() }()
	res, data := readAnswer(t, c)
	requireTyped(t, errcode.TooManyConnections, res, data)
	require.Equal(t, "1", res.Header.Get("Retry-After"))
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	r := startRig(t)
	c := r.dial(t)
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, request("POST", "/v1/nope", "{}"))
	require.NoError(t, err)
	// The answer, then the end of the connection, long before the deadline.
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(data), errcode.UnknownRoute)
}

func TestAVanishedCallerLeavesNothingBehind(t *testing.T) {
	r := startRig(t)
	body := `{"model":"scribe-pool","prompt":"secret prompt text","max_tokens":20000,"stream":true}`
	c := r.dial(t)
	_, err := io.WriteString(c, request("POST", wire.PathCompletions, body))
	require.NoError(t, err)
	_, err = bufio.NewReader(c).ReadString('{')
	require.NoError(t, err)
	require.Less(t, r.engine.Free(), int64(engineTotal))
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return r.engine.Free() == engineTotal }, waitLimit, 10*time.Millisecond)
	r.node.Drain()
	require.NotContains(t, r.log.String(), "secret prompt text")
}

// TestACallerThatVanishesBeforeTheFirstToken leaves while its prompt, whose
// prefill takes minutes, is computed.
func TestACallerThatVanishesBeforeTheFirstToken(t *testing.T) {
	for name, stream := range map[string]bool{"streamed": true, "whole": false} {
		t.Run(name, func(t *testing.T) {
			model := engineModel()
			model.PrefillRate = 100
			r := startRigWith(t, model)
			body := fmt.Sprintf(`{"model":"scribe-pool","prompt":%q,"max_tokens":4,"stream":%v}`, strings.Repeat("ash ", 12_000), stream)
			c := r.dial(t)
			_, err := io.WriteString(c, request("POST", wire.PathCompletions, body))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return r.engine.Free() < engineTotal }, waitLimit, 10*time.Millisecond)
			require.NoError(t, c.Close())
			require.Eventually(t, func() bool { return r.engine.Free() == engineTotal }, waitLimit, 10*time.Millisecond)
			r.node.Drain()
		})
	}
}

func TestGoodRequestsLogNoPromptAndNoKey(t *testing.T) {
	r := startRig(t)
	good := `{"model":"scribe-pool","prompt":"secret prompt text","max_tokens":12}`
	res, data := r.exchange(t, request("POST", wire.PathCompletions, good))
	require.Equal(t, http.StatusOK, res.StatusCode, string(data))
	var answer wire.Chunk
	require.NoError(t, json.Unmarshal(data, &answer))
	require.Equal(t, engine.AnswerText("secret prompt text", 12), answer.Choices[0].Text)
	// A cut stream makes the failed attempt log too.
	r.engine.SetFaults(wire.EngineFaults{CutAfterTokens: 3})
	_, _ = r.exchange(t, request("POST", wire.PathCompletions, good))
	require.Contains(t, r.log.String(), `"event":301`)
	for _, secret := range []string{"secret prompt text", callerKey, adminSecret, peerSecret, strings.Fields(answer.Choices[0].Text)[0]} {
		require.NotContains(t, r.log.String(), secret)
	}
}
