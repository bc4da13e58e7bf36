package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
)

// simStepMs is the interval, in simulated ms, at which the dispatcher is polled
// while jobs are queued and no event occurs.
const simStepMs = 20.0

// simKind describes a kind of prompt. A job earns value if it is on time, and
// lateValue if it is late.
type simKind struct {
	name      string
	ratePerS  float64
	prompt    float64
	spread    float64
	max       float64
	events    float64
	goalMs    float64
	gapMs     float64
	deadline  float64
	value     float64
	lateValue float64
}

// clientTimeoutMs is how long a caller waits for an event.
func (k *simKind) clientTimeoutMs() float64 { return max(2000, 4*k.goalMs, 8*k.gapMs) }

// simKinds returns prompts of three lengths. The longest have the highest
// value, and a prefill time that grows with the square of their length.
func simKinds() []simKind {
	return []simKind{
		{"short", 39.5, 4960, 0.9, 23800, 35, 300, 200, 10000, 1.3, 0.33},
		{"medium", 2.87, 45000, 0.5, 110000, 21, 1500, 500, 10000, 3.1, 0.79},
		{"long", 1.19, 210000, 0.55, 1000000, 17, 3000, 800, 15000, 22, 5.4},
	}
}

func simCostModel() *engine.CostModel {
	return &engine.CostModel{
		Slots: 16, MemoryTokens: 450000, Stride: 46, ChunkTokens: 2048, StepMs: 0.925, PerSequenceMs: 0.00483,
		ContextPer1kMs: 0.00254, PrefillTokensPerMs: 256, PairsPerMillionMs: 0.0917,
	}
}

// simPhase multiplies the arrival rates of the kinds from a time on.
type simPhase struct {
	fromMs      float64
	rateFactors [3]float64
}

// alternatingPhases returns a load that alternates between many short prompts
// and many long ones.
func alternatingPhases(shortFirst bool) []simPhase {
	short, long := [3]float64{2.5, 0.5, 0.05}, [3]float64{0.37, 1.3, 2.7}
	if !shortFirst {
		short, long = long, short
	}
	return []simPhase{{0, [3]float64{1, 1, 1}}, {1700, short}, {11500, [3]float64{1, 1, 1}}, {12000, long}, {21500, [3]float64{1, 1, 1}}, {23000, short}, {32500, [3]float64{1, 1, 1}}}
}

// simJob is a prompt in the simulation.
type simJob struct {
	kind        *simKind
	id          string
	org         string
	domain      string
	arrivedMs   float64
	prompt      int
	events      int
	valueFactor float64

	// parts is the number of parts that are still to be prefilled.
	parts       int
	started     bool
	lastEventMs float64
	late        bool
	done        bool
	failed      bool
	emitted     int
	// placedMs, firstMs and endMs are the times of the placement, of the first event and
	// of the end of the answer.
	placedMs float64
	firstMs  float64
	endMs    float64
	engines  []*simEngine
}

// simPart is the part of a prompt that one engine prefills.
type simPart struct {
	job    *simJob
	tokens float64
	costMs float64
}

// simEngine simulates an engine that works in passes.
type simEngine struct {
	id           string
	f            *engine.CostModel
	prefillQueue []*simPart
	decoding     []*simJob
	endMs        float64 // end of the pass under way; infinite for none
	prefilled    []*simPart
	slowdown     float64
}

// sim simulates prompts at engines behind a dispatcher.
type sim struct {
	d          *Dispatcher
	rng        *rand.Rand
	now        float64
	engineByID map[string]*simEngine
	engineList []*simEngine
	jobs       []*simJob
	byID       map[string]*simJob
	pending    []*simJob
	active     []*simJob
	start      time.Time
	refused    int
	// leastRequests bypasses the dispatcher: each prompt is sent on arrival to
	// the engine with the fewest requests.
	leastRequests bool
	// slowdown returns how many times slower an engine is at a time in ms; nil for never.
	slowdown func(ms float64, id string) float64
}

