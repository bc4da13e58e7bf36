package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestGatewayFailsOnInvalidSettings checks the exit code for a settings file that
// is missing, malformed or lacks a required field.
func TestGatewayFailsOnInvalidSettings(t *testing.T) {
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

// TestModificationTime checks that a missing file has the zero time and an
// unchanged file the same time on each call.
func TestModificationTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.json")
	require.True(t, modificationTime(path).IsZero())
	require.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
	require.False(t, modificationTime(path).IsZero())
	require.Equal(t, modificationTime(path), modificationTime(path))
}
