package docpages

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const docsDir = "../../docs"

func TestPagesAreCurrent(t *testing.T) {
	pages, err := Pages()
	require.NoError(t, err)
	known := make(map[string]bool)
	for _, p := range pages {
		known[p.Path] = true
		data, err := os.ReadFile(filepath.Join(docsDir, p.Path))
		require.NoError(t, err)
		require.Equal(t, p.Text, string(data), "docs/%s is out of date; run: go run ./cmd/cornelsaddlectl docs docs", p.Path)
	}
	charts, err := os.ReadDir(filepath.Join(docsDir, "charts"))
	require.NoError(t, err)
	for _, f := range charts {
		require.True(t, known["charts/"+f.Name()], "docs/charts/%s belongs to no chart", f.Name())
	}
}

func TestWriteWritesEveryPage(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, Write(dir))
	pages, err := Pages()
	require.NoError(t, err)
	for _, p := range pages {
		data, err := os.ReadFile(filepath.Join(dir, p.Path))
		require.NoError(t, err)
		require.Equal(t, p.Text, string(data))
	}
}
