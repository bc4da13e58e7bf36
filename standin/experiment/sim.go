package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

const (
	pollInterval       = 500 * time.Millisecond
	sampleInterval     = 100 * time.Millisecond
	cacheEventInterval = 2 * time.Second
	// minCacheEventDelay is the minimum delay of cache events. They lag at
	// least as much as load reports.
	minCacheEventDelay = 500 * time.Millisecond
	// cacheEventLoss is the fraction of polls in which one cache event is lost.
	cacheEventLoss = 0.02
	// digestInterval is the interval at which VMs exchange digests of what they
	// sent.
	digestInterval = time.Second
	// peerLatency is the latency of a message between two VMs.
	peerLatency = 2 * time.Millisecond
	// groupRetryInterval is the wait after a failed attempt to reserve a group.
	groupRetryInterval = 250 * time.Millisecond
	// groupShare is the fraction of an engine's memory that a group reserves.
	groupShare = 0.5
	// grantRetryInterval is the interval between two attempts to place the
	// prompts that wait for memory.
	grantRetryInterval = 50 * time.Millisecond
	// retryDelay is the wait before the retry after an engine failure.
	retryDelay = 10 * time.Millisecond
)

// epoch is the wall-clock time at virtual time zero.
var epoch = time.UnixMilli(1_000_000_000_000)

// timer calls a function at a virtual time.
type timer struct {
	at  time.Duration
	seq int
	do  func()
}

// timers is a heap ordered by time, then by order of scheduling.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(a, b int) bool {
	if t[a].at != t[b].at {
		return t[a].at < t[b].at
	}
	return t[a].seq < t[b].seq
}
func (t timers) Swap(a, b int) { t[a], t[b] = t[b], t[a] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// node is one simulated engine.
type node struct {
	index        int
	model        *engine.Model
	reportedRate float64
	dead         bool
	busy         bool
	samples      []sample
}

// sample is an engine's load at a point in time.
type sample struct {
	at     time.Duration
	report wire.LoadReport
}

// run is the state of one simulation.
type run struct {
	cell   Cell
	now    time.Duration
	seq    int
	timers timers
	nodes  []*node
	vms    []policy
	jobs   []*job
	// unresolved is the number of jobs without an outcome.
	unresolved     int
	jobsBySequence map[*engine.Sequence]*job
	rng            *rand.Rand
	// lowPriorityHeld is the memory of low-priority prompts by engine, in
	// tokens, as accounted by the VMs that grant reservations.
	lowPriorityHeld [engines]int64
	// waiting holds the low-priority prompts without a reservation, in order of
	// arrival.
	waiting []*job
	// claims holds, by engine, the long-waiting prompt that the engine is kept
	// for.
	claims [engines]*job
	// delayedNotices holds, by VM, the notices that are sent with the next
	// digest.
	delayedNotices map[int][]sendRecord
	// groupMemory is the memory that groups hold, in tokens.
	groupMemory int64
}

// schedule calls do at the virtual time t.
func (r *run) schedule(t time.Duration, do func()) {
	r.seq++
	heap.Push(&r.timers, timer{t, r.seq, do})
}

// every calls do once per interval d while there are unresolved jobs.
func (r *run) every(d time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		if r.unresolved > 0 {
			r.schedule(r.now+d, tick)
		}
	}
	r.schedule(r.now+d, tick)
}

func (r *run) wallTime() time.Time { return epoch.Add(r.now) }

// runTimers runs all timers in order until none is left.
func (r *run) runTimers() {
	for len(r.timers) > 0 {
		t := heap.Pop(&r.timers).(timer)
		r.now = t.at
		t.do()
	}
}

// candidates lists the engines that are up and whose total memory is at least
// need, in tokens.
func (r *run) candidates(need int64) []int {
	var candidates []int
	for _, n := range r.nodes {
		if !n.dead && r.cell.engineConfigs[n.index].MemoryTokens >= need {
			candidates = append(candidates, n.index)
		}
	}
	return candidates
}

// dispatch makes the job's next attempt, unless the job is resolved or its
// deadline has passed.
func (r *run) dispatch(j *job) {
	if j.resolved || r.now >= j.deadline {
		return
	}
	p := r.vms[j.vm]
	candidates := r.candidates(j.tokenBound() + j.maxTokens)
	if !j.admissionDecided && !r.admit(j, candidates) {
		return
	}
	if len(candidates) == 0 {
		r.dispatchGroup(j)
		return
	}
	if headroom := p.headroom(); headroom > 0 && j.class.Priority() == wire.PriorityLow {
		if candidates = r.grantable(j, candidates, headroom); len(candidates) == 0 {
			r.enqueue(j)
			return
		}
	}
	d := p.place(r.wallTime(), j, candidates)
	r.submit(j, d, 0)
}

// admit reports whether the policy admits the job. A job that is not admitted
// is resolved as refused.
func (r *run) admit(j *job, candidates []int) bool {
	j.admissionDecided = true
	if len(candidates) == 0 {
		candidates = r.candidates(0)
	}
	waiting := int64(0)
	for _, w := range r.waiting {
		if !w.resolved {
			waiting += w.tokenBound()
		}
	}
	if r.vms[j.vm].admit(r.wallTime(), j, candidates, waiting) {
		return true
	}
	j.refused = true
	r.resolve(j)
	j.servable = r.oracle(j, candidates, waiting) <= j.deadline-r.now
	return false
}

