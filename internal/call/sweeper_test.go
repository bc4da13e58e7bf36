package call

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/service"
)

// alwaysHeld is a Leases that holds every lease.
type alwaysHeld struct{}

func (alwaysHeld) Use(string, time.Duration) (int64, func(), bool) { return 1, func() {}, true }

// TestSweepRemovesExpiredRows checks that expired rows and their objects are
// removed, but not by a VM whose clock is ahead while rows of another VM show a
// start time before the expiry.
func TestSweepRemovesExpiredRows(t *testing.T) {
	run := newTestRun(t, 2)
	run.service.SetFaults(service.Faults{AnswerBytes: 2 * maxInlineBytes})
	for i, vm := range run.vms {
		_, err := vm.Once(run.request("r", []string{"k-0", "k-1"}[i], "100"))
		require.NoError(t, err)
	}
	scan := func() []wire.Row {
		page, err := run.vms[0].store.Scan(wire.Scan{Prefix: calls.KeyPrefix, Limit: pageRows})
		require.NoError(t, err)
		return page.Rows
	}
	rows := scan()
	require.Len(t, rows, 2)
	ahead := time.Now().Add(48 * time.Hour)
	s := NewSweeper(run.vms[0], alwaysHeld{})
	s.sweep.Observe(rows)
	require.Empty(t, s.sweep.Expired(rows, ahead))
	alone := calls.Sweep{VM: "entry-0"}
	expired := alone.Expired(rows, ahead)
	require.Len(t, expired, 2)
	n, err := s.remove(expired)
	require.NoError(t, err)
	require.Equal(t, 2, n)
	require.Empty(t, scan())
	_, err = run.vms[0].store.GetObject(expired[0].Object)
	require.Error(t, err)
	require.NoError(t, s.sweepOnce())
}
