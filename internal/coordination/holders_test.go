package coordination

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMemberThatBecomesKnownHasNotRestarted checks that the jobs of a VM, which is first
// known by the store's list alone, stay when its incarnation becomes known.
func TestMemberThatBecomesKnownHasNotRestarted(t *testing.T) {
	h := newHolders("a")
	h.set([]Member{{VM: "b"}, {VM: "c"}})
	require.Empty(t, h.set([]Member{{VM: "b", Incarnation: 5}, {VM: "c"}}))
	require.Equal(t, []string{"b"}, h.set([]Member{{VM: "b", Incarnation: 6}, {VM: "c"}}))
	require.Equal(t, []string{"c"}, h.set([]Member{{VM: "b", Incarnation: 6}}))
}
