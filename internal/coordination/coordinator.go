package coordination

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/gateway"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

const (
	// askTimeout bounds a question to a holder. It is a small part of the
	// tightest goal, as the VM decides by itself after it.
	askTimeout = 80 * time.Millisecond
	// maxMisses is the number of unanswered questions in a row after which a holder
	// is passed over: the first may have met a connection that was just opened.
	maxMisses = 2
	// askAgain is the time after which a holder is asked about a job that waits.
	askAgain = 250 * time.Millisecond
	// holderPause is how long a holder that did not answer is passed over; it
	// doubles with each further time, up to maxHolderPause.
	holderPause    = time.Second
	maxHolderPause = 8 * time.Second
)

// Peers calls the other VMs.
type Peers interface {
	Call(ctx context.Context, address string, method peer.Method, params, result any) (peer.Identity, error)
}

// Member is a live VM.
type Member struct {
	VM      string
	Address string
	// Incarnation tells one start of the VM from another.
	Incarnation int64
	// Leaving says that the VM stops: it finishes what it has, and holds nothing.
	Leaving bool
}

// same reports whether both are one start of one VM.
func (m Member) same(other Member) bool {
	return m.VM == other.VM && m.Incarnation == other.Incarnation && m.Address == other.Address
}

// verdict is what a waiting request is told.
type verdict struct {
	decision dispatch.Decision
	holder   string
}

// job is one of this VM's, from its submission to its end.
type job struct {
	dispatch.Job
	told chan verdict
	// placement is nil while the job waits.
	placement *dispatch.Placement
	began     bool
}

// Coordinator implements gateway.Placer. It is safe for concurrent use.
type Coordinator struct {
	vm    string
	local *Local
	peers Peers
	log   *event.Logger

	mu      sync.Mutex
	holders holders
	jobs    map[string]*job
	senders map[string]*sender
	// term counts the changes of holders.
	term int64
}

// New returns the Coordinator of the VM, which answers the methods of the mux.
func New(vm string, local *Local, peers Peers, mux *peer.Mux, log *event.Logger) *Coordinator {
	c := &Coordinator{
		vm:      vm,
		local:   local,
		peers:   peers,
		log:     log,
		holders: newHolders(vm),
		jobs:    make(map[string]*job),
		senders: make(map[string]*sender),
	}
	local.told = c.decided
	peer.Register(mux, methodPlace, c.onPlace)
	peer.Register(mux, methodGrant, c.onGrant)
	peer.Register(mux, methodNote, c.onNote)
	return c
}

// Place implements gateway.Placer.
func (c *Coordinator) Place(ctx context.Context, dj dispatch.Job) (gateway.Placed, error) {
	j := &job{Job: dj, told: make(chan verdict, 1)}
	c.mu.Lock()
	c.jobs[dj.ID] = j
	c.mu.Unlock()
	for {
		v, again, err := c.ask(ctx, j)
		if err != nil {
			c.Finished(dj.ID, dispatch.Abandoned, "")
			return gateway.Placed{}, err
		}
		if !again {
			return c.accept(j, v)
		}
	}
}

// ask submits the job to its holder and waits for the verdict. again says that
// the holder is to be asked once more, or another one.
func (c *Coordinator) ask(ctx context.Context, j *job) (verdict, bool, error) {
	holder := c.holder(j.Service)
	c.mu.Lock()
	j.Term = c.term
	c.mu.Unlock()
	if holder.VM == c.vm {
		c.local.submit(j.Job)
		return c.await(ctx, j, 0)
	}
	answer, err := c.submit(ctx, holder, j.Job)
	if ctx.Err() != nil {
		return verdict{}, false, errors.WithStack(ctx.Err())
	}
	if err != nil {
		c.lost(holder, err)
		return verdict{}, true, nil
	}
	c.answered(holder)
	if answer.decided() {
		return verdict{answer.decision(), holder.VM}, false, nil
	}
	return c.await(ctx, j, askAgain)
}

