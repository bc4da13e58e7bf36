package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
)

func TestExitCodes(t *testing.T) {
	require.Equal(t, exitUsage, run(nil))
	require.Equal(t, exitUsage, run([]string{"fly"}))
	require.Equal(t, exitDone, run([]string{"-h"}))
	for _, c := range commands() {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, exitDone, c.run([]string{"-h"}))
			require.Equal(t, exitUsage, c.run([]string{"-no-such-flag"}))
		})
	}
}

func TestLoadRejectsInvalidArguments(t *testing.T) {
	mix := filepath.Join(t.TempDir(), "mix.json")
	require.NoError(t, os.WriteFile(mix, []byte(`{"colour":1}`), resultMode))
	require.Equal(t, exitUsage, run([]string{"load", "-mix", mix, "-callers", "localhost:80"}))
	require.Equal(t, exitUsage, run([]string{"load", "-callers", "127.0.0.1:1"}))
	require.Equal(t, exitFailed, run([]string{"load", "-mix", mix, "-callers", "127.0.0.1:1"}))
}

func TestExampleMixIsValid(t *testing.T) {
	_, err := loadgen.ReadMix("../../examples/load/demo-kivukoni.json")
	require.NoError(t, err)
}

func TestReportWritesPage(t *testing.T) {
	dir := t.TempDir()
	result := filepath.Join(dir, "run.json")
	data, err := json.Marshal(loadgen.Result{Name: "mix", Classes: []loadgen.Group{{Class: "short"}}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(result, data, resultMode))
	page := filepath.Join(dir, "run.html")
	require.Equal(t, exitDone, run([]string{"report", "-json", "-out", page, "now=" + result}))
	require.FileExists(t, page)
	require.Equal(t, exitUsage, run([]string{"report", result}))
	require.Equal(t, exitFailed, run([]string{"report", "-out", page, filepath.Join(dir, "none.json")}))
}

func TestChart(t *testing.T) {
	require.Equal(t, exitDone, run([]string{"chart", "request"}))
	require.Equal(t, exitDone, run([]string{"chart", "-format", "dot", "request"}))
	require.Equal(t, exitUsage, run([]string{"chart", "-format", "png", "request"}))
	require.Equal(t, exitFailed, run([]string{"chart", "no-such-chart"}))
}
