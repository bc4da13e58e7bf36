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

// TestWhatCannotBeServedInTimeIsRefusedAtOnce asks an engine whose prefill takes
// minutes for an answer within a fifth of a second.
func TestWhatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	model := engineModel()
	model.PrefillRate = 100
	r := startRigWith(t, model)
	body := fmt.Sprintf(`{"model":"scribe-pool","prompt":%q,"max_tokens":4,"stream":true}`, strings.Repeat("ash ", 12_000))
	res, data := r.exchange(t, request("POST", wire.PathCompletions, body, wire.HeaderTimeoutMs+": 200", "Connection: close"))
	requireTyped(t, errcode.DeadlineUnreachable, res, data)
	require.Equal(t, string(errcode.RanNo), res.Header.Get(wire.HeaderRan))
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	require.NoError(t, err)
	require.Positive(t, seconds)
	require.Empty(t, r.engine.Started())
}
