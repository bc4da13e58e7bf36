package placement

import (
	"math"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// minObserved is the least prefill, in tokens, whose first token teaches
	// the endpoint's speed: below it, fixed costs blur the rate.
	minObserved = 1024
	// shareTime is the time constant of the share that prompts of high
	// priority take.
	shareTime = 30 * time.Second
	// intervalGain is the weight of one answer in the learnt token interval.
	intervalGain = 0.1
)

// pendingPrompt is a prompt of this VM that has no first token yet.
type pendingPrompt struct {
	at       time.Time
	work     int64
	need     int64
	priority wire.Priority
	// nominal is the predicted time of its prefill and of that ahead of it at
	// the nominal rate, in seconds.
	nominal float64
	running int
	// crowded says that it had to wait for memory, by prediction.
	crowded bool
	// allowance is the count of high-priority tokens up to which it may be
	// overtaken.
	allowance int64
}

// Endpoint is what one VM knows of one endpoint. It is not safe for concurrent
// use.
type Endpoint struct {
	ID string
	// Prefixes is what is believed of the prefix cache.
	Prefixes *Prefixes

	cfg     Config
	nominal float64
	memory  int64
	running int
	speed   speed
	ledger  ledger
	pending map[string]pendingPrompt
	// inFlight is the memory of the attempts of this VM that have not ended,
	// in tokens, and inFlightSum its sum.
	inFlight    map[string]int64
	inFlightSum int64
	// waitingLow counts the pending prompts of low priority.
	waitingLow int
	// leastAllowance is the least allowance among them.
	leastAllowance int64
	// overtaken is the prefill of high priority that this VM sent, in all.
	overtaken int64
	// highRate is the decayed rate of prefill of high priority sent, in tokens
	// a second, at highRateAt in nanoseconds since the epoch.
	highRate   float64
	highRateAt int64
	// interval is the learnt time between two tokens, in seconds; zero until an
	// answer has shown it.
	interval float64
}

// NewEndpoint returns what is known of an endpoint before its first report:
// its KV memory in tokens, and the expected prefill speed in tokens a second,
// zero for the default.
func NewEndpoint(cfg Config, id string, memory int64, rate float64) *Endpoint {
	if rate <= 0 {
		rate = cfg.DefaultRate
	}
	return &Endpoint{
		ID:       id,
		Prefixes: NewPrefixes(),
		cfg:      cfg,
		nominal:  rate,
		memory:   memory,
		speed:    newSpeed(),
		pending:  make(map[string]pendingPrompt),
		inFlight: make(map[string]int64),
	}
}

// rate is the learnt prefill speed now, in tokens a second.
func (e *Endpoint) rate() float64 { return e.nominal / e.speed.slowness(e.running) }

// Report takes a load report that arrived at now.
func (e *Endpoint) Report(now time.Time, r wire.LoadReport) {
	if r.PrefillRate > 0 {
		e.nominal = r.PrefillRate
	}
	if r.TotalTokens > 0 {
		e.memory = r.TotalTokens
	}
	e.running = r.Running
	e.ledger.report(now, time.UnixMilli(r.AtMs), r.QueuedTokens, r.TotalTokens-r.FreeTokens, e.rate())
}

// Sent notes an attempt of this VM that was sent at the priority. It returns the
// prefill that the endpoint is expected to compute for it, in tokens.
func (e *Endpoint) Sent(now time.Time, attempt string, p *Prompt, priority wire.Priority) int64 {
	rate := e.rate()
	e.ledger.advance(now, rate)
	work := max(1, p.Tokens-e.Prefixes.Cached(now, p.Blocks))
	ahead := e.ledger.queued[wire.PriorityHigh]
	if priority == wire.PriorityLow {
		ahead += e.ledger.queued[wire.PriorityLow]
	}
	e.pending[attempt] = pendingPrompt{
		at: now, work: work, need: p.Need(), priority: priority,
		nominal:   (ahead + float64(work)) / e.nominal,
		running:   e.running,
		crowded:   e.held()+p.Need() > e.memory,
		allowance: e.overtaken + int64(e.cfg.OvertakeFactor*float64(p.Tokens)),
	}
	e.inFlight[attempt] += p.Need()
	e.inFlightSum += p.Need()
	e.ledger.send(sendRecord{now, work, p.Need(), priority}, rate)
	e.countHigh(now, work, priority)
	if priority == wire.PriorityLow {
		e.waitingLow++
		e.allow()
	} else {
		e.overtaken += work
	}
	return work
}

