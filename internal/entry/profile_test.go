package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/gateway/config"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// TestProfilesAreOffUnlessSet checks that the metrics address serves profiles only where
// the settings have them on, and the metrics always.
func TestProfilesAreOffUnlessSet(t *testing.T) {
	for _, on := range []bool{false, true} {
		v := &VM{settings: config.Settings{Profiles: on}, components: components{Metrics: metrics.New()}}
		body := func(path string) string {
			w := httptest.NewRecorder()
			v.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
			return w.Body.String()
		}
		require.Equal(t, on, strings.Contains(body(profilePath+"heap?debug=1"), "heap profile"))
		require.Contains(t, body("/metrics"), "cornelsaddle_failures_total")
	}
}
