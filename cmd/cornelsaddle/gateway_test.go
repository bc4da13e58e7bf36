package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestGatewayEndsOnBadSettings ends with an exit code for a file that is
// missing, broken or lacks a field.
func TestGatewayEndsOnBadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.json")
	require.Equal(t, exitFailed, run([]string{"gateway", "-settings", path}))
	for _, text := range []string{"", "{", `{"node":"n"}`, "[]"} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.Equal(t, exitFailed, run([]string{"gateway", "-settings", path}), text)
	}
}

func TestGatewayUsage(t *testing.T) {
	require.Equal(t, exitUsage, run([]string{"gateway", "-none"}))
	require.Equal(t, exitDone, run([]string{"gateway", "-h"}))
}

// TestSettingsFileIsWatched tells a changed file from an unchanged one.
func TestSettingsFileIsWatched(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.json")
	require.True(t, modified(path).IsZero())
	require.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
	require.False(t, modified(path).IsZero())
	require.Equal(t, modified(path), modified(path))
}
