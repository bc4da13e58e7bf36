package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/platform"
)

// TestOrderNeedsItsWeights sends orders to an engine that loads its weights from the
// platform's rate-limited store: above the rate they are refused and change nothing.
func TestOrderNeedsItsWeights(t *testing.T) {
	store, err := platform.Start(platform.Config{Address: "127.0.0.1:0", WeightLoadsPerSecond: 1e-3})
	require.NoError(t, err)
	t.Cleanup(store.Close)
	e, err := Start(Config{Address: "127.0.0.1:0", WeightStore: store.Addr(), Model: ModelConfig{MemoryTokens: 1000, PrefillRate: 1e6, DecodeStep: time.Millisecond, PrefillChunkTokens: 100}})
	require.NoError(t, err)
	t.Cleanup(e.Close)
	send := func(version string) int {
		body, err := json.Marshal(wire.Order{Fencing: 1, Model: "m", Version: version})
		require.NoError(t, err)
		resp, err := http.Post("http://"+e.Addr()+wire.PathOrders, "application/json", bytes.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusNoContent, send("1"))
	require.Equal(t, http.StatusTooManyRequests, send("2"))
	require.Len(t, e.Orders(), 1)
}
