package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSharesStayWithinTheBounds adds the shares of all VMs up, of fleets of any
// size, also where each VM knows only itself.
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
