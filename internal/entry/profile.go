package entry

import (
	"context"
	"net/http"
	"net/http/pprof"
	runtimepprof "runtime/pprof"

	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

// profilePath is the path under which the metrics address serves profiles.
const profilePath = "/debug/pprof/"

// Causes of what goroutines do, beside the methods of the calls between VMs and
// metrics.CauseRequest.
const (
	causeMembership metrics.Cause = "member"
	causeMirror     metrics.Cause = "mirror"
)

// withCause runs the function, and the goroutines that it starts, with the label of a
// cause.
func withCause(cause metrics.Cause, f func()) {
	runtimepprof.Do(context.Background(), runtimepprof.Labels(metrics.ProfileLabel, string(cause)), func(context.Context) { f() })
}

// labelRequests labels the goroutines that serve callers' requests.
func labelRequests(next http.Handler) http.Handler {
	labels := runtimepprof.WithLabels(context.Background(), runtimepprof.Labels(metrics.ProfileLabel, string(metrics.CauseRequest)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runtimepprof.SetGoroutineLabels(labels)
		next.ServeHTTP(w, r)
	})
}

// metricsHandler serves the metrics and the verdicts, and profiles of the process if the settings have
// them on.
func (v *VM) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", v.handleMetrics)
	mux.HandleFunc(withheldPath, v.handleWithheld)
	if v.settings.Profiles {
		mux.HandleFunc(profilePath, pprof.Index)
		mux.HandleFunc(profilePath+"profile", pprof.Profile)
		mux.HandleFunc(profilePath+"trace", pprof.Trace)
	}
	return mux
}