// oracle estimates, from the true state of the candidate engines, the shortest
// time to the job's completion. It assumes that no prompt arrives after the job
// and that memory is released at the speed of prefill.
func (r *run) oracle(j *job, candidates []int, waiting int64) time.Duration {
	best := math.Inf(1)
	queue := 0.0
	if j.class.Priority() == wire.PriorityLow {
		queue = float64(waiting) / prefillCapacity(r.cell.engineConfigs)
	}
	for _, e := range candidates {
		c := &r.cell.engineConfigs[e]
		load := r.nodes[e].model.Load()
		ahead := load.QueuedTokens[wire.PriorityHigh]
		if j.class.Priority() == wire.PriorityLow {
			ahead += load.QueuedTokens[wire.PriorityLow]
		}
		step := c.DecodeStep + time.Duration(load.Running+1)*c.DecodePerSequence
		piece := float64(c.PrefillChunkTokens) / c.PrefillRate
		rate := float64(c.PrefillChunkTokens) / (piece + step.Seconds())
		work := float64(ahead + j.promptTokens)
		if missing := j.promptTokens + j.answerTokens - load.FreeTokens; missing > 0 && j.class < Oversize {
			work += float64(missing)
		}
		best = min(best, queue+work/rate+float64(j.answerTokens)*step.Seconds())
	}
	return time.Duration(best * float64(time.Second))
}

// submit sends the job to the chosen engine; reserved is the memory already
// reserved for it, in tokens.
func (r *run) submit(j *job, d decision, reserved int64) {
	j.attempt++
	j.engine = d.engine
	j.sentAt = r.now
	j.seq = &engine.Sequence{
		ID:           strconv.Itoa(j.id) + "/" + strconv.Itoa(j.attempt),
		Priority:     d.priority,
		Blocks:       j.blocks,
		PromptTokens: j.promptTokens + j.delivered,
		AnswerTokens: j.answerTokens,
		Delivered:    j.delivered,
		Reserved:     reserved,
	}
	r.jobsBySequence[j.seq] = j
	for e := range r.claims {
		if r.claims[e] == j {
			r.claims[e] = nil
		}
	}
	if d.priority == wire.PriorityLow {
		r.lowPriorityHeld[d.engine] += j.lowPriorityNeed()
	}
	r.vms[j.vm].recordSent(r.wallTime(), j, d)
	r.sendNotices(j.vm)
	n := r.nodes[d.engine]
	n.model.Submit(j.seq)
	r.scheduleStep(n)
}

// scheduleStep schedules the next iteration of an idle engine.
func (r *run) scheduleStep(n *node) {
	if n.busy || n.dead {
		return
	}
	n.busy = true
	r.schedule(r.now, func() { r.step(n) })
}

// step runs one iteration of the engine and schedules the next. An engine that
// can do nothing becomes idle.
func (r *run) step(n *node) {
	if n.dead {
		return
	}
	length, tokens := n.model.Step()
	if length == 0 {
		n.busy = false
		return
	}
	r.schedule(r.now+length, func() {
		if n.dead {
			return
		}
		for _, t := range tokens {
			r.deliver(t)
		}
		r.step(n)
	})
}

// deliver passes a generated token to its job.
func (r *run) deliver(t engine.Token) {
	j := r.jobsBySequence[t.Sequence]
	if j == nil {
		return
	}
	if j.delivered == 0 {
		j.firstTokenAt = r.now
	}
	if t.Index == t.Sequence.Delivered {
		r.vms[j.vm].recordFirstToken(r.wallTime(), j)
	}
	j.delivered = t.Index + 1
	if t.Last {
		j.endedAt = r.now
		r.resolve(j)
		r.endAttempt(j)
	}
}

// resolve records that the job has an outcome.
func (r *run) resolve(j *job) {
	j.resolved = true
	r.unresolved--
}

// endAttempt releases what the attempt holds.
func (r *run) endAttempt(j *job) {
	delete(r.jobsBySequence, j.seq)
	if j.seq.Priority == wire.PriorityLow {
		r.lowPriorityHeld[j.engine] -= j.lowPriorityNeed()
	}
	r.vms[j.vm].recordEnd(r.wallTime(), j)
	r.releaseGroup(j)
	if n := r.nodes[j.engine]; !n.dead {
		n.model.Cancel(j.seq.ID)
		r.scheduleStep(n)
	}
}

// expire fails a job at its deadline.
func (r *run) expire(j *job) {
	if j.resolved {
		return
	}
	r.resolve(j)
	j.expired = true
	if j.seq != nil && r.jobsBySequence[j.seq] == j {
		r.endAttempt(j)
	}
}

// failEngine takes an engine down and retries the jobs that used it.
func (r *run) failEngine(index int) {
	n := r.nodes[index]
	n.dead = true
	for _, j := range r.jobs {
		if j.seq == nil || r.jobsBySequence[j.seq] != j || !j.uses(index) {
			continue
		}
		r.endAttempt(j)
		r.schedule(r.now+retryDelay, func() { r.dispatch(j) })
	}
}

// uses reports whether the job's attempt runs on the engine or uses its memory.
func (j *job) uses(engine int) bool {
	for _, e := range j.members {
		if e == engine {
			return true
		}
	}
	return j.engine == engine
}
