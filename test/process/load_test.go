package process_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
)

// runLoad sends load to all VMs with cornelsaddlectl load, requires every request
// to complete, and renders the result as an HTML report.
func (s *system) runLoad(t *testing.T) {
	dir := t.TempDir()
	mix := loadgen.Mix{
		Name:          "process test",
		Seed:          1,
		DurationMs:    1_000,
		MaxRequests:   60,
		Organisations: []loadgen.Organisation{{Name: "framers", Key: callerKey, Weight: 1}},
		Prompts: []loadgen.Prompts{
			{Class: "short", Model: "scribe-pool", MinTokens: 100, MaxTokens: 2_000, RatePerSecond: 40, SharedPrefix: 0.5, TimeoutMs: 20_000},
			{Class: "whole", Model: "scribe-pool", MinTokens: 100, MaxTokens: 2_000, RatePerSecond: 10, Unstreamed: true, TimeoutMs: 20_000},
		},
		Calls: []loadgen.Calls{
			{Service: "ledger-desk", Operation: "deposit", RatePerSecond: 10, Keyed: true, Repeat: 1, TimeoutMs: 5_000},
		},
	}
	data, err := json.Marshal(mix)
	require.NoError(t, err)
	mixFile := filepath.Join(dir, "mix.json")
	require.NoError(t, os.WriteFile(mixFile, data, 0o600))
	result := filepath.Join(dir, "result.json")
	s.runCtl(t, "load", "-mix", mixFile, "-callers", strings.Join(s.callers, ","), "-verify", "-quiet", "-out", result)
	r, err := loadgen.ReadResult(result)
	require.NoError(t, err)
	require.Positive(t, r.Totals.Requests)
	require.Equal(t, r.Totals.Requests, r.Totals.Complete, "%+v", r.Totals)

	page := filepath.Join(dir, "page.html")
	s.runCtl(t, "report", "-out", page, result)
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(html), "<svg")
}

// runCtl runs cornelsaddlectl and requires exit status 0.
func (s *system) runCtl(t *testing.T, args ...string) {
	t.Helper()
	out, err := exec.Command(s.ctl, args...).CombinedOutput()
	require.NoError(t, err, string(out))
}
