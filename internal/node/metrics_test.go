package node

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// admin reads a path of the operators' listener.
func (r *rig) admin(t *testing.T, path, token string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.node.Admin()+path, nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer http.DefaultClient.CloseIdleConnections()
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res.StatusCode, string(data)
}

func TestMetricsAreServedInBothFormats(t *testing.T) {
	r := startRig(t)
	res, _ := r.exchange(t, request("POST", wire.PathCompletions, `{"model":"scribe-pool","prompt":"hello","max_tokens":4}`))
	require.Equal(t, http.StatusOK, res.StatusCode)
	_, _ = r.exchange(t, request("POST", wire.PathCompletions, `{"model":"nope"}`))

	status, text := r.admin(t, "/metrics", adminSecret)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, `cornelsaddle_first_token_seconds_count{organisation="framers",class="short"} 1`)
	require.Contains(t, text, `cornelsaddle_between_tokens_seconds_count{organisation="framers",class="short"} 3`)
	require.Contains(t, text, `cornelsaddle_queueing_seconds_count{organisation="framers",class="short"} 1`)
	require.Contains(t, text, `cornelsaddle_failures_total{code="unknown_model"} 1`)

	_, text = r.admin(t, "/metrics?by=class", adminSecret)
	require.Contains(t, text, `cornelsaddle_first_token_seconds_count{class="short"} 1`)

	status, text = r.admin(t, "/metrics?format=json", adminSecret)
	require.Equal(t, http.StatusOK, status)
	require.True(t, json.Valid([]byte(text)))
	require.Contains(t, text, `"first_token_us.framers.short":{`)
}

func TestOperatorsPagesNeedTheToken(t *testing.T) {
	r := startRig(t)
	for _, path := range []string{"/metrics", "/status"} {
		status, text := r.admin(t, path, "wrong")
		require.Equal(t, http.StatusUnauthorized, status)
		require.Contains(t, text, `"code":"unauthorized"`)
	}
	status, text := r.admin(t, "/nope", adminSecret)
	require.Equal(t, http.StatusNotFound, status)
	require.Contains(t, text, `"code":"unknown_route"`)
	status, _ = r.admin(t, "/healthz", "")
	require.Equal(t, http.StatusOK, status)
}
