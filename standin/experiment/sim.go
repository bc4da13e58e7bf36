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
	pollInterval   = 500 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
	cacheInterval  = 2 * time.Second
	// cacheDelay is the least age of cache events; they lag no less than load
	// reports do.
	cacheDelay = 500 * time.Millisecond
	// cacheGap is the share of polls in which a cache event is lost.
	cacheGap = 0.02
	// digestInterval is how often VMs tell each other what they sent.
	digestInterval = time.Second
	// peerDelay is the time of a message between two VMs.
	peerDelay = 2 * time.Millisecond
	// groupRetry is the wait after a group that could not be reserved.
	groupRetry = 250 * time.Millisecond
	// groupShare is the part of an engine's memory that a group takes.
	groupShare = 0.5
	// grantRetry is the time between two tries of prompts that wait for memory.
	grantRetry = 50 * time.Millisecond
	// retryPause is the wait before another attempt after an engine's death.
	retryPause = 10 * time.Millisecond
)

// epoch is the wall clock at the start of virtual time.
var epoch = time.UnixMilli(1_000_000_000_000)

// timer is something due at a virtual time.
type timer struct {
	at  time.Duration
	seq int
	do  func()
}

// timers is a heap in the order of time, then of setting.
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

// node is one engine in the run.
type node struct {
	index   int
	model   *engine.Model
	nominal float64
	dead    bool
	busy    bool
	samples []sample
}

// sample is an engine's load at a time.
type sample struct {
	at     time.Duration
	report wire.LoadReport
}

// run is one run in progress.
type run struct {
	cell   Cell
	now    time.Duration
	seq    int
	timers timers
	nodes  []*node
	vms    []policy
	jobs   []*job
	// left are the jobs without an end.
	left  int
	bySeq map[*engine.Sequence]*job
	rng   *rand.Rand
	// lowHeld is the memory of prompts of low priority by engine, in tokens, as
	// the VMs that grant reservations keep it.
	lowHeld [engines]int64
	// waiting are prompts of low priority that got no reservation yet, in order
	// of arrival.
	waiting []*job
	// claims are the engines kept for a prompt that waited for long.
	claims [engines]*job
	// late are notices that wait for the next digest.
	late map[int][]sentDigest
	// grouped is the memory that groups hold, in tokens.
	grouped int64
}

func (r *run) at(t time.Duration, do func()) {
	r.seq++
	heap.Push(&r.timers, timer{t, r.seq, do})
}

// every does something again and again while there are jobs left.
func (r *run) every(d time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		if r.left > 0 {
			r.at(r.now+d, tick)
		}
	}
	r.at(r.now+d, tick)
}

func (r *run) wall() time.Time { return epoch.Add(r.now) }

// loop carries out all that is due.
func (r *run) loop() {
	for len(r.timers) > 0 {
		t := heap.Pop(&r.timers).(timer)
		r.now = t.at
		t.do()
	}
}

// open lists the engines that are up and can hold the prompt alone.
func (r *run) open(need int64) []int {
	var open []int
	for _, n := range r.nodes {
		if !n.dead && r.cell.shapes[n.index].MemoryTokens >= need {
			open = append(open, n.index)
		}
	}
	return open
}

// dispatch makes the job's next attempt.
func (r *run) dispatch(j *job) {
	if j.resolved || r.now >= j.deadline {
		return
	}
	p := r.vms[j.vm]
	open := r.open(j.bound() + j.maxTokens)
	if !j.asked && !r.admit(j, open) {
		return
	}
	if len(open) == 0 {
		r.dispatchGroup(j)
		return
	}
	if headroom := p.headroom(); headroom > 0 && j.class.Priority() == wire.PriorityLow {
		if open = r.grantable(j, open, headroom); len(open) == 0 {
			r.wait(j)
			return
		}
	}
	d := p.place(r.wall(), j, open)
	r.submit(j, d, 0)
}

// admit asks the policy whether to take the job on.
func (r *run) admit(j *job, open []int) bool {
	j.asked = true
	if len(open) == 0 {
		open = r.open(0)
	}
	waiting := int64(0)
	for _, w := range r.waiting {
		if !w.resolved {
			waiting += w.bound()
		}
	}
	if r.vms[j.vm].admit(r.wall(), j, open, waiting) {
		return true
	}
	j.refused = true
	r.resolve(j)
	j.servable = r.oracle(j, open, waiting) <= j.deadline-r.now
	return false
}