func newSim(seed uint64, cfg Config, engines int) *sim {
	s := &sim{
		d: New(cfg), rng: rand.New(rand.NewPCG(seed, 1)), engineByID: make(map[string]*simEngine),
		byID: make(map[string]*simJob), start: time.Unix(1000, 0),
	}
	f := simCostModel()
	s.d.SetServices(s.start, []Service{{Name: "s", Engine: f}})
	list := make([]Endpoint, 0, engines)
	for i := range engines {
		e := &simEngine{id: fmt.Sprintf("e%03d", i), f: f, endMs: math.Inf(1), slowdown: 1}
		s.engineByID[e.id] = e
		s.engineList = append(s.engineList, e)
		list = append(list, Endpoint{ID: e.id, Service: "s", Slots: f.Slots})
	}
	s.d.SetEndpoints(s.start, list)
	return s
}

func (s *sim) time() time.Time { return s.start.Add(engine.Duration(s.now)) }

// arrivals draws the prompts of a simulation.
func (s *sim) arrivals(kinds []simKind, phases []simPhase, load, untilMs float64) {
	for i := range kinds {
		k := &kinds[i]
		maxFactor := 1.0
		for _, p := range phases {
			maxFactor = max(maxFactor, p.rateFactors[i])
		}
		for at := 0.0; ; {
			at += s.rng.ExpFloat64() * 1000 / (k.ratePerS * load * maxFactor)
			if at >= untilMs {
				break
			}
			factor := 1.0
			for _, p := range phases {
				if at >= p.fromMs {
					factor = p.rateFactors[i]
				}
			}
			if s.rng.Float64()*maxFactor < factor {
				s.pending = append(s.pending, s.sampleJob(k, at))
			}
		}
	}
	slices.SortFunc(s.pending, func(a, b *simJob) int { return int(math.Copysign(1, a.arrivedMs-b.arrivedMs)) })
	for i, j := range s.pending {
		j.id = strconv.Itoa(i)
		s.byID[j.id] = j
	}
	s.jobs = slices.Clone(s.pending)
}

