package coordination

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/core/ratelimit"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/gateway"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

const (
	// callTimeout bounds a place or grant call. It is a small part of the tightest
	// latency target, since the VM turns to another holder, or places the job
	// itself, only after it.
	callTimeout = 80 * time.Millisecond
	// maxMisses is the number of consecutive timeouts after which a holder is backed
	// off: the first may be due to a connection that was just opened.
	maxMisses = 2
	// resubmitInterval is the time after which the holder of a queued job is looked up
	// again, and the job is submitted again to another VM.
	resubmitInterval = 250 * time.Millisecond
	// minBackoff is how long an unresponsive holder is not called; it doubles each
	// time the holder is unresponsive again, up to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
)

// Peers makes calls to the other VMs.
type Peers interface {
	Call(ctx context.Context, address string, method peer.Method, params, result any) (peer.Identity, error)
}

// Member is a live VM.
type Member struct {
	VM      string
	Address string
	// Incarnation distinguishes one start of the VM from another; zero as long as it is
	// not known.
	Incarnation int64
	// Leaving is true while the VM is shutting down: it finishes its requests in
	// flight, and is a holder only if no other VM is available.
	Leaving bool
}

// sameInstance reports whether both are the same incarnation of the same VM.
func (m Member) sameInstance(other Member) bool {
	return m.VM == other.VM && m.Incarnation == other.Incarnation && m.Address == other.Address
}

// holderDecision is a decision and the VM that made it.
type holderDecision struct {
	decision dispatch.Decision
	holder   string
	// suspicious is set if the holder asks for the digest of the request when it ends.
	suspicious bool
}

// job is a request of this VM, from its submission to its end.
type job struct {
	dispatch.Job
	decisions chan holderDecision
	// placement is nil while the job is queued.
	placement *dispatch.Placement
	// placedAt is when the placement was received.
	placedAt time.Time
	// began is true once the first event of the response has arrived.
	began bool
	// suspicious is true if the holder has asked for the digest of the request.
	suspicious bool
	// queuedHere is set while this VM's dispatcher is the one at which the job is queued,
	// and withdrawn once it was removed from there for another holder.
	queuedHere, withdrawn bool
}

// Coordinator implements gateway.Placer. It is safe for concurrent use.
type Coordinator struct {
	vm    string
	local *LocalDispatcher
	peers Peers
	log   *event.Logger

	mu      sync.Mutex
	holders holders
	jobs    map[string]*job
	senders map[string]*sender
	// term is incremented with each change of a holder.
	term int64
	// exit is when this VM exits, and stopping is closed once that is known.
	exit     time.Time
	stopping chan struct{}
	// announce tells the other VMs of a verdict of this VM, and announcements are those that
	// it is yet to be called with.
	announce      func(quarantine.Verdict)
	announcements announcements
}

// New returns the Coordinator of the VM, and registers its methods with the mux. It calls
// announce, in a goroutine of its own, with each verdict that the other VMs are to apply.
func New(vm string, local *LocalDispatcher, peers Peers, mux *peer.Mux, log *event.Logger, announce func(quarantine.Verdict)) *Coordinator {
	c := &Coordinator{
		vm:      vm,
		local:   local,
		peers:   peers,
		log:     log,
		holders: newHolders(vm),
		jobs:    make(map[string]*job),
		senders: make(map[string]*sender),

		stopping: make(chan struct{}),
		announce: announce,
	}
	local.setVM(vm)
	local.onDecisions = c.handleDecisions
	local.onFindings = c.handleFindings
	local.onLimitChange = c.logLimitChange
	peer.Register(mux, methodPlace, c.onPlace)
	peer.Register(mux, methodGrant, c.onGrant)
	peer.Register(mux, methodNote, c.onNote)
	return c
}

