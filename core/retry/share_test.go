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
