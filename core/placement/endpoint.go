package placement

import (
	"math"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

const (
	// minSpeedSampleTokens is the smallest prefill, in tokens, that is used as a
	// sample of the endpoint's speed: for smaller ones, fixed costs distort the
	// rate.
	minSpeedSampleTokens = 1024
	// highRateTime is the time constant over which the rate of high-priority
	// prefill decays.
	highRateTime = 30 * time.Second
	// intervalGain is the weight of one answer in the moving average of the
	// token interval.
	intervalGain = 0.1
)

// pendingPrompt is a prompt sent by this VM that has no first token yet.
type pendingPrompt struct {
	sentAt   time.Time
	work     int64
	need     int64
	priority wire.Priority
	// nominalSeconds is the predicted time for its prefill and the prefill ahead
	// of it at the nominal rate.
	nominalSeconds float64
	running        int
	// memoryBound is set when the prompt was predicted to wait for memory.
	memoryBound bool
	// overtakeLimit is the value of Endpoint.highSent up to which high-priority
	// prefill may overtake the prompt.
	overtakeLimit int64
}

// Endpoint is one VM's model of an endpoint. It is not safe for concurrent use.
type Endpoint struct {
	ID string
	// Prefixes is the predicted content of the prefix cache.
	Prefixes *Prefixes

	cfg         Config
	nominalRate float64
	memory      int64
	running     int
	speed       speed
	ledger      ledger
	pending     map[string]pendingPrompt
	// inFlight is the KV memory, in tokens, of each of this VM's attempts that
	// has not ended, and inFlightSum its sum.
	inFlight    map[string]int64
	inFlightSum int64
	// pendingLow is the number of pending low-priority prompts.
	pendingLow int
	// minOvertakeLimit is the smallest overtakeLimit among them.
	minOvertakeLimit int64
	// highSent is the total high-priority prefill sent by this VM, in tokens.
	highSent int64
	// highRate is the decayed rate of high-priority prefill sent by all VMs, in
	// tokens per second, as of highRateAt in nanoseconds since the epoch.
	highRate   float64
	highRateAt int64
	// tokenInterval is the moving average of the time between two output tokens,
	// in seconds; zero until the first answer.
	tokenInterval float64
}

// NewEndpoint returns the model of an endpoint before its first load report,
// from its KV memory in tokens and its expected prefill rate in tokens per
// second; a rate of zero or less selects Config.DefaultRate.
func NewEndpoint(cfg Config, id string, memory int64, rate float64) *Endpoint {
	if rate <= 0 {
		rate = cfg.DefaultRate
	}
	return &Endpoint{
		ID:          id,
		Prefixes:    NewPrefixes(),
		cfg:         cfg,
		nominalRate: rate,
		memory:      memory,
		speed:       newSpeed(),
		pending:     make(map[string]pendingPrompt),
		inFlight:    make(map[string]int64),
	}
}

// rate returns the current estimate of the prefill rate, in tokens per second.
func (e *Endpoint) rate() float64 { return e.nominalRate / e.speed.slowdown(e.running) }

// Report applies a load report that was received at now.
func (e *Endpoint) Report(now time.Time, r wire.LoadReport) {
	if r.PrefillRate > 0 {
		e.nominalRate = r.PrefillRate
	}
	if r.TotalTokens > 0 {
		e.memory = r.TotalTokens
	}
	e.running = r.Running
	e.ledger.report(now, time.UnixMilli(r.AtMs), r.QueuedTokens, r.TotalTokens-r.FreeTokens, e.rate())
}

// Sent records an attempt that this VM sent at the given priority. It returns
// the prefill that the endpoint is expected to compute for it, in tokens.
func (e *Endpoint) Sent(now time.Time, attempt string, p *Prompt, priority wire.Priority) int64 {
	rate := e.rate()
	e.ledger.advance(now, rate)
	work := max(1, p.Tokens-e.Prefixes.Cached(now, p.Blocks))
	ahead := e.ledger.queued[wire.PriorityHigh]
	if priority == wire.PriorityLow {
		ahead += e.ledger.queued[wire.PriorityLow]
	}
	e.pending[attempt] = pendingPrompt{
		sentAt: now, work: work, need: p.Need(), priority: priority,
		nominalSeconds: (ahead + float64(work)) / e.nominalRate,
		running:        e.running,
		memoryBound:    e.held()+p.Need() > e.memory,
		overtakeLimit:  e.highSent + int64(e.cfg.OvertakeFactor*float64(p.Tokens)),
	}
	e.inFlight[attempt] += p.Need()
	e.inFlightSum += p.Need()
	e.ledger.send(sendRecord{now, work, p.Need(), priority}, rate)
	e.recordHigh(now, work, priority)
	if priority == wire.PriorityLow {
		e.pendingLow++
		e.updateOvertakeLimit()
	} else {
		e.highSent += work
	}
	return work
}

// Reserved records memory, in tokens, that was reserved at the endpoint for the
// attempt; Ended releases it.
func (e *Endpoint) Reserved(now time.Time, attempt string, tokens int64) {
	e.inFlightSum += tokens
	e.inFlight[attempt] += tokens
	e.ledger.send(sendRecord{at: now, need: tokens}, e.rate())
}

// held returns the memory in use or waited for, in tokens.
func (e *Endpoint) held() int64 {
	return max(e.ledger.held+e.ledger.heldSince, e.inFlightSum)
}

// PeerSent records, from a peer's digest, the prefill that the peer sent to the
// endpoint and the change of the memory that the peer holds there, both in
// tokens. Entries not newer than the last load report are ignored.
func (e *Endpoint) PeerSent(at time.Time, work, need int64, priority wire.Priority) {
	if !at.After(e.ledger.reported) {
		return
	}
	e.ledger.send(sendRecord{at, work, need, priority}, e.rate())
	e.recordHigh(at, work, priority)
}

// recordHigh adds high-priority prefill to highRate.
func (e *Endpoint) recordHigh(now time.Time, work int64, priority wire.Priority) {
	e.decayHigh(now)
	if priority == wire.PriorityHigh {
		e.highRate += float64(work) / highRateTime.Seconds()
	}
}

func (e *Endpoint) decayHigh(now time.Time) {
	elapsed := now.UnixNano() - e.highRateAt
	if elapsed <= 0 {
		return
	}
	e.highRateAt += elapsed
	// A linear step approximates the exponential decay: it is exact to first
	// order and avoids a call to math.Exp.
	e.highRate *= max(0, 1-float64(elapsed)/float64(highRateTime))
}

// FirstToken records the attempt's first token and, where the attempt is a valid
// sample, updates the estimate of the endpoint's speed.
func (e *Endpoint) FirstToken(now time.Time, attempt string) {
	p, ok := e.removePending(attempt)
	if !ok {
		return
	}
	e.ledger.prefillCompleted(p.sentAt, p.priority)
	// Other prompts are no samples: an unknown amount of prefill overtakes a
	// low-priority prompt, and a memory-bound prompt does not wait for prefill.
	if p.priority == wire.PriorityHigh && p.work >= minSpeedSampleTokens && !p.memoryBound {
		e.speed.observe(now.Sub(p.sentAt).Seconds()/p.nominalSeconds, p.running)
	}
}

// Ended records that the attempt ended, with or without a first token. It
// returns the memory that the attempt held, in tokens.
func (e *Endpoint) Ended(now time.Time, attempt string) int64 {
	if p, ok := e.removePending(attempt); ok {
		e.ledger.withdraw(p.sentAt, p.work, p.priority)
	}
	need := e.inFlight[attempt]
	delete(e.inFlight, attempt)
	if need > 0 {
		e.inFlightSum -= need
		e.ledger.send(sendRecord{at: now, need: -need}, e.rate())
	}
	return need
}

func (e *Endpoint) removePending(attempt string) (pendingPrompt, bool) {
	p, ok := e.pending[attempt]
	if !ok {
		return p, false
	}
	delete(e.pending, attempt)
	if p.priority == wire.PriorityLow {
		e.pendingLow--
		e.updateOvertakeLimit()
	}
	return p, true
}

// ObserveAnswer records a complete answer: the number of tokens after the first, and
// the time they took.
func (e *Endpoint) ObserveAnswer(tokens int64, took time.Duration) {
	if tokens <= 0 {
		return
	}
	interval := took.Seconds() / float64(tokens)
	if e.tokenInterval == 0 {
		e.tokenInterval = interval
	}
	e.tokenInterval += intervalGain * (interval - e.tokenInterval)
}

// View returns the inputs for placing the prompt at now.
func (e *Endpoint) View(now time.Time, p *Prompt) View {
	rate := e.rate()
	e.ledger.advance(now, rate)
	e.decayHigh(now)
	v := View{
		ID:                e.ID,
		Rate:              rate,
		Memory:            e.memory,
		Held:              e.held(),
		Cached:            e.Prefixes.Cached(now, p.Blocks),
		WaitingLow:        e.pendingLow,
		HighShare:         min(e.highRate/rate, maxHighShare),
		OvertakeExhausted: e.overtakeExhausted(),
		TokenInterval:     e.tokenInterval,
	}
	for i, q := range e.ledger.queued {
		v.Queued[i] = int64(q)
	}
	if v.WaitingLow == 0 && v.Queued[wire.PriorityLow] > 0 {
		v.WaitingLow = 1
	}
	return v
}

// overtakeExhausted reports whether a pending low-priority prompt has been
// overtaken up to its limit.
func (e *Endpoint) overtakeExhausted() bool {
	return e.pendingLow > 0 && e.cfg.OvertakeFactor > 0 && e.highSent >= e.minOvertakeLimit
}

// updateOvertakeLimit recomputes the smallest overtakeLimit of the pending
// low-priority prompts.
func (e *Endpoint) updateOvertakeLimit() {
	e.minOvertakeLimit = math.MaxInt64
	for _, p := range e.pending {
		if p.priority == wire.PriorityLow {
			e.minOvertakeLimit = min(e.minOvertakeLimit, p.overtakeLimit)
		}
	}
}