// Place implements gateway.Placer.
func (c *Coordinator) Place(ctx context.Context, dj dispatch.Job) (gateway.Placed, error) {
	j := &job{Job: dj, decisions: make(chan holderDecision, 1)}
	c.mu.Lock()
	j.OwnerExit = c.exitOf(j)
	c.jobs[dj.ID] = j
	c.mu.Unlock()
	for {
		d, retry, err := c.requestDecision(ctx, j)
		if err != nil {
			c.Finished(dj.ID, dispatch.End{Outcome: dispatch.Abandoned})
			c.withdrawUnused(j, "")
			return gateway.Placed{}, err
		}
		if !retry {
			return c.accept(j, d)
		}
	}
}

// requestDecision submits the job to its holder and waits for the decision. The
// second result is true if the job must be submitted again, to the same holder or
// another one.
func (c *Coordinator) requestDecision(ctx context.Context, j *job) (holderDecision, bool, error) {
	holder := c.holder(j.Service)
	submitted, stop := c.beginSubmission(j)
	if holder.VM == c.vm {
		if !j.queuedHere {
			j.queuedHere = true
			c.local.submit(submitted)
		}
		return c.await(ctx, j, stop)
	}
	c.withdrawLocal(j)
	answer, err := c.submit(ctx, holder, submitted)
	if ctx.Err() != nil {
		return holderDecision{}, false, errors.WithStack(ctx.Err())
	}
	if err != nil {
		c.markUnresponsive(holder, err)
		return holderDecision{}, true, nil
	}
	c.markResponsive(holder)
	if answer.decided() {
		return holderDecision{answer.decision(), holder.VM, answer.Suspicious}, false, nil
	}
	return c.await(ctx, j, stop)
}

// beginSubmission returns the job as it is to be submitted now, and the channel whose close
// makes it necessary to submit it again.
func (c *Coordinator) beginSubmission(j *job) (dispatch.Job, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.Term = c.term
	if exit := c.exitOf(j); !j.OwnerExit.Equal(exit) {
		j.OwnerExit, j.queuedHere = exit, false
	}
	if !c.exit.IsZero() {
		return j.Job, nil
	}
	return j.Job, c.stopping
}

// exitOf returns the time by which the job must be expected to end, as this VM exits then; zero if
// the VM does not stop, or for a request that may have run: a refusal would lose its answer for
// certain, a placement that the exit cuts loses no more. The caller must hold the lock.
func (c *Coordinator) exitOf(j *job) time.Time {
	if j.MayHaveRun {
		return time.Time{}
	}
	return c.exit
}

// withdrawLocal removes a queued job from this VM's dispatcher, as another VM has become the
// holder.
func (c *Coordinator) withdrawLocal(j *job) {
	if !j.queuedHere {
		return
	}
	j.queuedHere, j.withdrawn = false, true
	c.local.applyUpdate(c.vm, jobUpdate{Job: j.ID, Finished: true, Outcome: dispatch.Abandoned})
}

// Stop announces when this VM exits. Its jobs that wait for a placement are submitted again
// with that time, and are refused if they can't end by then.
func (c *Coordinator) Stop(exit time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exit.IsZero() {
		c.exit = exit
		close(c.stopping)
	}
}

// await waits for the decision on a queued job, and reports whether the job must be
// submitted again instead, after resubmitInterval or because this VM stops.
func (c *Coordinator) await(ctx context.Context, j *job, stop <-chan struct{}) (holderDecision, bool, error) {
	timer := time.NewTimer(resubmitInterval)
	defer timer.Stop()
	select {
	case d := <-j.decisions:
		return d, false, nil
	case <-timer.C:
		return holderDecision{}, true, nil
	case <-stop:
		return holderDecision{}, true, nil
	case <-ctx.Done():
		return holderDecision{}, false, errors.WithStack(ctx.Err())
	}
}

// submit calls the holder's place method, once a new holder has got this VM's placed jobs, so
// that it knows what is taken.
func (c *Coordinator) submit(ctx context.Context, holder Member, dj dispatch.Job) (decisionMessage, error) {
	c.awaitTransfer(ctx, holder)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer decisionMessage
	_, err := c.peers.Call(ctx, holder.Address, methodPlace, encodeJob(time.Now(), dj), &answer)
	return answer, err
}

