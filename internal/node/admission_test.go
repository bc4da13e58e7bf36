package node

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// TestUnreachableDeadlineIsRefusedImmediately sends a request with a timeout of
// 200 ms whose prefill takes minutes. It must be refused before the engine starts
// on it, with the time after which to retry.
func TestUnreachableDeadlineIsRefusedImmediately(t *testing.T) {
	model := defaultModel()
	model.PrefillRate = 100
	f := startFixtureWithModel(t, model)
	body := fmt.Sprintf(`{"model":"scribe-pool","prompt":%q,"max_tokens":4,"stream":true}`, strings.Repeat("ash ", 12_000))
	res, data := f.sendRaw(t, rawRequest("POST", wire.PathCompletions, body, wire.HeaderTimeoutMs+": 200", "Connection: close"))
	requireErrorResponse(t, errcode.DeadlineUnreachable, res, data)
	require.Equal(t, string(errcode.RanNo), res.Header.Get(wire.HeaderRan))
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	require.NoError(t, err)
	require.Positive(t, seconds)
	require.Empty(t, f.engine.Started())
}
