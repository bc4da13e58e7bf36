package experiment

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// decision is the placement of a prompt.
type decision struct {
	engine   int
	priority wire.Priority
}

// policy makes the decisions of one VM and processes the events that they are
// based on. Candidates do not include engines that are down or too small.
type policy interface {
	// admit decides whether to admit a prompt; waiting is the number of prompt
	// tokens of low priority that wait at the VMs.
	admit(now time.Time, j *job, candidates []int, waiting int64) bool
	// place chooses an engine.
	place(now time.Time, j *job, candidates []int) decision
	// rankGroup orders the candidates by suitability for the group of a prompt
	// that is too large for any single engine; the first is the group's lead.
	rankGroup(now time.Time, j *job, candidates []int) []int
	// headroom is the share of an engine's memory that is kept free of
	// low-priority prompts, which wait at their VM if there is no room. Zero
	// disables waiting.
	headroom() float64
	// heldMemory is the estimated memory in use at the engine, in tokens.
	heldMemory(now time.Time, engine int) int64
	// groupShareLimit is the largest share of the fleet's memory that groups
	// may hold together. A group that is alone is not limited.
	groupShareLimit() float64
	// recordReserved records the memory that a group reserved at one engine, in
	// tokens.
	recordReserved(now time.Time, j *job, engine int, tokens int64)
	recordSent(now time.Time, j *job, d decision)
	recordFirstToken(now time.Time, j *job)
	// recordEnd records the end of an attempt, whatever its outcome.
	recordEnd(now time.Time, j *job)
	applyReport(now time.Time, engine int, r wire.LoadReport)
	applyCacheEvents(now time.Time, engine int, e wire.CacheEvents)
	lastCacheSequence(engine int) int64
	// takeNotices returns and clears the records to send to peers immediately.
	takeNotices() []sendRecord
	// takeDigest returns and clears the other records since the last call.
	// applyPeerSends processes the records of a peer.
	takeDigest() []sendRecord
	applyPeerSends(d []sendRecord)
}

// sendRecord is the prefill that a VM sent to an engine, and the change in the
// memory that the VM holds there, both in tokens.
type sendRecord struct {
	engine   int
	at       time.Time
	work     int64
	need     int64
	priority wire.Priority
}

// baselinePolicy is embedded in the baselines. It admits all prompts and
// ignores all events.
type baselinePolicy struct{}

func (baselinePolicy) admit(time.Time, *job, []int, int64) bool          { return true }
func (baselinePolicy) headroom() float64                                 { return 0 }
func (baselinePolicy) heldMemory(time.Time, int) int64                   { return 0 }
func (baselinePolicy) groupShareLimit() float64                          { return 1 }
func (baselinePolicy) recordReserved(time.Time, *job, int, int64)        {}
func (baselinePolicy) recordSent(time.Time, *job, decision)              {}
func (baselinePolicy) recordFirstToken(time.Time, *job)                  {}
func (baselinePolicy) recordEnd(time.Time, *job)                         {}
func (baselinePolicy) applyReport(time.Time, int, wire.LoadReport)       {}
func (baselinePolicy) applyCacheEvents(time.Time, int, wire.CacheEvents) {}
func (baselinePolicy) lastCacheSequence(int) int64                       { return 0 }
func (baselinePolicy) takeNotices() []sendRecord                         { return nil }
func (baselinePolicy) takeDigest() []sendRecord                          { return nil }
func (baselinePolicy) applyPeerSends([]sendRecord)                       {}
func (baselinePolicy) decide(j *job, engine int) decision {
	return decision{engine: engine, priority: j.class.Priority()}
}
func rotate(candidates []int, first int) []int {
	return append(append([]int{}, candidates[first:]...), candidates[:first]...)
}

// roundRobin cycles through the engines.
type roundRobin struct {
	baselinePolicy
	next int
}

func (r *roundRobin) place(_ time.Time, j *job, candidates []int) decision {
	r.next++
	return r.decide(j, candidates[r.next%len(candidates)])
}

func (r *roundRobin) rankGroup(_ time.Time, _ *job, candidates []int) []int {
	r.next++
	return rotate(candidates, r.next%len(candidates))
}

// random chooses engines uniformly at random.
type random struct {
	baselinePolicy
	rng *rand.Rand
}

func (r *random) place(_ time.Time, j *job, candidates []int) decision {
	return r.decide(j, candidates[r.rng.IntN(len(candidates))])
}

func (r *random) rankGroup(_ time.Time, _ *job, candidates []int) []int {
	order := append([]int{}, candidates...)
	r.rng.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	return order
}

// leastOutstanding chooses the engine with the fewest in-flight requests of
// this VM; ties are broken at random.
type leastOutstanding struct {
	baselinePolicy
	rng         *rand.Rand
	outstanding [engines]int
}

func (l *leastOutstanding) place(_ time.Time, j *job, candidates []int) decision {
	return l.decide(j, l.fewestOutstanding(candidates))
}

func (l *leastOutstanding) fewestOutstanding(candidates []int) int {
	best, ties := -1, 0
	for _, e := range candidates {
		switch {
		case best < 0 || l.outstanding[e] < l.outstanding[best]:
			best, ties = e, 1
		case l.outstanding[e] == l.outstanding[best]:
			ties++
			if l.rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

func (l *leastOutstanding) rankGroup(_ time.Time, _ *job, candidates []int) []int {
	left := append([]int{}, candidates...)
	order := make([]int, 0, len(candidates))
	for len(left) > 0 {
		e := l.fewestOutstanding(left)
		order = append(order, e)
		for i := range left {
			if left[i] == e {
				left = append(left[:i], left[i+1:]...)
				break
			}
		}
	}
	return order
}

func (l *leastOutstanding) recordSent(_ time.Time, _ *job, d decision) { l.outstanding[d.engine]++ }

func (l *leastOutstanding) recordEnd(_ time.Time, j *job) { l.outstanding[j.engine]-- }
