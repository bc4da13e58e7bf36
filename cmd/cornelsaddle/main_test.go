package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExitCodes(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "invalid.json")
	require.NoError(t, os.WriteFile(invalid, []byte(`{"vm":{}}`), 0o600))
	const example = "../../examples/settings/entry-1.json"
	for name, c := range map[string]struct {
		args []string
		want int
	}{
		"no command":         {nil, exitUsage},
		"unknown command":    {[]string{"fly"}, exitUsage},
		"help":               {[]string{"help"}, exitDone},
		"serve help":         {[]string{"serve", "-h"}, exitDone},
		"demo help":          {[]string{"demo", "-h"}, exitDone},
		"version help":       {[]string{"version", "-h"}, exitDone},
		"version":            {[]string{"version", "-json"}, exitDone},
		"unknown flag":       {[]string{"demo", "-fast"}, exitUsage},
		"unknown deployment": {[]string{"demo", "-deployment", "elsewhere"}, exitUsage},
		"no settings flag":   {[]string{"serve"}, exitUsage},
		"missing file":       {[]string{"serve", "-settings", "no-such-file.json"}, exitFailed},
		"invalid settings":   {[]string{"serve", "-settings", invalid}, exitFailed},
		"check only":         {[]string{"serve", "-check", "-settings", example}, exitDone},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, run(c.args)) })
	}
}