func (s *sim) sampleJob(k *simKind, at float64) *simJob {
	lognormal := func(mean, sigma, limit float64) float64 {
		return min(limit, mean*math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
	}
	prompt := max(50, lognormal(k.prompt, k.spread, k.max))
	return &simJob{
		kind: k, arrivedMs: at, prompt: int(prompt), events: max(1, int(lognormal(k.events, 0.6, 2.5*k.events))),
		valueFactor: min(4, 0.3+0.7*prompt/k.prompt),
	}
}

// run simulates until no prompt and no pass is left.
func (s *sim) run() {
	nextPoll := 0.0
	for {
		at := math.Inf(1)
		if len(s.pending) > 0 {
			at = s.pending[0].arrivedMs
		}
		if s.d.Queued() > 0 {
			at = min(at, nextPoll)
		}
		var engine *simEngine
		for _, e := range s.engineList {
			if e.endMs < at {
				at, engine = e.endMs, e
			}
		}
		if math.IsInf(at, 1) {
			return
		}
		s.now = max(s.now, at)
		switch {
		case engine != nil:
			s.endPass(engine)
		case len(s.pending) > 0 && s.pending[0].arrivedMs <= s.now:
			s.submit(s.pending[0])
			s.pending = s.pending[1:]
		}
		s.decide()
		nextPoll = s.now + simStepMs
		s.abandonTimedOut()
	}
}

func (s *sim) submit(j *simJob) {
	now := s.time()
	s.active = append(s.active, j)
	if s.leastRequests {
		s.placeLeastRequests(j)
		return
	}
	s.d.Submit(now, Job{
		ID: j.id, Owner: "vm", Domain: j.domain, Service: "s", Organisation: j.org, Arrived: now, Due: now.Add(engine.Duration(j.kind.goalMs)),
		Deadline: now.Add(engine.Duration(j.kind.deadline)), MaxGap: engine.Duration(j.kind.gapMs), PromptTokens: j.prompt, AnswerTokens: j.events * 46,
		FirstEventBy: now.Add(engine.Duration(j.kind.clientTimeoutMs())),
	})
}

func (s *sim) placeLeastRequests(j *simJob) {
	load := make(map[*simEngine]int)
	for _, other := range s.active {
		if len(other.engines) > 0 {
			load[other.engines[0]]++
		}
	}
	best := s.engineList[0]
	for _, e := range s.engineList {
		if load[e] < load[best] {
			best = e
		}
	}
	if load[best] >= best.f.Slots || j.prompt > best.f.MemoryTokens {
		j.failed = true
		s.refused++
		return
	}
	s.place(j, &Placement{Job: j.id, Endpoint: best.id})
}

func (s *sim) decide() {
	for _, d := range s.d.Decide(s.time()) {
		j := s.byID[d.Key().ID]
		if d.Refusal != nil {
			j.failed = true
			s.refused++
			continue
		}
		s.place(j, d.Placement)
	}
}

func (s *sim) place(j *simJob, p *Placement) {
	ids := append([]string{p.Endpoint}, p.Helpers...)
	f := s.engineList[0].f
	j.parts = len(ids)
	j.placedMs = s.now
	for _, id := range ids {
		e := s.engineByID[id]
		part := &simPart{job: j, tokens: float64(j.prompt) / float64(len(ids)), costMs: f.PrefillMs(j.prompt, len(ids))}
		at := len(e.prefillQueue)
		if len(ids) > 1 {
			// A part of a shared prompt goes before all others.
			at = 0
		}
		e.prefillQueue = slices.Insert(e.prefillQueue, at, part)
		j.engines = append(j.engines, e)
		s.startPass(e)
	}
}

// startPass starts a pass if the engine is idle and has work.
func (s *sim) startPass(e *simEngine) {
	if !math.IsInf(e.endMs, 1) || len(e.prefillQueue) == 0 && len(e.decoding) == 0 {
		return
	}
	context, steps := 0, 1
	for _, w := range e.decoding {
		context += w.prompt
	}
	if len(e.decoding) > 0 {
		steps = e.f.Stride
	}
	ms := e.f.PassMs(len(e.decoding), context)
	budget := float64(steps * e.f.ChunkTokens)
	for len(e.prefillQueue) > 0 && budget > 0 {
		p := e.prefillQueue[0]
		n := min(budget, p.tokens)
		cost := p.costMs
		if n < p.tokens {
			cost = p.costMs * n / p.tokens
		}
		ms += cost
		budget -= n
		p.tokens -= n
		p.costMs -= cost
		if p.tokens > 0 {
			break
		}
		e.prefilled = append(e.prefilled, p)
		e.prefillQueue = e.prefillQueue[1:]
	}
	if s.slowdown != nil {
		ms *= s.slowdown(s.now, e.id)
	}
	e.endMs = s.now + ms*e.slowdown
}

func (s *sim) endPass(e *simEngine) {
	e.endMs = math.Inf(1)
	for _, w := range slices.Clone(e.decoding) {
		s.emit(e, w)
	}
	read := e.prefilled
	e.prefilled = nil
	for _, p := range read {
		p.job.parts--
		if p.job.parts == 0 && !p.job.done && !p.job.failed {
			s.emitFirst(p.job)
		}
	}
	s.startPass(e)
}

// emitFirst emits a job's first event at its receiver.
func (s *sim) emitFirst(j *simJob) {
	e := j.engines[0]
	j.started = true
	j.lastEventMs, j.firstMs = s.now, s.now
	if s.now-j.arrivedMs > j.kind.goalMs {
		j.late = true
	}
	e.decoding = append(e.decoding, j)
	s.d.FirstEvent(s.time(), testKey(j.id))
	j.emitted = 1
	s.finishIfComplete(e, j)
	if len(e.prefilled) == 0 {
		s.startPass(e)
	}
}

func (s *sim) emit(e *simEngine, j *simJob) {
	if s.now-j.lastEventMs > j.kind.gapMs {
		j.late = true
	}
	j.lastEventMs = s.now
	j.emitted++
	s.finishIfComplete(e, j)
}

func (s *sim) finishIfComplete(e *simEngine, j *simJob) {
	if j.emitted < j.events {
		return
	}
	j.done, j.endMs = true, s.now
	s.stopDecoding(e, j)
	s.d.Finished(s.time(), testKey(j.id), Served, "")
}

func (s *sim) stopDecoding(e *simEngine, j *simJob) {
	e.decoding = slices.DeleteFunc(e.decoding, func(w *simJob) bool { return w == j })
}

// abandonTimedOut removes the jobs whose callers have timed out.
func (s *sim) abandonTimedOut() {
	s.active = slices.DeleteFunc(s.active, func(j *simJob) bool { return j.done || j.failed })
	for _, j := range s.active {
		since := j.arrivedMs
		if j.started {
			since = j.lastEventMs
		}
		if s.now-since <= j.kind.clientTimeoutMs() && s.now-j.arrivedMs <= j.kind.deadline {
			continue
		}
		j.failed = true
		for _, e := range j.engines {
			s.stopDecoding(e, j)
			e.prefillQueue = slices.DeleteFunc(e.prefillQueue, func(p *simPart) bool { return p.job == j })
		}
		s.d.Finished(s.time(), testKey(j.id), Abandoned, "")
	}
}

// simResult summarises a simulation.
type simResult struct {
	// value is the share of the possible value that was earned, and valueByKind
	// the same by kind.
	value       float64
	valueByKind map[string]float64
	// servedByKind is the share of prompts that were answered completely, by
	// kind.
	servedByKind map[string]float64
	// worstWindows is the mean share earned in the two worst windows of two
	// seconds.
	worstWindows float64
	refused      int
}

func (s *sim) result() simResult {
	const window = 2000.0
	r := simResult{valueByKind: make(map[string]float64), servedByKind: make(map[string]float64), refused: s.refused}
	possible, earned, count := map[string]float64{}, map[string]float64{}, map[string]float64{}
	windowPossible, windowEarned := map[int]float64{}, map[int]float64{}
	var totalPossible, totalEarned float64
	for _, j := range s.jobs {
		v := 0.0
		if j.done {
			r.servedByKind[j.kind.name]++
			v = j.kind.value
			if j.late {
				v = j.kind.lateValue
			}
		}
		count[j.kind.name]++
		possible[j.kind.name] += j.kind.value * j.valueFactor
		earned[j.kind.name] += v * j.valueFactor
		totalPossible += j.kind.value * j.valueFactor
		totalEarned += v * j.valueFactor
		windowPossible[int(j.arrivedMs/window)] += j.kind.value * j.valueFactor
		windowEarned[int(j.arrivedMs/window)] += v * j.valueFactor
	}
	for k := range possible {
		r.valueByKind[k] = earned[k] / possible[k]
		r.servedByKind[k] /= count[k]
	}
	r.value = totalEarned / totalPossible
	shares := make([]float64, 0, len(windowPossible))
	for k, possibleValue := range windowPossible {
		shares = append(shares, windowEarned[k]/possibleValue)
	}
	slices.Sort(shares)
	r.worstWindows = (shares[0] + shares[1]) / 2
	return r
}

// simulateAlternating simulates an alternating load and returns its result.
func simulateAlternating(seed uint64, cfg Config, load float64, shortFirst, leastRequests bool) simResult {
	s := newSim(seed, cfg, 18)
	s.leastRequests = leastRequests
	s.arrivals(simKinds(), alternatingPhases(shortFirst), load, 24000)
	s.run()
	return s.result()
}