// await waits for the verdict on a queued job; zero for as long as it takes.
func (c *Coordinator) await(ctx context.Context, j *job, limit time.Duration) (verdict, bool, error) {
	var expired <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case v := <-j.told:
		return v, false, nil
	case <-expired:
		return verdict{}, true, nil
	case <-ctx.Done():
		return verdict{}, false, errors.WithStack(ctx.Err())
	}
}

// submit asks a holder for a place.
func (c *Coordinator) submit(ctx context.Context, holder Member, dj dispatch.Job) (decisionMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer decisionMessage
	_, err := c.peers.Call(ctx, holder.Address, methodPlace, encodeJob(time.Now(), dj), &answer)
	return answer, err
}

// accept books a verdict.
func (c *Coordinator) accept(j *job, v verdict) (gateway.Placed, error) {
	if v.decision.Refusal != nil {
		c.mu.Lock()
		delete(c.jobs, j.ID)
		c.mu.Unlock()
		return gateway.Placed{}, &gateway.RefusedError{Refusal: *v.decision.Refusal, Holder: v.holder}
	}
	placement := *v.decision.Placement
	c.mu.Lock()
	j.placement = &placement
	told := note{Job: j.ID, Adopted: c.adopted(j)}
	c.mu.Unlock()
	if v.holder != c.vm {
		c.local.note(c.vm, told)
	}
	return gateway.Placed{Placement: placement, Holder: v.holder}, nil
}

// adopted describes a placed job to another dispatcher; the lock is held.
func (c *Coordinator) adopted(j *job) *adopted {
	return &adopted{
		Job:       encodeJob(time.Now(), j.Job),
		Placement: encodeDecision(dispatch.Decision{Placement: j.placement}),
		Began:     j.began,
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
	c.tell(j, note{Job: id, Began: true})
}

// Finished implements gateway.Placer.
func (c *Coordinator) Finished(id string, outcome dispatch.Outcome, blamed string) {
	c.mu.Lock()
	j := c.jobs[id]
	delete(c.jobs, id)
	c.mu.Unlock()
	c.tell(j, note{Job: id, Finished: true, Outcome: outcome, Blamed: blamed})
}

// tell notes what happened to a job here and at its holder.
func (c *Coordinator) tell(j *job, n note) {
	if j == nil {
		return
	}
	c.local.note(c.vm, n)
	holder := c.holder(j.Service)
	if holder.VM != c.vm {
		c.sender(holder).add(n)
	}
}

// decided hands on what the local dispatcher decided.
func (c *Coordinator) decided(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if d.Owner == c.vm {
			c.deliver(verdict{d, c.vm})
			continue
		}
		go c.grant(d)
	}
}

// deliver tells a waiting job its verdict and reports whether there is one.
func (c *Coordinator) deliver(v verdict) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[v.decision.JobID()]
	if j == nil || j.placement != nil {
		return false
	}
	select {
	case j.told <- v:
		return true
	default:
		return false
	}
}

// grant tells another VM of a decision about its job.
func (c *Coordinator) grant(d dispatch.Decision) {
	c.mu.Lock()
	owner, live := c.holders.member(d.Owner)
	c.mu.Unlock()
	wanted := false
	if live {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		var answer grantAnswer
		_, err := c.peers.Call(ctx, owner.Address, methodGrant, encodeDecision(d), &answer)
		wanted = err == nil && answer.Wanted
	}
	if !wanted && d.Placement != nil {
		c.local.note(d.Owner, note{Job: d.JobID(), Finished: true, Outcome: dispatch.Abandoned})
	}
}

func (c *Coordinator) onPlace(_ context.Context, from peer.Identity, m jobMessage) (decisionMessage, error) {
	return c.local.submitRemote(m, from.VM), nil
}

func (c *Coordinator) onGrant(_ context.Context, from peer.Identity, m decisionMessage) (grantAnswer, error) {
	return grantAnswer{c.deliver(verdict{m.decision(), from.VM})}, nil
}

func (c *Coordinator) onNote(_ context.Context, from peer.Identity, m noteMessage) (struct{}, error) {
	if m.Reset != nil {
		c.local.dropTerms(from.VM, *m.Reset)
	}
	for _, n := range m.Notes {
		c.local.note(from.VM, n)
	}
	return struct{}{}, nil
}
