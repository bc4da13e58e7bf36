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

// simStep is the resolution at which the simulation lets a dispatcher look at
// its queue where nothing happens.
const simStep = 20.0

// simKind is a kind of prompt.
type simKind struct {
	name     string
	perS     float64
	prompt   float64
	spread   float64
	max      float64
	events   float64
	goalMs   float64
	gapMs    float64
	deadline float64
	worth    float64
	late     float64
}

// patienceMs is how long a caller waits for an event.
func (k *simKind) patienceMs() float64 { return max(2000, 4*k.goalMs, 8*k.gapMs) }

// simKinds are prompts of three lengths, of which the longest earn most and need
// the square of their length.
func simKinds() []simKind {
	return []simKind{
		{"short", 39.5, 4960, 0.9, 23800, 35, 300, 200, 10000, 1.3, 0.33},
		{"medium", 2.87, 45000, 0.5, 110000, 21, 1500, 500, 10000, 3.1, 0.79},
		{"long", 1.19, 210000, 0.55, 1000000, 17, 3000, 800, 15000, 22, 5.4},
	}
}

func simFigures() *engine.Figures {
	return &engine.Figures{
		Slots: 16, MemoryTokens: 450000, Stride: 46, ChunkTokens: 2048, StepMs: 0.925, PerWriterMs: 0.00483,
		ContextPer1kMs: 0.00254, ReadTokensPerMs: 256, PairsPerMillionMs: 0.0917,
	}
}

// simPhase multiplies the rates of the kinds from a time on.
type simPhase struct {
	fromMs float64
	by     [3]float64
}

// swing alternates between many short prompts and many long ones.
func swing(shortFirst bool) []simPhase {
	short, long := [3]float64{2.5, 0.5, 0.05}, [3]float64{0.37, 1.3, 2.7}
	if !shortFirst {
		short, long = long, short
	}
	return []simPhase{{0, [3]float64{1, 1, 1}}, {1700, short}, {11500, [3]float64{1, 1, 1}}, {12000, long}, {21500, [3]float64{1, 1, 1}}, {23000, short}, {32500, [3]float64{1, 1, 1}}}
}

// simJob is a prompt in the simulation.
type simJob struct {
	kind   *simKind
	id     string
	at     float64
	prompt int
	events int
	value  float64

	// parts are those that are not yet read.
	parts   int
	started bool
	lastMs  float64
	late    bool
	done    bool
	failed  bool
	emitted int
	// placedMs and firstMs are when it was placed and emitted its first event.
	placedMs float64
	firstMs  float64
	engines  []*simEngine
}

// simPart is what an engine reads of a job.
type simPart struct {
	job    *simJob
	tokens float64
	costMs float64
}

// simEngine works in passes.
type simEngine struct {
	id      string
	f       *engine.Figures
	reads   []*simPart
	writers []*simJob
	endMs   float64 // end of the pass under way; infinite for none
	read    []*simPart
	slow    float64
}

// sim plays prompts against engines behind a dispatcher.
type sim struct {
	d       *Dispatcher
	rng     *rand.Rand
	now     float64
	engines map[string]*simEngine
	order   []*simEngine
	jobs    []*simJob
	byID    map[string]*simJob
	pending []*simJob
	active  []*simJob
	start   time.Time
	refused int
	// naive sends each prompt to the engine with the fewest requests at once, in
	// place of the dispatcher.
	naive bool
}

func newSim(seed uint64, cfg Config, engines int) *sim {
	s := &sim{
		d: New(cfg), rng: rand.New(rand.NewPCG(seed, 1)), engines: make(map[string]*simEngine),
		byID: make(map[string]*simJob), start: time.Unix(1000, 0),
	}
	f := simFigures()
	s.d.SetServices(s.start, []Service{{Name: "s", Engine: f}})
	list := make([]Endpoint, 0, engines)
	for i := range engines {
		e := &simEngine{id: fmt.Sprintf("e%03d", i), f: f, endMs: math.Inf(1), slow: 1}
		s.engines[e.id] = e
		s.order = append(s.order, e)
		list = append(list, Endpoint{ID: e.id, Service: "s", Slots: f.Slots})
	}
	s.d.SetEndpoints(s.start, list)
	return s
}

