package dispatch

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestIdleEnginesTakeLatePrompts sends four long prompts at once to two engines. While an
// engine answers the first one the others become late. All engines were then left idle for
// seconds, for prompts that could still be on time and did not come, and late ones that waited
// were refused in the end.
func TestIdleEnginesTakeLatePrompts(t *testing.T) {
	const prompts, apartMs, longestIdleMs = 4, 250, 100
	long := simKinds()[2]
	s := newSim(1, DefaultConfig(), 2)
	for i := range prompts {
		j := &simJob{kind: &long, id: string(rune('a' + i)), arrivedMs: float64(i * apartMs), prompt: 300000, events: 17, valueFactor: 1}
		s.pending = append(s.pending, j)
		s.byID[j.id] = j
	}
	s.jobs = append(s.jobs, s.pending...)
	s.run()
	served := slices.DeleteFunc(s.jobs, func(j *simJob) bool { return !j.done })
	require.GreaterOrEqual(t, len(served), prompts-1)
	slices.SortFunc(served, func(a, b *simJob) int { return cmp.Compare(a.placedMs, b.placedMs) })
	busyUntilMs := 0.0
	for _, j := range served {
		require.LessOrEqual(t, j.placedMs-busyUntilMs, float64(longestIdleMs), j.id)
		busyUntilMs = max(busyUntilMs, j.endMs)
	}
}
