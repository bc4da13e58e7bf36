package node

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// getAdmin sends a GET request for a path of the admin listener and returns the
// status code and the body.
func (f *fixture) getAdmin(t *testing.T, path, token string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+f.node.AdminAddr()+path, nil)
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
	f := startFixture(t)
	res, _ := f.sendRaw(t, rawRequest("POST", wire.PathCompletions, `{"model":"scribe-pool","prompt":"hello","max_tokens":4}`))
	require.Equal(t, http.StatusOK, res.StatusCode)
	_, _ = f.sendRaw(t, rawRequest("POST", wire.PathCompletions, `{"model":"nope"}`))

	status, text := f.getAdmin(t, "/metrics", adminToken)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, `cornelsaddle_first_token_seconds_count{organisation="framers",class="short"} 1`)
	require.Contains(t, text, `cornelsaddle_between_tokens_seconds_count{organisation="framers",class="short"} 3`)
	require.Contains(t, text, `cornelsaddle_queueing_seconds_count{organisation="framers",class="short"} 1`)
	require.Contains(t, text, `cornelsaddle_failures_total{code="unknown_model"} 1`)

	_, text = f.getAdmin(t, "/metrics?by=class", adminToken)
	require.Contains(t, text, `cornelsaddle_first_token_seconds_count{class="short"} 1`)

	status, text = f.getAdmin(t, "/metrics?format=json", adminToken)
	require.Equal(t, http.StatusOK, status)
	require.True(t, json.Valid([]byte(text)))
	require.Contains(t, text, `"first_token_us.framers.short":{`)
}

func TestAdminPathsRequireToken(t *testing.T) {
	f := startFixture(t)
	for _, path := range []string{"/metrics", "/status"} {
		status, text := f.getAdmin(t, path, "wrong")
		require.Equal(t, http.StatusUnauthorized, status)
		require.Contains(t, text, `"code":"unauthorized"`)
	}
	status, text := f.getAdmin(t, "/nope", adminToken)
	require.Equal(t, http.StatusNotFound, status)
	require.Contains(t, text, `"code":"unknown_route"`)
	status, _ = f.getAdmin(t, "/healthz", "")
	require.Equal(t, http.StatusOK, status)
}
