package experiment

import (
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// decision is where a prompt goes.
type decision struct {
	engine   int
	priority wire.Priority
}

// policy is what one VM decides and learns. Engines that are down or too small
// are left out by the open argument.
type policy interface {
	// admit decides whether to take a prompt on, with so many tokens of low
	// priority waiting at the VMs.
	admit(now time.Time, j *job, open []int, waiting int64) bool
	// place chooses an engine.
	place(now time.Time, j *job, open []int) decision
	// group orders the open engines by how well they suit the group of a prompt
	// that no engine holds; the first leads it.
	group(now time.Time, j *job, open []int) []int
	// headroom is the share of an engine's memory that is kept from prompts of
	// low priority; without room, they wait at their VM. Zero for no waiting.
	headroom() float64
	// held is the memory believed taken at the engine.
	held(now time.Time, engine int) int64
	// groupCap is the most of the fleet's memory that groups may take beyond
	// the first one.
	groupCap() float64
	// reserved is told of a group's memory, part by part.
	reserved(now time.Time, j *job, engine int, tokens int64)
	sent(now time.Time, j *job, d decision)
	firstToken(now time.Time, j *job)
	// ended is told of every end of an attempt.
	ended(now time.Time, j *job)
	report(now time.Time, engine int, r wire.LoadReport)
	cacheEvents(now time.Time, engine int, e wire.CacheEvents)
	cacheSequence(engine int) int64
	// notices returns what peers are to be told at once.
	notices() []sentDigest
	// digest returns what the VM sent since the last call, and peer takes it.
	digest() []sentDigest
	peer(d []sentDigest)
}

// sentDigest is prefill that a VM sent to an engine, and the change of the
// memory that it holds there.
type sentDigest struct {
	engine   int
	at       time.Time
	work     int64
	need     int64
	priority wire.Priority
}

// blind is the part of the baselines that learns nothing.
type blind struct{}

func (blind) admit(time.Time, *job, []int, int64) bool     { return true }
func (blind) headroom() float64                            { return 0 }
func (blind) held(time.Time, int) int64                    { return 0 }
func (blind) groupCap() float64                            { return 1 }
func (blind) reserved(time.Time, *job, int, int64)         {}
func (blind) sent(time.Time, *job, decision)               {}
func (blind) firstToken(time.Time, *job)                   {}
func (blind) ended(time.Time, *job)                        {}
func (blind) report(time.Time, int, wire.LoadReport)       {}
func (blind) cacheEvents(time.Time, int, wire.CacheEvents) {}
func (blind) cacheSequence(int) int64                      { return 0 }
func (blind) notices() []sentDigest                        { return nil }
func (blind) digest() []sentDigest                         { return nil }
func (blind) peer([]sentDigest)                            {}
func (blind) decide(j *job, engine int) decision {
	return decision{engine: engine, priority: j.class.Priority()}
}
func rotate(open []int, first int) []int {
	return append(append([]int{}, open[first:]...), open[:first]...)
}

// roundRobin takes the engines in turn.
type roundRobin struct {
	blind
	next int
}

func (r *roundRobin) place(_ time.Time, j *job, open []int) decision {
	r.next++
	return r.decide(j, open[r.next%len(open)])
}

func (r *roundRobin) group(_ time.Time, _ *job, open []int) []int {
	r.next++
	return rotate(open, r.next%len(open))
}

// random draws an engine.
type random struct {
	blind
	rng *rand.Rand
}

func (r *random) place(_ time.Time, j *job, open []int) decision {
	return r.decide(j, open[r.rng.IntN(len(open))])
}

func (r *random) group(_ time.Time, _ *job, open []int) []int {
	order := append([]int{}, open...)
	r.rng.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	return order
}

// leastOutstanding takes the engine with the fewest requests of this VM that
// have not ended; ties are drawn.
type leastOutstanding struct {
	blind
	rng         *rand.Rand
	outstanding [engines]int
}

func (l *leastOutstanding) place(_ time.Time, j *job, open []int) decision {
	return l.decide(j, l.least(open))
}

func (l *leastOutstanding) least(open []int) int {
	best, ties := -1, 0
	for _, e := range open {
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

func (l *leastOutstanding) group(_ time.Time, _ *job, open []int) []int {
	left := append([]int{}, open...)
	order := make([]int, 0, len(open))
	for len(left) > 0 {
		e := l.least(left)
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

func (l *leastOutstanding) sent(_ time.Time, _ *job, d decision) { l.outstanding[d.engine]++ }

func (l *leastOutstanding) ended(_ time.Time, j *job) { l.outstanding[j.engine]-- }
