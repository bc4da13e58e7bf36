package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The allowances of all VMs must add up to no more than the bound for every
// fleet size, including newly started VMs that each count only themselves.
func TestSharesStayWithinTheBounds(t *testing.T) {
	bounds := Bounds{Ratio: 0.2, Allowance: 100}
	for vms := 1; vms <= 450; vms++ {
		sum := bounds.Share(vms, time.Minute).Allowance * float64(vms)
		require.LessOrEqual(t, sum, bounds.Allowance)
		require.LessOrEqual(t, bounds.Share(vms, time.Minute).Ratio, bounds.Ratio)
	}
	for _, vms := range []int{1, 5, 32, 64} {
		require.LessOrEqual(t, bounds.Share(1, time.Second).Allowance*float64(vms), bounds.Allowance)
	}
}

// TestSharesOfSeparatedVMsStayWithinTheBounds cuts all VMs off from each other. Each then sees
// itself only, and took a share that is right for a few VMs: together they exceeded the bound.
func TestSharesOfSeparatedVMsStayWithinTheBounds(t *testing.T) {
	const vms = 32
	bounds := Bounds{Ratio: 0.2, Allowance: 240}
	now := time.Unix(1000, 0)
	sum := func(at time.Time, seen int) float64 {
		total := 0.0
		for range vms {
			var p Population
			require.Equal(t, vms, p.Observe(now, vms))
			total += bounds.Share(p.Observe(at, seen), time.Minute).Allowance
		}
		return total
	}
	require.LessOrEqual(t, sum(now.Add(time.Second), 1), bounds.Allowance)
	require.LessOrEqual(t, sum(now.Add(5*time.Minute), vms/2), bounds.Allowance)
}

// TestVMsThatAreGoneAreForgotten checks that the VMs that stay get the shares of the others
// after a while.
func TestVMsThatAreGoneAreForgotten(t *testing.T) {
	var p Population
	now := time.Unix(1000, 0)
	require.Equal(t, 32, p.Observe(now, 32))
	require.Equal(t, 32, p.Observe(now.Add(forgetTime), 5))
	require.Equal(t, 5, p.Observe(now.Add(forgetTime+time.Second), 5))
	require.Equal(t, 6, p.Observe(now.Add(forgetTime+2*time.Second), 6))
}

// TestMaxAttemptsIsWhatAWindowGrants guards against a bound that differs from the number of
// retries that a window with the same bounds lets its only request make.
func TestMaxAttemptsIsWhatAWindowGrants(t *testing.T) {
	for _, b := range []Bounds{{}, {0.2, 0}, {0.5, 0.5}, {0.2, 3}, {1, 2.5}} {
		w := NewWindow(time.Second, b.Ratio, b.Allowance)
		now := time.Now()
		w.RecordRequest(now)
		attempts := 1
		for w.Take(now) {
			attempts++
		}
		require.Equal(t, attempts, b.MaxAttempts(), "%+v", b)
	}
	require.Equal(t, 1, Bounds{Allowance: -5}.MaxAttempts())
	require.Positive(t, Bounds{Allowance: 1e300}.MaxAttempts())
}
