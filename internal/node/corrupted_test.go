package node

import (
	"bufio"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// corruptedRequests is the number of corrupted requests that the test sends.
const corruptedRequests = 300

// corrupt returns a copy of a request with one to three random faults: changed,
// removed or inserted bytes, or a truncation.
func corrupt(rng *rand.Rand, raw []byte) []byte {
	out := append([]byte(nil), raw...)
	for range 1 + rng.IntN(3) {
		i := rng.IntN(len(out))
		switch rng.IntN(4) {
		case 0:
			out[i] = byte(rng.IntN(256))
		case 1:
			out = append(out[:i], out[i+1:]...)
		case 2:
			out = append(out[:i], append([]byte{byte(rng.IntN(256))}, out[i:]...)...)
		default:
			out = out[:i+1]
		}
		if len(out) < 2 {
			return raw[:2]
		}
	}
	return out
}

// TestCorruptedRequestsAreHandled sends requests with random faults from a fixed
// seed: each gets a complete response, a typed error response, or the connection
// is closed. Afterwards no request is in flight and the engine's memory is free.
func TestCorruptedRequestsAreHandled(t *testing.T) {
	f := startFixture(t)
	rng := rand.New(rand.NewPCG(1, 1))
	requests := []string{
		rawRequest("POST", wire.PathCompletions, `{"model":"scribe-pool","prompt":"hello","max_tokens":2}`),
		rawRequest("POST", wire.PathChatCompletions, `{"model":"scribe-pool","messages":[{"role":"user","content":"hi"}],"max_tokens":2,"stream":true}`),
		rawRequest("POST", "/v1/services/ledger-desk/deposit", `{}`, wire.HeaderIdempotencyKey+": k-1"),
	}
	errorResponses := 0
	for range corruptedRequests {
		raw := corrupt(rng, []byte(requests[rng.IntN(len(requests))]))
		if f.getsErrorResponse(t, raw) {
			errorResponses++
		}
	}
	require.Greater(t, errorResponses, corruptedRequests/3)
	require.Eventually(t, func() bool { return f.engine.Free() == engineMemoryTokens }, waitTimeout, 10*time.Millisecond)
	f.node.Drain()
}

// getsErrorResponse sends the raw request and reports whether the response was an
// error response, which must be typed.
func (f *fixture) getsErrorResponse(t *testing.T, raw []byte) bool {
	t.Helper()
	c := f.dialCallers(t)
	defer func() { _ = c.Close() }()
	// The write may fail, since the server may reject the request before all of it
	// was sent.
	_, _ = c.Write(raw)
	_ = c.(*net.TCPConn).CloseWrite()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	data, _ := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if res.StatusCode < http.StatusBadRequest {
		return false
	}
	var failure struct {
		Error struct {
			Code errcode.Code `json:"code"`
			Ran  errcode.Ran  `json:"ran"`
		} `json:"error"`
	}
	require.NoError(t, json.Unmarshal(data, &failure), "request %q: response %q", raw, data)
	require.Contains(t, errcode.Codes(), failure.Error.Code)
	require.Equal(t, errcode.Lookup(failure.Error.Code).Status, res.StatusCode)
	require.NotEmpty(t, failure.Error.Ran)
	return true
}