// awaitTransfer waits until this VM's placed jobs have been sent to the holder, if they are on
// their way.
func (c *Coordinator) awaitTransfer(ctx context.Context, holder Member) {
	c.mu.Lock()
	s := c.senders[holder.VM]
	c.mu.Unlock()
	if s != nil {
		s.awaitResets(ctx)
	}
}

// accept applies a decision: it returns a refusal as a RefusedError, and records a
// placement, also with the local dispatcher if another VM decided.
func (c *Coordinator) accept(j *job, d holderDecision) (gateway.Placed, error) {
	if d.decision.Refusal != nil {
		c.mu.Lock()
		delete(c.jobs, j.ID)
		c.mu.Unlock()
		c.withdrawUnused(j, d.holder)
		return gateway.Placed{}, &gateway.RefusedError{Refusal: *d.decision.Refusal, Holder: d.holder}
	}
	placement := *d.decision.Placement
	if d.holder != c.vm && !c.local.endsInTime(j.Job, placement) {
		return gateway.Placed{}, c.declineLate(j)
	}
	c.mu.Lock()
	j.placement, j.placedAt, j.suspicious = &placement, time.Now(), d.suspicious
	update := jobUpdate{Job: j.ID, Adopted: c.encodeAdopted(j)}
	c.mu.Unlock()
	c.withdrawUnused(j, d.holder)
	if d.holder != c.vm || j.withdrawn {
		c.local.applyUpdate(c.vm, update)
	}
	return gateway.Placed{Placement: placement, Holder: d.holder}, nil
}

// declineLate gives up the placement of a job that would not end before this VM exits: its
// holder may be of an earlier build, which doesn't know about that.
func (c *Coordinator) declineLate(j *job) error {
	c.Finished(j.ID, dispatch.End{Outcome: dispatch.Abandoned})
	c.withdrawUnused(j, "")
	refusal := dispatch.Refusal{Job: j.ID, Reason: dispatch.ReasonOwnerStopping, RetryAfter: dispatch.StoppingRetryAfter}
	return &gateway.RefusedError{Refusal: refusal, Holder: c.vm}
}

// withdrawUnused withdraws a placement that an earlier holder granted while the
// holder decidedBy made the decision that counts. Otherwise it would occupy its
// endpoint until it expires. The job must be decided or ended already, so that no
// further decision is delivered to it.
func (c *Coordinator) withdrawUnused(j *job, decidedBy string) {
	var unused holderDecision
	select {
	case unused = <-j.decisions:
	default:
		return
	}
	if unused.decision.Placement == nil || unused.holder == decidedBy {
		return
	}
	update := jobUpdate{Job: j.ID, Finished: true, Outcome: dispatch.Abandoned}
	if unused.holder == c.vm {
		c.local.applyUpdate(c.vm, update)
		return
	}
	c.mu.Lock()
	holder, live := c.holders.member(unused.holder)
	c.mu.Unlock()
	if live {
		c.sender(holder).enqueue(update)
	}
}

// encodeAdopted encodes a placed job for another dispatcher. The caller must hold
// the lock.
func (c *Coordinator) encodeAdopted(j *job) *adoptedJob {
	now := time.Now()
	age := now.Sub(j.placedAt).Microseconds()
	return &adoptedJob{
		Job:       encodeJob(now, j.Job),
		Placement: encodeDecision(dispatch.Decision{Placement: j.placement}),
		Began:     j.began,
		PlacedAge: &age,
	}
}

// Began implements gateway.Placer.
func (c *Coordinator) Began(id string) {
	c.mu.Lock()
	j := c.jobs[id]
	if j != nil {
		j.began = true
	}
	c.mu.Unlock()
	c.notify(j, jobUpdate{Job: id, Began: true})
}

// Answered implements gateway.Placer. The holder gets no message unless the endpoint names
// a limit, or named one before.
func (c *Coordinator) Answered(id string, limit ratelimit.Limit) {
	c.mu.Lock()
	j := c.jobs[id]
	known := j != nil && j.placement != nil && j.placement.Limited
	c.mu.Unlock()
	u := jobUpdate{Job: id, Limit: encodeStated(limit)}
	switch {
	case limit.Stated || known:
		c.notify(j, u)
	case c.local.knowsLimits():
		c.local.applyUpdate(c.vm, u)
	}
}

