package entry

import (
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

// lookingSink is a sink that looks endpoints up while it receives them, as the decisions on
// requests that wait may lead to that.
type lookingSink struct {
	registry *registry
	// found counts the endpoints that were received and available.
	found int
}

func (s *lookingSink) SetEndpoints(list []dispatch.Endpoint) {
	for _, e := range list {
		if _, availability := s.registry.Lookup(e.ID); availability == directory.Available {
			s.found++
		}
	}
	s.registry.usable()
	s.registry.ready()
}

// TestSinkMayUseTheRegistry guards against a VM that hangs for good: what the sink does with the
// endpoints may lead back to the registry, in the goroutine that publishes them.
func TestSinkMayUseTheRegistry(t *testing.T) {
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	sink := &lookingSink{}
	r := newRegistry(platform.Documents{}, log, sink, time.Second, func(directory.Incarnation) {})
	sink.registry = r
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Changed([]provider.Row{incarnationRow(7, 1)})
		r.setEvacuated("elsewhere", true)
		r.expire()
		r.markLeaving(directory.Incarnation{ID: "i-1", Started: 7}, sourceResponse)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the registry hangs while it publishes endpoints")
	}
	r.stop()
	require.Equal(t, 3, sink.found, "the endpoint is received with each change until it leaves")
}
