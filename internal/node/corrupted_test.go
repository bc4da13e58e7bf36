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

// mangledRequests is the number of requests that the test sends.
const mangledRequests = 300

// mangle changes a few bytes of a request, or cuts it.
func mangle(rng *rand.Rand, raw []byte) []byte {
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

// TestMangledRequestsHarmNothing sends requests with random faults: each gets a
// whole answer, a typed failure or the end of the connection; afterwards the VM
// has nothing in flight and the engine its memory.
func TestMangledRequestsHarmNothing(t *testing.T) {
	r := startRig(t)
	rng := rand.New(rand.NewPCG(1, 1))
	bodies := []string{
		request("POST", wire.PathCompletions, `{"model":"scribe-pool","prompt":"hello","max_tokens":2}`),
		request("POST", wire.PathChatCompletions, `{"model":"scribe-pool","messages":[{"role":"user","content":"hi"}],"max_tokens":2,"stream":true}`),
		request("POST", "/v1/services/ledger-desk/deposit", `{}`, wire.HeaderIdempotencyKey+": k-1"),
	}
	typed := 0
	for range mangledRequests {
		raw := mangle(rng, []byte(bodies[rng.IntN(len(bodies))]))
		if r.send(t, raw) {
			typed++
		}
	}
	require.Greater(t, typed, mangledRequests/3)
	require.Eventually(t, func() bool { return r.engine.Free() == engineTotal }, waitLimit, 10*time.Millisecond)
	r.node.Drain()
}

// send reports whether the raw request got a typed failure.
func (r *rig) send(t *testing.T, raw []byte) bool {
	t.Helper()
	c := r.dial(t)
	defer func() { _ = c.Close() }()
	// The server may have refused the request before all of it was sent.
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
	require.NoError(t, json.Unmarshal(data, &failure), "%q answered with %q", raw, data)
	require.Contains(t, errcode.Codes(), failure.Error.Code)
	require.Equal(t, errcode.Lookup(failure.Error.Code).Status, res.StatusCode)
	require.NotEmpty(t, failure.Error.Ran)
	return true
}
