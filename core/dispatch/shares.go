package dispatch

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
	"cornelsaddle.example/cornelsaddle/core/fairshare"
)

const (
	// defaultHolding is the work of a call of a plain service that has not served any yet.
	defaultHolding = 50 * time.Millisecond
	// urgentMargin is the share of jobs by which a more urgent band must have been served more often
	// than a less urgent one that goes before it: the waiting jobs of the latter count as not
	// served, though most will be. With a margin of 0.03, short prompts are served less often than
	// those of 45,000 tokens.
	urgentMargin = 0.25
	// maxReturns is the number of organisations of a service for which the time of the next
	// return is kept; those in the past are dropped above it.
	maxReturns = 256
)

// shares is the state of fair queueing at a service.
type shares struct {
	ledger *fairshare.Ledger
	// returnAt is when the next refused caller of an organisation is told to come back.
	returnAt map[string]time.Time

	// bands counts the jobs by urgencyBand.
	bands [urgencyBands]bandCounts

	// The rest holds for one call of Decide. waiting are the organisations with queued jobs,
	// total is the work that all have received, and allowance the part of it above which an
	// organisation counts as over its share. capacity is the work that the endpoints do in a second.
	waiting   []string
	total     time.Duration
	allowance time.Duration
	active    int
	capacity  float64
	// queued is the work by organisation that was received or is that of queued jobs passed so far,
	// held is that of the jobs that are held, and heldBy the same by organisation.
	queued map[string]*time.Duration
	heldBy map[string]time.Duration
	held   time.Duration
	// longPriority is the lowest aged priority of the waiting long prompts within their shares;
	// -1 while they don't go before short ones of organisations over their shares.
	longPriority int
	// urgentBand is the least urgent band of the waiting short prompts.
	urgentBand int
	// urgentServed is the least served share of the bands of waiting short prompts, and longServed
	// the largest one of those of waiting long prompts within their shares.
	urgentServed, longServed float64
	// pending is the job closest to the front that is not due for its recheck.
	pending *queuedJob
}

// urgencyBands is the number of bands by which the jobs of a service are counted; urgencyBand returns
// that of a job.
const urgencyBands = 24

// bandCounts has the rates of the jobs of one band that arrive and of those that are placed.
type bandCounts struct{ arrived, placed rate }

// urgencyBand returns the power-of-two band, in ms, of the time from a job's arrival to its goal, or to
// its deadline if it has no goal. A lower band is more urgent.
func urgencyBand(j *Job) int {
	until := j.Due
	if until.IsZero() {
		until = j.Deadline
	}
	return min(bits.Len64(uint64(max(0, until.Sub(j.Arrived).Milliseconds()))), urgencyBands-1)
}

func (s *shares) bandOf(j *Job) *bandCounts { return &s.bands[urgencyBand(j)] }

// served returns the share of the jobs of the band that were placed lately; nearly one for few jobs.
func (b *bandCounts) served(now time.Time) float64 {
	least := 1 / fairshare.Window.Seconds()
	return (b.placed.current(now, fairshare.Window) + least) / (b.arrived.current(now, fairshare.Window) + least)
}

func (d *Dispatcher) sharesOf(service string) *shares {
	s := d.shares[service]
	if s == nil {
		s = &shares{
			ledger: fairshare.New(), returnAt: make(map[string]time.Time),
			queued: make(map[string]*time.Duration), heldBy: make(map[string]time.Duration),
		}
		d.shares[service] = s
	}
	return s
}

// work returns the expected work of a job, as time of one endpoint slot of a plain service, or
// of one engine: its prefill, and its part of the decode passes of an engine with all slots
// in use.
func (d *Dispatcher) work(j *Job) time.Duration {
	f := d.services[j.Service]
	if f == nil {
		if mean := d.demandOf(j.Service).holding.mean; mean > 0 {
			return mean
		}
		return defaultHolding
	}
	decodeMs := float64(f.Events(j.AnswerTokens)) * f.PassMs(f.Slots, 0) / float64(max(1, f.Slots))
	return engine.Duration(f.PrefillMs(j.PromptTokens, 1) + decodeMs)
}

// countWork counts the work of a job that has been placed now.
func (d *Dispatcher) countWork(now time.Time, p *placedJob) {
	if !d.cfg.FairShares || p.work != 0 {
		return
	}
	p.work, p.countedAt = d.work(&p.Job), now
	d.sharesOf(p.Service).ledger.Add(now, p.Owner, p.Organisation, p.work)
}

// uncountWork takes back the work of a job that did not run.
func (d *Dispatcher) uncountWork(p *placedJob) {
	if p.work != 0 {
		d.sharesOf(p.Service).ledger.Add(p.countedAt, p.Owner, p.Organisation, -p.work)
	}
}

// countPlacement counts a queued job that is placed, with its work.
func (d *Dispatcher) countPlacement(now time.Time, p *placedJob) {
	if d.cfg.FairShares {
		d.countWork(now, p)
		d.sharesOf(p.Service).bandOf(&p.Job).placed.add(now, fairshare.Window, 1)
	}
}

