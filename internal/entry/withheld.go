package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"cornelsaddle.example/cornelsaddle/core/quarantine"
)

// withheldPath is the path, on the metrics address, at which operators see and take back
// verdicts on requests and parts of prompts.
const withheldPath = "/withheld"

// withheldEntry is one verdict in the response to a GET request. Part or Digest is set.
type withheldEntry struct {
	Service string    `json:"service"`
	Part    string    `json:"part,omitempty"`
	Digest  string    `json:"digest,omitempty"`
	Verdict int       `json:"verdict"`
	Until   time.Time `json:"until"`
}

// handleWithheld lists the verdicts in response to GET, and takes one back in response to
// DELETE, whose query names the service and the part or digest. It answers 404 if there is no
// such verdict.
func (v *VM) handleWithheld(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		verdicts := v.components.Local.Verdicts()
		list := make([]withheldEntry, 0, len(verdicts))
		for _, verdict := range verdicts {
			list = append(list, withheldEntry{
				Service: verdict.Service, Part: verdict.Subject.Part, Digest: verdict.Subject.Digest,
				Verdict: verdict.Count, Until: verdict.Until,
			})
		}
		w.Header().Set("Content-Type", "application/json")
		// The operator is gone if this fails.
		_ = json.NewEncoder(w).Encode(list)
	case http.MethodDelete:
		query := r.URL.Query()
		subject := quarantine.Subject{Part: query.Get("part"), Digest: query.Get("digest")}
		if !v.components.Coordinator.Release(query.Get("service"), subject) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