func (s *sim) time() time.Time { return s.start.Add(engine.Duration(s.now)) }

// arrivals draws the prompts of a day.
func (s *sim) arrivals(kinds []simKind, phases []simPhase, load, untilMs float64) {
	for i := range kinds {
		k := &kinds[i]
		most := 1.0
		for _, p := range phases {
			most = max(most, p.by[i])
		}
		for at := 0.0; ; {
			at += s.rng.ExpFloat64() * 1000 / (k.perS * load * most)
			if at >= untilMs {
				break
			}
			by := 1.0
			for _, p := range phases {
				if at >= p.fromMs {
					by = p.by[i]
				}
			}
			if s.rng.Float64()*most < by {
				s.pending = append(s.pending, s.draw(k, at))
			}
		}
	}
	slices.SortFunc(s.pending, func(a, b *simJob) int { return int(math.Copysign(1, a.at-b.at)) })
	for i, j := range s.pending {
		j.id = strconv.Itoa(i)
		s.byID[j.id] = j
	}
	s.jobs = slices.Clone(s.pending)
}

func (s *sim) draw(k *simKind, at float64) *simJob {
	lognormal := func(mean, sigma, most float64) float64 {
		return min(most, mean*math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
	}
	prompt := max(50, lognormal(k.prompt, k.spread, k.max))
	return &simJob{
		kind: k, at: at, prompt: int(prompt), events: max(1, int(lognormal(k.events, 0.6, 2.5*k.events))),
		value: min(4, 0.3+0.7*prompt/k.prompt),
	}
}

// run plays until all is over.
func (s *sim) run() {
	next := 0.0
	for {
		at := math.Inf(1)
		if len(s.pending) > 0 {
			at = s.pending[0].at
		}
		if s.d.Waiting() > 0 {
			at = min(at, next)
		}
		var engine *simEngine
		for _, e := range s.order {
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
		case len(s.pending) > 0 && s.pending[0].at <= s.now:
			s.submit(s.pending[0])
			s.pending = s.pending[1:]
		}
		s.decide()
		next = s.now + simStep
		s.leave()
	}
}

func (s *sim) submit(j *simJob) {
	now := s.time()
	s.active = append(s.active, j)
	if s.naive {
		s.placeNaively(j)
		return
	}
	s.d.Submit(now, Job{
		ID: j.id, Owner: "vm", Service: "s", Arrived: now, Due: now.Add(engine.Duration(j.kind.goalMs)),
		Deadline: now.Add(engine.Duration(j.kind.deadline)), Gap: engine.Duration(j.kind.gapMs), Prompt: j.prompt, Answer: j.events * 46,
		FirstBy: now.Add(engine.Duration(j.kind.patienceMs())),
	})
}

func (s *sim) placeNaively(j *simJob) {
	load := make(map[*simEngine]int)
	for _, other := range s.active {
		if len(other.engines) > 0 {
			load[other.engines[0]]++
		}
	}
	best := s.order[0]
	for _, e := range s.order {
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
		j := s.byID[d.JobID()]
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
	f := s.order[0].f
	j.parts = len(ids)
	j.placedMs = s.now
	for _, id := range ids {
		e := s.engines[id]
		part := &simPart{job: j, tokens: float64(j.prompt) / float64(len(ids)), costMs: f.ReadMs(j.prompt, len(ids))}
		at := len(e.reads)
		if len(ids) > 1 {
			// A part of a shared prompt goes before all others.
			at = 0
		}
		e.reads = slices.Insert(e.reads, at, part)
		j.engines = append(j.engines, e)
		s.begin(e)
	}
}

// begin starts a pass where the engine idles.
func (s *sim) begin(e *simEngine) {
	if !math.IsInf(e.endMs, 1) || len(e.reads) == 0 && len(e.writers) == 0 {
		return
	}
	context, steps := 0, 1
	for _, w := range e.writers {
		context += w.prompt
	}
	if len(e.writers) > 0 {
		steps = e.f.Stride
	}
	ms := e.f.PassMs(len(e.writers), context)
	budget := float64(steps * e.f.ChunkTokens)
	for len(e.reads) > 0 && budget > 0 {
		p := e.reads[0]
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
		e.read = append(e.read, p)
		e.reads = e.reads[1:]
	}
	e.endMs = s.now + ms*e.slow
}

func (s *sim) endPass(e *simEngine) {
	e.endMs = math.Inf(1)
	for _, w := range slices.Clone(e.writers) {
		s.emit(e, w)
	}
	read := e.read
	e.read = nil
	for _, p := range read {
		p.job.parts--
		if p.job.parts == 0 && !p.job.done && !p.job.failed {
			s.first(p.job)
		}
	}
	s.begin(e)
}

// first emits a job's first event at its receiver.
func (s *sim) first(j *simJob) {
	e := j.engines[0]
	j.started = true
	j.lastMs, j.firstMs = s.now, s.now
	if s.now-j.at > j.kind.goalMs {
		j.late = true
	}
	e.writers = append(e.writers, j)
	s.d.Began(s.time(), j.id)
	j.emitted = 1
	s.end(e, j)
	if len(e.read) == 0 {
		s.begin(e)
	}
}

func (s *sim) emit(e *simEngine, j *simJob) {
	if s.now-j.lastMs > j.kind.gapMs {
		j.late = true
	}
	j.lastMs = s.now
	j.emitted++
	s.end(e, j)
}

func (s *sim) end(e *simEngine, j *simJob) {
	if j.emitted < j.events {
		return
	}
	j.done = true
	s.drop(e, j)
	s.d.Finished(s.time(), j.id, Served, "")
}

func (s *sim) drop(e *simEngine, j *simJob) {
	e.writers = slices.DeleteFunc(e.writers, func(w *simJob) bool { return w == j })
}

// leave takes out the jobs whose callers have gone.
func (s *sim) leave() {
	s.active = slices.DeleteFunc(s.active, func(j *simJob) bool { return j.done || j.failed })
	for _, j := range s.active {
		since := j.at
		if j.started {
			since = j.lastMs
		}
		if s.now-since <= j.kind.patienceMs() && s.now-j.at <= j.kind.deadline {
			continue
		}
		j.failed = true
		for _, e := range j.engines {
			s.drop(e, j)
			e.reads = slices.DeleteFunc(e.reads, func(p *simPart) bool { return p.job == j })
		}
		s.d.Finished(s.time(), j.id, Abandoned, "")
	}
}

// simResult sums up a day.
type simResult struct {
	// worth is the share of the worth that was earned; kinds has it by kind.
	worth float64
	kinds map[string]float64
	// served is the share that was answered in whole, by kind.
	served map[string]float64
	// windows is the mean of the two worst spans of two seconds.
	windows float64
	refused int
}

func (s *sim) result() simResult {
	const span = 2000.0
	r := simResult{kinds: make(map[string]float64), served: make(map[string]float64), refused: s.refused}
	owed, earned, count := map[string]float64{}, map[string]float64{}, map[string]float64{}
	spanOwed, spanEarned := map[int]float64{}, map[int]float64{}
	var all, got float64
	for _, j := range s.jobs {
		v := 0.0
		if j.done {
			r.served[j.kind.name]++
			v = j.kind.worth
			if j.late {
				v = j.kind.late
			}
		}
		count[j.kind.name]++
		owed[j.kind.name] += j.kind.worth * j.value
		earned[j.kind.name] += v * j.value
		all += j.kind.worth * j.value
		got += v * j.value
		spanOwed[int(j.at/span)] += j.kind.worth * j.value
		spanEarned[int(j.at/span)] += v * j.value
	}
	for k := range owed {
		r.kinds[k] = earned[k] / owed[k]
		r.served[k] /= count[k]
	}
	r.worth = got / all
	spans := make([]float64, 0, len(spanOwed))
	for k, o := range spanOwed {
		spans = append(spans, spanEarned[k]/o)
	}
	slices.Sort(spans)
	r.windows = (spans[0] + spans[1]) / 2
	return r
}

// playSwing plays a day whose load swings, and returns its result.
func playSwing(seed uint64, cfg Config, load float64, shortFirst, naive bool) simResult {
	s := newSim(seed, cfg, 18)
	s.naive = naive
	s.arrivals(simKinds(), swing(shortFirst), load, 24000)
	s.run()
	return s.result()
}
