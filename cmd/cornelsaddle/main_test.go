package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.json")
	require.NoError(t, os.WriteFile(broken, []byte(`{"vm":{}}`), 0o600))
	const example = "../../examples/settings/entry-1.json"
	for name, c := range map[string]struct {
		args []string
		want int
	}{
		"nothing":            {nil, exitUsage},
		"unknown command":    {[]string{"fly"}, exitUsage},
		"help":               {[]string{"help"}, exitDone},
		"serve help":         {[]string{"serve", "-h"}, exitDone},
		"demo help":          {[]string{"demo", "-h"}, exitDone},
		"version help":       {[]string{"version", "-h"}, exitDone},
		"version":            {[]string{"version", "-json"}, exitDone},
		"unknown flag":       {[]string{"demo", "-fast"}, exitUsage},
		"unknown deployment": {[]string{"demo", "-deployment", "elsewhere"}, exitUsage},
		"no settings":        {[]string{"serve"}, exitUsage},
		"no such file":       {[]string{"serve", "-settings", "no-such-file.json"}, exitFailed},
		"broken settings":    {[]string{"serve", "-settings", broken}, exitFailed},
		"checked settings":   {[]string{"serve", "-check", "-settings", example}, exitDone},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, run(c.args)) })
	}
}