// countArrival counts a job that is submitted.
func (d *Dispatcher) countArrival(now time.Time, j *Job) {
	if d.cfg.FairShares {
		d.sharesOf(j.Service).bandOf(j).arrived.add(now, fairshare.Window, 1)
	}
}

// CountAdopted counts the work of an adopted job, unless it is counted already. It is called for
// the jobs of this dispatcher's own VM; the work of other VMs' jobs comes with their shares.
func (d *Dispatcher) CountAdopted(now time.Time, key JobKey) {
	if p := d.placed[key]; p != nil {
		d.countWork(now, p)
	}
}

// Shares returns the work at a service that the requests of a VM have received by organisation,
// the largest first; nil without FairShares.
func (d *Dispatcher) Shares(now time.Time, service, owner string) []fairshare.Share {
	s := d.shares[service]
	if s == nil {
		return nil
	}
	return s.ledger.Summary(now, owner)
}

// AddShares adds the work that another VM has counted of its own requests.
func (d *Dispatcher) AddShares(now time.Time, service, owner string, list []fairshare.Share) {
	if d.cfg.FairShares && len(list) > 0 {
		d.sharesOf(service).ledger.Merge(now, owner, list)
	}
}

// orderByShares puts, within each rank and aged priority of the sorted queue, the jobs behind
// the others whose organisations have received more than their share, those with the most
// above it last, and as far as setLongPriorities says also behind those of later ranks. The
// jobs before it of the same organisation count as received, so that a queue of one
// organisation does not get ahead of the others as a whole.
func (d *Dispatcher) orderByShares(now time.Time) {
	if !d.cfg.FairShares {
		return
	}
	d.startShares(now)
	for _, q := range d.queue {
		tag := q.shares.queued[q.Organisation]
		q.over = max(0, *tag-q.shares.allowance)
		*tag += q.work
	}
	d.setLongPriorities(now)
	for _, q := range d.queue {
		q.behindLong = q.goesBehindLong()
	}
	slices.SortStableFunc(d.queue, func(a, b *queuedJob) int {
		return cmp.Or(
			cmp.Compare(boolRank(a.behindLong), boolRank(b.behindLong)),
			cmp.Compare(a.sortRank, b.sortRank),
			cmp.Compare(a.agedPriority, b.agedPriority),
			cmp.Compare(a.over, b.over),
			cmp.Compare(a.prefillPerValue, b.prefillPerValue),
		)
	})
}

// setLongPriorities decides, for each service, whether long prompts of organisations within their
// shares go before the jobs of those over them: as long as the more urgent bands that wait
// have been served at least as often. Otherwise short prompts of one organisation fill the
// slots of all engines, and no long prompt of another one is served. Long prompts that are as
// urgent as waiting short ones always do, as the largest of their band.
func (d *Dispatcher) setLongPriorities(now time.Time) {
	for _, s := range d.shares {
		s.longPriority, s.urgentServed, s.longServed, s.urgentBand = -1, 1, 0, 0
	}
	for _, q := range d.queue {
		if s := q.shares; q.rank <= rankLightLate && d.services[q.Service] != nil {
			s.urgentServed = min(s.urgentServed, s.bandOf(&q.Job).served(now))
			s.urgentBand = max(s.urgentBand, urgencyBand(&q.Job))
		}
	}
	for _, q := range d.queue {
		s := q.shares
		q.sortRank = q.rank
		switch {
		case q.rank <= rankLightLate || q.over > 0:
		case urgencyBand(&q.Job) <= s.urgentBand:
			// A large prompt of an urgent band.
			q.sortRank = rankLight
		default:
			s.longServed = max(s.longServed, s.bandOf(&q.Job).served(now))
			s.longPriority = max(s.longPriority, q.agedPriority)
		}
	}
	for _, s := range d.shares {
		if s.urgentServed < min(1, s.longServed+urgentMargin) {
			s.longPriority = -1
		}
	}
}

// goesBehindLong reports whether a job goes behind the long prompts of organisations within their
// shares, also if these are of a later rank. It doesn't if its priority is higher.
func (q *queuedJob) goesBehindLong() bool {
	p := q.shares.longPriority
	return q.over > 0 && p >= 0 && q.agedPriority >= p
}

// startShares begins a call of Decide.
func (d *Dispatcher) startShares(now time.Time) {
	for _, s := range d.shares {
		s.waiting, s.held, s.pending = s.waiting[:0], 0, nil
		clear(s.queued)
		clear(s.heldBy)
	}
	for _, q := range d.queue {
		if q.shares == nil {
			q.shares = d.sharesOf(q.Service)
		}
		if q.work == 0 || d.services[q.Service] == nil {
			q.work = d.work(&q.Job)
		}
		if s := q.shares; s.queued[q.Organisation] == nil {
			received := s.ledger.Received(now, q.Organisation)
			s.queued[q.Organisation] = &received
			s.waiting = append(s.waiting, q.Organisation)
		}
	}
	for service, s := range d.shares {
		if len(s.waiting) == 0 {
			continue
		}
		s.total, s.active = s.ledger.Total(now), s.ledger.Active(s.waiting)
		// Nearly twice the share among many, as one prompt of 220,000 tokens is most of a share.
		s.allowance = time.Duration(s.total.Seconds() / float64(s.active) * (2 - 1/float64(s.active)) * float64(time.Second))
		s.capacity = d.capacity(service)
	}
}

