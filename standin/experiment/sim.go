package experiment

import (
	"container/heap"
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
	// groupRetry is the wait after a group that could not be reserved.
	groupRetry = 250 * time.Millisecond
	// groupShare is the part of an engine's memory that a group takes.
	groupShare = 0.5
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
	bySeq  map[*engine.Sequence]*job
	rng    *rand.Rand
	// grouped is the memory that groups hold, in tokens.
	grouped int64
}

func (r *run) at(t time.Duration, do func()) {
	r.seq++
	heap.Push(&r.timers, timer{t, r.seq, do})
}

func (r *run) every(d time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		if r.now < r.cell.horizon() {
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
	if len(open) == 0 {
		r.dispatchGroup(j)
		return
	}
	d := p.place(r.wall(), j, open)
	if d.refused {
		j.refused = true
		j.retryAt = r.now + d.retry
		j.resolved = true
		return
	}
	r.submit(j, d, 0)
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
	r.vms[j.vm].sent(r.wall(), j, d)
	n := r.nodes[d.engine]
	n.model.Submit(j.seq)
	r.kick(n)
}

// dispatchGroup reserves a group's memory, all or none, and submits the job to
// its lead; it tries again until the job's deadline.
func (r *run) dispatchGroup(j *job) {
	need := j.bound() + j.maxTokens
	if r.grouped > 0 && float64(r.grouped+need) > r.vms[j.vm].groupCap()*float64(r.memory()) {
		r.at(r.now+groupRetry, func() { r.dispatch(j) })
		return
	}
	order := r.vms[j.vm].group(r.wall(), j, r.open(0))
	if !r.reserve(j, order, need) {
		r.at(r.now+groupRetry, func() { r.dispatch(j) })
		return
	}
	for _, e := range j.members {
		r.vms[j.vm].reserved(j, e, r.groupPart(e))
	}
	r.submit(j, decision{engine: order[0], priority: j.class.Priority()}, need)
}

// reserve takes groupShare of the engines' memory in the order given until the
// need is met, or nothing.
func (r *run) reserve(j *job, order []int, need int64) bool {
	j.members = nil
	left := need
	for _, e := range order {
		if left <= 0 {
			break
		}
		if !r.nodes[e].model.Reserve(r.groupPart(e)) {
			continue
		}
		j.members = append(j.members, e)
		r.grouped += r.groupPart(e)
		left -= r.groupPart(e)
	}
	if left <= 0 && j.members[0] == order[0] {
		return true
	}
	r.release(j)
	return false
}

// memory is the fleet's, in tokens.
func (r *run) memory() int64 {
	sum := int64(0)
	for _, n := range r.nodes {
		if !n.dead {
			sum += r.cell.shapes[n.index].MemoryTokens
		}
	}
	return sum
}

func (r *run) groupPart(e int) int64 {
	return int64(groupShare * float64(r.cell.shapes[e].MemoryTokens))
}

// release gives a group's memory back.
func (r *run) release(j *job) {
	for _, e := range j.members {
		r.nodes[e].model.Release(r.groupPart(e))
		r.grouped -= r.groupPart(e)
		r.kick(r.nodes[e])
	}
	j.members = nil
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
		j.resolved = true
		r.endAttempt(j)
	}
}

// endAttempt frees what the attempt holds.
func (r *run) endAttempt(j *job) {
	delete(r.bySeq, j.seq)
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
	j.resolved = true
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

// sampleAll remembers the engines' loads, so that they can be told late.
func (r *run) sampleAll() {
	for _, n := range r.nodes {
		if n.dead {
			continue
		}
		report := n.model.Load()
		report.AtMs = r.wall().UnixMilli()
		report.PrefillRate = n.nominal
		n.samples = append(n.samples, sample{r.now, report})
		for len(n.samples) > 1 && n.samples[1].at <= r.now-r.cell.Lag {
			n.samples = n.samples[1:]
		}
	}
}

// poll gives every VM the load reports.
func (r *run) poll() {
	for _, p := range r.vms {
		for _, n := range r.nodes {
			if !n.dead && len(n.samples) > 0 {
				p.report(r.wall(), n.index, n.samples[0].report)
			}
		}
	}
}

// pollCaches gives every VM the cache events, late and with gaps.
func (r *run) pollCaches() {
	delay := max(cacheDelay, r.cell.Lag)
	for _, p := range r.vms {
		for _, n := range r.nodes {
			if n.dead {
				continue
			}
			events := wire.CacheEvents{Events: n.model.CacheEvents(p.cacheSequence(n.index))}
			if k := len(events.Events); k > 0 && r.rng.Float64() < cacheGap {
				i := r.rng.IntN(k)
				events.Events = append(append([]wire.CacheEvent{}, events.Events[:i]...), events.Events[i+1:]...)
			}
			r.at(r.now+delay, func() { p.cacheEvents(r.wall(), n.index, events) })
		}
	}
}

// gossip hands the VMs' digests to their peers.
func (r *run) gossip() {
	for i, from := range r.vms {
		d := from.digest()
		for k, to := range r.vms {
			if k != i {
				to.peer(d)
			}
		}
	}
}
