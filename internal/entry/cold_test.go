package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/platform"
)

// recordedEndpoints is an endpointSink that keeps the last list.
type recordedEndpoints struct{ list []dispatch.Endpoint }

// SetEndpoints implements endpointSink.
func (r *recordedEndpoints) SetEndpoints(list []dispatch.Endpoint) { r.list = list }

// TestEndpointThatIsColdAgainIsPublished guards against an endpoint that counts as warm although
// its latest row states that it is cold: a row with the content of the last one that the VM got was
// taken for no news, while it tells that the endpoint is cold from now on. The rows between may be
// missing, as a copy is brought up to date with the latest row of each endpoint.
func TestEndpointThatIsColdAgainIsPublished(t *testing.T) {
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	sink := &recordedEndpoints{}
	r := newRegistry(platform.Documents{}, log, sink, time.Second, func(directory.Incarnation) {})
	t.Cleanup(r.stop)
	const coldFor = 30 * time.Millisecond
	row := func(version int64) provider.Row {
		text := fmt.Sprintf(`{"service":"s","address":"10.0.0.5:80","slots":8,"state":"ready","born":7,"cold_left_ms":%d}`, coldFor.Milliseconds())
		return provider.Row{Key: "i-1", Value: []byte(text), Version: version}
	}
	r.Changed([]provider.Row{row(1)})
	time.Sleep(2 * coldFor)
	again := time.Now()
	r.Changed([]provider.Row{row(2)})
	require.Len(t, sink.list, 1)
	require.False(t, sink.list[0].ColdUntil.Before(again.Add(coldFor)))
}
