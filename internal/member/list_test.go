package member

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestListReadRateIsBounded computes the reads per second of all VMs together, for the
// mean interval between the reads of one.
func TestListReadRateIsBounded(t *testing.T) {
	for _, vms := range []int{1, 4, 64, 300, 450, 5000} {
		const steps = 1000
		total := 0.0
		for i := range steps {
			total += listInterval(vms, (float64(i)+0.5)/steps).Seconds()
		}
		require.LessOrEqual(t, float64(vms)*steps/total, listReadsPerSecond*1.001, "%d", vms)
	}
}