// Finished implements gateway.Placer.
func (c *Coordinator) Finished(id string, end dispatch.End) {
	c.mu.Lock()
	j := c.jobs[id]
	delete(c.jobs, id)
	c.mu.Unlock()
	if j == nil {
		return
	}
	u := jobUpdate{Job: id, Finished: true, Outcome: end.Outcome, Blamed: end.Blamed, BrokenOff: end.BrokenOff, Digest: end.Digest}
	if end.BrokenOff {
		u.Answered = c.local.answeredBefore(j.Service, end.Digest)
	}
	c.local.applyUpdate(c.vm, u)
	if !end.BrokenOff && !j.suspicious && !c.local.suspicious(j.Service) {
		u.Digest = ""
	}
	c.tellHolder(j, u)
}

// notify applies a job update to the local dispatcher and sends it to the holder.
func (c *Coordinator) notify(j *job, u jobUpdate) {
	if j == nil {
		return
	}
	c.local.applyUpdate(c.vm, u)
	c.tellHolder(j, u)
}

// tellHolder sends a job update to the holder, if that is another VM.
func (c *Coordinator) tellHolder(j *job, u jobUpdate) {
	holder := c.holder(j.Service)
	if holder.VM != c.vm {
		c.sender(holder).enqueue(u)
	}
}

// handleDecisions passes the local dispatcher's decisions to the waiting jobs and
// to the other VMs.
func (c *Coordinator) handleDecisions(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if d.Owner == c.vm {
			c.deliver(holderDecision{decision: d, holder: c.vm})
			continue
		}
		go c.grant(d)
	}
}

// deliver passes the decision to its waiting job, and reports false if there is no
// such job or it has a decision already.
func (c *Coordinator) deliver(d holderDecision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[d.decision.Key().ID]
	if j == nil || j.placement != nil {
		return false
	}
	select {
	case j.decisions <- d:
		return true
	default:
		return false
	}
}

// grant sends a decision to the VM that owns the job. A placement that the owner
// does not confirm is dropped, which frees its slot.
func (c *Coordinator) grant(d dispatch.Decision) {
	c.mu.Lock()
	owner, live := c.holders.member(d.Owner)
	c.mu.Unlock()
	wanted := false
	if live {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var answer grantResponse
		m := encodeDecision(d)
		m.Suspicious = c.local.suspiciousJob(d.Key())
		_, err := c.peers.Call(ctx, owner.Address, methodGrant, m, &answer)
		wanted = err == nil && answer.Wanted
	}
	if !wanted && d.Placement != nil {
		c.local.applyUpdate(d.Owner, jobUpdate{Job: d.Key().ID, Finished: true, Outcome: dispatch.Abandoned})
	}
}

func (c *Coordinator) onPlace(_ context.Context, from peer.Identity, m jobMessage) (decisionMessage, error) {
	// A VM that is not the holder in its own view places with less of the endpoints' limits.
	c.holder(m.Service)
	return c.local.submitRemote(m, from.VM), nil
}

func (c *Coordinator) onGrant(_ context.Context, from peer.Identity, m decisionMessage) (grantResponse, error) {
	return grantResponse{c.deliver(holderDecision{m.decision(), from.VM, m.Suspicious})}, nil
}

func (c *Coordinator) onNote(_ context.Context, from peer.Identity, m updateMessage) (struct{}, error) {
	if m.Reset != nil {
		c.local.dropTerms(from.VM, *m.Reset)
		base := m.ageBase(time.Now())
		c.local.addCrashes(m.Reset.Service, m.Crashes, base)
		c.local.addLimits(m.Limits, from.VM, base)
		c.local.addCosts(m.Reset.Service, from.VM, m.Costs)
		c.local.addShares(m.Reset.Service, from.VM, m.Shares)
	}
	for _, u := range m.Updates {
		c.local.applyUpdate(from.VM, u)
	}
	return struct{}{}, nil
}