// Reserved notes memory, in tokens, that was set aside for the attempt at the
// endpoint; Ended gives it back.
func (e *Endpoint) Reserved(now time.Time, attempt string, tokens int64) {
	e.inFlightSum += tokens
	e.inFlight[attempt] += tokens
	e.ledger.send(sendRecord{at: now, need: tokens}, e.rate())
}

// held is the memory that is taken or waited for, in tokens.
func (e *Endpoint) held() int64 {
	return max(e.ledger.held+e.ledger.heldSince, e.inFlightSum)
}

// PeerSent notes, from a peer's digest, prefill that was sent to the endpoint
// and by how much the memory that the peer holds there changed, in tokens.
func (e *Endpoint) PeerSent(at time.Time, work, need int64, priority wire.Priority) {
	if !at.After(e.ledger.reported) {
		return
	}
	e.ledger.send(sendRecord{at, work, need, priority}, e.rate())
	e.countHigh(at, work, priority)
}

// countHigh feeds the share that prompts of high priority take.
func (e *Endpoint) countHigh(now time.Time, work int64, priority wire.Priority) {
	e.decayHigh(now)
	if priority == wire.PriorityHigh {
		e.highRate += float64(work) / shareTime.Seconds()
	}
}

func (e *Endpoint) decayHigh(now time.Time) {
	passed := now.UnixNano() - e.highRateAt
	if passed <= 0 {
		return
	}
	e.highRateAt += passed
	// A linear step stands for the exponential: it is exact to first order and
	// costs no call.
	e.highRate *= max(0, 1-float64(passed)/float64(shareTime))
}

// FirstToken notes the attempt's first token: it teaches the endpoint's speed.
func (e *Endpoint) FirstToken(now time.Time, attempt string) {
	p, ok := e.take(attempt)
	if !ok {
		return
	}
	e.ledger.computed(p.at, p.priority)
	// A prompt of low priority is overtaken by an unknown amount, and one that
	// waits for memory does not wait for prefill.
	if p.priority == wire.PriorityHigh && p.work >= minObserved && !p.crowded {
		e.speed.observe(now.Sub(p.at).Seconds()/p.nominal, p.running)
	}
}

// Ended notes that the attempt ended, with or without a first token. It returns
// the memory that it held, in tokens.
func (e *Endpoint) Ended(now time.Time, attempt string) int64 {
	if p, ok := e.take(attempt); ok {
		e.ledger.withdraw(p.at, p.work, p.priority)
	}
	need := e.inFlight[attempt]
	delete(e.inFlight, attempt)
	if need > 0 {
		e.inFlightSum -= need
		e.ledger.send(sendRecord{at: now, need: -need}, e.rate())
	}
	return need
}

func (e *Endpoint) take(attempt string) (pendingPrompt, bool) {
	p, ok := e.pending[attempt]
	if !ok {
		return p, false
	}
	delete(e.pending, attempt)
	if p.priority == wire.PriorityLow {
		e.waitingLow--
		e.allow()
	}
	return p, true
}

// Answered notes a whole answer of so many tokens after the first, and the
// time that they took.
func (e *Endpoint) Answered(tokens int64, took time.Duration) {
	if tokens <= 0 {
		return
	}
	interval := took.Seconds() / float64(tokens)
	if e.interval == 0 {
		e.interval = interval
	}
	e.interval += intervalGain * (interval - e.interval)
}

// View returns what is known for placing the prompt now.
func (e *Endpoint) View(now time.Time, p *Prompt) View {
	rate := e.rate()
	e.ledger.advance(now, rate)
	e.decayHigh(now)
	v := View{
		ID:            e.ID,
		Rate:          rate,
		Memory:        e.memory,
		Held:          e.held(),
		Cached:        e.Prefixes.Cached(now, p.Blocks),
		Waiting:       e.waitingLow,
		HighShare:     min(e.highRate/rate, maxHighShare),
		Exhausted:     e.exhausted(),
		TokenInterval: e.interval,
	}
	for i, q := range e.ledger.queued {
		v.Queued[i] = int64(q)
	}
	if v.Waiting == 0 && v.Queued[wire.PriorityLow] > 0 {
		v.Waiting = 1
	}
	return v
}

// exhausted reports whether a pending prompt of low priority was overtaken up
// to its bound.
func (e *Endpoint) exhausted() bool {
	return e.waitingLow > 0 && e.cfg.OvertakeFactor > 0 && e.overtaken >= e.leastAllowance
}

// allow finds the pending prompt of low priority that may be overtaken least.
func (e *Endpoint) allow() {
	e.leastAllowance = math.MaxInt64
	for _, p := range e.pending {
		if p.priority == wire.PriorityLow {
			e.leastAllowance = min(e.leastAllowance, p.allowance)
		}
	}
}
