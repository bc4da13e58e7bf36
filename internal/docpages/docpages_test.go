package docpages

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const docsDir = "../../docs"

// TestPagesAreUpToDate fails when a committed page differs from the generated
// one, or when a chart page has no chart.
func TestPagesAreUpToDate(t *testing.T) {
	pages, err := Pages()
	require.NoError(t, err)
	generated := make(map[string]bool)
	for _, p := range pages {
		generated[p.Path] = true
		data, err := os.ReadFile(filepath.Join(docsDir, p.Path))
		require.NoError(t, err)
		require.Equal(t, p.Text, string(data), "docs/%s is out of date; run: go run ./cmd/cornelsaddlectl docs docs", p.Path)
	}
	charts, err := os.ReadDir(filepath.Join(docsDir, "charts"))
	require.NoError(t, err)
	for _, f := range charts {
		require.True(t, generated["charts/"+f.Name()], "docs/charts/%s has no state chart", f.Name())
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
