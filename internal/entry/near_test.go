package entry

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/platform"
)

// TestDispatcherKnowsTheDomainsOfEndpoints guards against endpoints that all count as in another failure
// domain, because the dispatcher does not get what their rows state.
func TestDispatcherKnowsTheDomainsOfEndpoints(t *testing.T) {
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	sink := &recordedEndpoints{}
	r := newRegistry(platform.Documents{}, log, sink, time.Second, func(directory.Incarnation) {})
	t.Cleanup(r.stop)
	text := `{"service":"s","address":"10.0.0.5:80","zone":"x","slots":8,"state":"ready"}`
	r.Changed([]provider.Row{{Key: "i-1", Value: []byte(text), Version: 1}})
	require.Len(t, sink.list, 1)
	require.Equal(t, "x", sink.list[0].Domain)
}