// capacity returns the work that the endpoints of a service do in a second, at most.
func (d *Dispatcher) capacity(service string) float64 {
	pool := d.pools[service]
	if d.services[service] != nil {
		return float64(len(pool))
	}
	slots := 0
	for _, e := range pool {
		slots += max(1, e.Slots)
	}
	return float64(slots)
}

// rateOf returns the work that an organisation gets in a second: an equal part, or what the
// others leave.
func (s *shares) rateOf(now time.Time, organisation string) float64 {
	others := s.total - s.ledger.Received(now, organisation)
	return max(s.capacity/float64(s.active), s.capacity-others.Seconds()/fairshare.Window.Seconds())
}

// wait returns the least time until a job's turn comes, behind the jobs that are held before
// it, and for a job over its share behind those of its organisation.
func (s *shares) wait(now time.Time, q *queuedJob) time.Duration {
	if s.capacity == 0 {
		return 0
	}
	wait := time.Duration(float64(s.held) / s.capacity)
	if q.over > 0 {
		wait = max(wait, time.Duration(float64(s.heldBy[q.Organisation])/s.rateOf(now, q.Organisation)))
	}
	return wait
}

// yields reports whether a job that is over its share is held until a long prompt before it, which is
// not due for its recheck, has been tried. Otherwise the jobs of a large organisation would take
// each slot that becomes free between two rechecks. A job yields once in a row.
func (d *Dispatcher) yields(q *queuedJob) bool {
	if !d.cfg.FairShares || q.over == 0 {
		return false
	}
	p := q.shares.pending
	if q.yielded || p == nil || p.over >= q.over || p.sortRank != q.sortRank && !q.behindLong {
		q.yielded = false
		return false
	}
	q.yielded, q.recheckAt = true, p.recheckAt
	return true
}

// hold counts a job that is held.
func (s *shares) hold(now time.Time, q *queuedJob) {
	s.held += q.work
	s.heldBy[q.Organisation] += q.work
	if s.pending == nil && now.Before(q.recheckAt) {
		s.pending = q
	}
}

// holdByShare counts a job that is held, or refuses it if its turn would come too late.
func (d *Dispatcher) holdByShare(now time.Time, q *queuedJob) (Decision, bool) {
	if !d.cfg.FairShares {
		return Decision{}, false
	}
	s := q.shares
	latest := d.latestShare(&q.Job)
	switch margin := latest.Sub(q.Arrived) / turnTolerance; {
	case q.heldByShare:
		latest = latest.Add(margin)
	case q.over > 0 && d.services[q.Service] == nil:
		// The calls of other organisations that will arrive go before this one.
		latest = latest.Add(-margin)
	}
	if now.Add(s.wait(now, q)).After(latest) {
		return refuseTooLate(&q.Job, refusalRetryAfter), true
	}
	q.heldByShare = true
	s.hold(now, q)
	return Decision{}, false
}

// latestShare returns the time after which a job need not be placed: a call at its refusal time, and
// a prompt when it can no longer begin by its cutoff.
func (d *Dispatcher) latestShare(job *Job) time.Time {
	if d.services[job.Service] == nil {
		return d.refusalTime(job)
	}
	return d.latestStart(job)
}

// explainRefusal tells in the refusal of a job that comes too late whether its organisation is over
// its share, and when its caller may come back: one caller of an organisation after the other,
// at the rate at which it is served.
func (d *Dispatcher) explainRefusal(now time.Time, q *queuedJob, r *Refusal) {
	if !d.cfg.FairShares || r.Reason != ReasonTooLate {
		return
	}
	s := q.shares
	if q.over > 0 {
		r.Reason = ReasonOverShare
		if s.total > 0 {
			r.Received = s.ledger.Received(now, q.Organisation).Seconds() / s.total.Seconds()
		}
		r.Share = 1 / float64(s.active)
	}
	r.RetryAfter = s.nextReturn(now, q, max(r.RetryAfter, s.wait(now, q)))
}

// nextReturn returns the time after which the caller of a refused job is told to come back, not
// before the given one.
func (s *shares) nextReturn(now time.Time, q *queuedJob, after time.Duration) time.Duration {
	at := returnTime(now, s.returnAt[q.Organisation], after)
	if len(s.returnAt) >= maxReturns {
		for o, t := range s.returnAt {
			if t.Before(now) || len(s.returnAt) >= 2*maxReturns {
				delete(s.returnAt, o)
			}
		}
	}
	if s.capacity > 0 {
		s.returnAt[q.Organisation] = at.Add(time.Duration(float64(q.work) / s.rateOf(now, q.Organisation)))
	}
	return at.Sub(now)
}