// oracle is the time to the job's end on the engine that could end it first, as
// far as the true state tells: as if nothing came after it, and memory were given
// back at the speed of prefill.
func (r *run) oracle(j *job, open []int, waiting int64) time.Duration {
	best := math.Inf(1)
	queue := 0.0
	if j.class.Priority() == wire.PriorityLow {
		queue = float64(waiting) / capacity(r.cell.shapes)
	}
	for _, e := range open {
		c := &r.cell.shapes[e]
		load := r.nodes[e].model.Load()
		ahead := load.QueuedTokens[wire.PriorityHigh]
		if j.class.Priority() == wire.PriorityLow {
			ahead += load.QueuedTokens[wire.PriorityLow]
		}
		step := c.DecodeStep + time.Duration(load.Running+1)*c.DecodePerSequence
		piece := float64(c.PieceTokens) / c.PrefillRate
		rate := float64(c.PieceTokens) / (piece + step.Seconds())
		work := float64(ahead + j.prompt)
		if missing := j.prompt + j.answer - load.FreeTokens; missing > 0 && j.class < Oversize {
			work += float64(missing)
		}
		best = min(best, queue+work/rate+float64(j.answer)*step.Seconds())
	}
	return time.Duration(best * float64(time.Second))
}

// submit hands the job to the engine, with memory reserved beforehand.
func (r *run) submit(j *job, d decision, reserved int64) {
	j.attempt++
	j.engine = d.engine
	j.sentAt = r.now
	j.seq = &engine.Sequence{
		ID:        strconv.Itoa(j.id) + "/" + strconv.Itoa(j.attempt),
		Priority:  d.priority,
		Blocks:    j.blocks,
		Prompt:    j.prompt + j.got,
		Answer:    j.answer,
		Delivered: j.got,
		Reserved:  reserved,
	}
	r.bySeq[j.seq] = j
	for e := range r.claims {
		if r.claims[e] == j {
			r.claims[e] = nil
		}
	}
	if d.priority == wire.PriorityLow {
		r.lowHeld[d.engine] += j.lowNeed()
	}
	r.vms[j.vm].sent(r.wall(), j, d)
	r.notify(j.vm)
	n := r.nodes[d.engine]
	n.model.Submit(j.seq)
	r.kick(n)
}

// kick starts an idle engine.
func (r *run) kick(n *node) {
	if n.busy || n.dead {
		return
	}
	n.busy = true
	r.at(r.now, func() { r.step(n) })
}

// step runs one iteration of the engine.
func (r *run) step(n *node) {
	if n.dead {
		return
	}
	length, tokens := n.model.Step()
	if length == 0 {
		n.busy = false
		return
	}
	r.at(r.now+length, func() {
		if n.dead {
			return
		}
		for _, t := range tokens {
			r.token(t)
		}
		r.step(n)
	})
}

// token hands one token to its job.
func (r *run) token(t engine.Token) {
	j := r.bySeq[t.Sequence]
	if j == nil {
		return
	}
	if j.got == 0 {
		j.first = r.now
	}
	if t.Index == t.Sequence.Delivered {
		r.vms[j.vm].firstToken(r.wall(), j)
	}
	j.got = t.Index + 1
	if t.Last {
		j.end = r.now
		r.resolve(j)
		r.endAttempt(j)
	}
}

// resolve notes that the job has its end.
func (r *run) resolve(j *job) {
	j.resolved = true
	r.left--
}

// endAttempt frees what the attempt holds.
func (r *run) endAttempt(j *job) {
	delete(r.bySeq, j.seq)
	if j.seq.Priority == wire.PriorityLow {
		r.lowHeld[j.engine] -= j.lowNeed()
	}
	r.vms[j.vm].ended(r.wall(), j)
	r.release(j)
	if n := r.nodes[j.engine]; !n.dead {
		n.model.Cancel(j.seq.ID)
		r.kick(n)
	}
}

// expire fails a job whose deadline has passed.
func (r *run) expire(j *job) {
	if j.resolved {
		return
	}
	r.resolve(j)
	j.failed = true
	if j.seq != nil && r.bySeq[j.seq] == j {
		r.endAttempt(j)
	}
}

// kill ends an engine; the jobs that it served are tried elsewhere.
func (r *run) kill(index int) {
	n := r.nodes[index]
	n.dead = true
	for _, j := range r.jobs {
		if j.seq == nil || r.bySeq[j.seq] != j || !j.touches(index) {
			continue
		}
		r.endAttempt(j)
		r.at(r.now+retryPause, func() { r.dispatch(j) })
	}
}

// touches reports whether the job's attempt uses the engine.
func (j *job) touches(engine int) bool {
	for _, e := range j.members {
		if e == engine {
			return true
		}
	}
	return j.engine == engine
}
