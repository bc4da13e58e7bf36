package confapply

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/configuration"
)

// TestExamplesAreValid checks that the example folders are valid and that their
// numbers of organisations, endpoints and failure domains are those of the
// deployments that they represent.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"kivukoni", "vltavske"} {
		t.Run(name, func(t *testing.T) {
			doc := example(t, name)
			require.Len(t, doc.Organisations, 10)
			engines, plain := 0, 0
			rates, memories, domains := make(map[float64]bool), make(map[int64]bool), make(map[string]bool)
			for _, e := range doc.Endpoints {
				domains[e.FailureDomain] = true
				if doc.Services[e.Service].Kind == configuration.KindPlain {
					plain++
					continue
				}
				engines++
				rates[e.PrefillRate] = true
				memories[e.MemoryTokens] = true
			}
			require.Equal(t, 20, engines)
			require.Equal(t, 3, plain)
			require.Len(t, domains, 3)
			require.GreaterOrEqual(t, len(rates), 3)
			require.GreaterOrEqual(t, len(memories), 3)
		})
	}
	example(t, "quickstart")
}

func example(t *testing.T, name string) *configuration.Document {
	t.Helper()
	files, err := ReadFolder("../../examples/" + name)
	require.NoError(t, err)
	_, doc, err := configuration.Build(files)
	require.NoError(t, err)
	return doc
}
