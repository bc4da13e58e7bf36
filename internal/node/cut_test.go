package node

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/event"
)

// TestKillCountsTheRequestsThatItCuts checks the number that the event at the end of a VM
// reports.
func TestKillCountsTheRequestsThatItCuts(t *testing.T) {
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	l := &lifecycle{log: log, inFlightCount: func() int { return 3 }}
	require.NoError(t, l.start())
	require.Zero(t, l.cut())
	l.fire(evKill)
	<-l.done
	require.Equal(t, 3, l.cut())
}
