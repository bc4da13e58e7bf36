// Package crashguard withholds requests that crash the endpoints which run them, at the VMs
// of a deployment without a holder that places all requests. Each VM sees which of its own
// requests ended with a crash, and reports the crash to one VM for each service, chosen by
// rendezvous hashing. That one finds the requests that are the cause, by core/quarantine, and
// tells all VMs.
package crashguard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/assign"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

const (
	// MethodReport reports a crash to the VM that decides on a service's requests.
	MethodReport peer.Method = "crash.report"
	// MethodAnswered asks a VM when it last saw a request answered.
	MethodAnswered peer.Method = "crash.answered"
)

const (
	callTimeout = 500 * time.Millisecond
	// tickInterval is the interval at which a VM decides which endpoints have crashed, while
	// there is something to decide.
	tickInterval = 50 * time.Millisecond
	// maxAnswered bounds the answered requests that a VM remembers.
	maxAnswered = 16384
	// concurrentCalls bounds the calls of MethodAnswered in progress.
	concurrentCalls = 32
)

// Request is a request that is sent to an endpoint.
type Request struct {
	// ID is unique among the VM's attempts.
	ID       string
	Service  string
	Endpoint string
	Deadline time.Time
}

// Guard is safe for concurrent use.
type Guard struct {
	self    string
	members assign.Members
	peers   assign.Peers
	log     *event.Logger
	// announce tells the other VMs of a verdict.
	announce func(quarantine.Verdict)

	mu sync.Mutex
	// own has the requests of this VM, and evidence the crashes that all VMs report to it.
	own      *quarantine.Tracker
	evidence *quarantine.Tracker
	verdicts *quarantine.List
	// answered has when requests were last answered, by service and digest.
	answered *lru.Cache[string, time.Time]
	timer    *time.Timer
	ticking  bool
	running  sync.WaitGroup
}

// New returns a Guard of the VM self, and registers its methods with the mux.
func New(self string, members assign.Members, peers assign.Peers, mux *peer.Mux, log *event.Logger) *Guard {
	cfg := quarantine.DefaultConfig()
	answered, err := lru.New[string, time.Time](maxAnswered)
	if err != nil {
		panic(err) // the limit is not positive
	}
	verdicts := quarantine.NewList(cfg)
	g := &Guard{
		self: self, members: members, peers: peers, log: log, announce: func(quarantine.Verdict) {},
		own: quarantine.NewTracker(cfg, verdicts), evidence: quarantine.NewTracker(cfg, verdicts), verdicts: verdicts,
		answered: answered,
	}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	g.timer.Stop()
	peer.Register(mux, MethodReport, func(_ context.Context, _ peer.Identity, p reportParams) (struct{}, error) {
		g.report(p.Service, p.Crash.Crash(time.Now()))
		return struct{}{}, nil
	})
	peer.Register(mux, MethodAnswered, func(_ context.Context, _ peer.Identity, p answeredParams) (answeredResult, error) {
		return g.lastAnswer(p.Service, p.Digest), nil
	})
	return g
}

// SetAnnounce sets what tells the other VMs of a verdict. It must be called before the first
// request.
func (g *Guard) SetAnnounce(announce func(quarantine.Verdict)) { g.announce = announce }

// Stop waits for the work in progress.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.running.Wait()
}

// Withheld returns for how long the request with the digest is withheld; zero if it is not.
func (g *Guard) Withheld(service, digest string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if subject, until := g.verdicts.Withheld(now, service, digest, nil); !subject.None() {
		return until.Sub(now)
	}
	return 0
}

func (g *Guard) key(id string) dispatch.JobKey { return dispatch.JobKey{Owner: g.self, ID: id} }

// Sent records a request that is sent to its endpoint.
func (g *Guard) Sent(r Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.own.Placed(time.Now(), quarantine.Job{Key: g.key(r.ID), Service: r.Service, Endpoint: r.Endpoint, Deadline: r.Deadline})
}

// Began records the first event of a request's answer.
func (g *Guard) Began(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.own.Began(time.Now(), g.key(id))
}

// Ended records the end of a request that was sent.
func (g *Guard) Ended(id, service, digest string, end quarantine.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if end == quarantine.Answered {
		g.answered.Add(answeredKey(service, digest), now)
	}
	if findings := g.own.Ended(now, g.key(id), end, quarantine.Identity{Digest: digest}); len(findings) > 0 {
		g.running.Go(func() { g.decide(findings, time.Time{}) })
	}
	if g.own.Undecided() && !g.ticking {
		g.ticking = true
		g.timer.Reset(tickInterval)
	}
}

// tick decides which endpoints have crashed, and reports that.
func (g *Guard) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, c := range g.own.Crashed(now) {
		g.running.Go(func() { g.send(c) })
	}
	g.ticking = g.own.Undecided()
	if g.ticking {
		g.timer.Reset(tickInterval)
	}
}

// send reports a crash to the VM that decides on the service's requests, or the next one.
func (g *Guard) send(c quarantine.ServiceCrash) {
	reported := assign.Ask(g.members, g.self, c.Service, func(m assign.Member) error {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := g.peers.Call(ctx, m.Address, MethodReport, reportParams{c.Service, quarantine.EncodeCrash(time.Now(), c.Crash)}, &struct{}{})
		if err != nil {
			g.log.Emit(event.CrashNotReported{Service: c.Service, Endpoint: c.Endpoint, Member: m.VM, Reason: err.Error()})
		}
		return errors.WithStack(err)
	})
	if !reported {
		g.report(c.Service, c.Crash)
	}
}

// report adds a crash to the evidence, and decides on what follows.
func (g *Guard) report(service string, c quarantine.Crash) {
	g.mu.Lock()
	findings := g.evidence.Report(time.Now(), service, c)
	g.mu.Unlock()
	g.running.Go(func() {
		for _, f := range findings {
			g.decide([]quarantine.Finding{f}, g.firstCrash(f))
		}
	})
}

// firstCrash returns the time of the first crash that speaks for a finding.
func (g *Guard) firstCrash(f quarantine.Finding) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	crashes := g.evidence.Evidence(f.Service, f.Subject)
	if len(crashes) == 0 {
		return time.Time{}
	}
	return crashes[0].At
}

// decide adds the verdicts that follow from findings, unless a VM has seen the request
// answered since its first crash.
func (g *Guard) decide(findings []quarantine.Finding, since time.Time) {
	for _, f := range findings {
		if !f.Sound && g.answeredSince(f, since) {
			g.mu.Lock()
			g.evidence.ClearRequest(time.Now(), f.Service, f.Subject.Digest)
			g.mu.Unlock()
			continue
		}
		g.mu.Lock()
		evidence := g.evidence.Evidence(f.Service, f.Subject)
		v, added := g.verdicts.Decide(time.Now(), f)
		g.evidence.Explain(f.Service, f.Subject)
		g.mu.Unlock()
		if added {
			g.logVerdict(v, g.self, quarantine.EvidenceText(time.Now(), evidence))
			g.announce(v)
		}
	}
}

// answeredSince asks all VMs whether they have seen the request answered since the time.
func (g *Guard) answeredSince(f quarantine.Finding, since time.Time) bool {
	var (
		answered atomic.Bool
		wg       sync.WaitGroup
	)
	slots := make(chan struct{}, concurrentCalls)
	for _, m := range g.members.Members() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if g.answeredAt(m, f, since) {
				answered.Store(true)
			}
		})
	}
	wg.Wait()
	return answered.Load()
}

// answeredAt asks one VM. One that does not answer is taken not to have seen an answer.
func (g *Guard) answeredAt(m assign.Member, f quarantine.Finding, since time.Time) bool {
	result := answeredResult{}
	if m.VM == g.self {
		result = g.lastAnswer(f.Service, f.Subject.Digest)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if _, err := g.peers.Call(ctx, m.Address, MethodAnswered, answeredParams{f.Service, f.Subject.Digest}, &result); err != nil {
			g.log.Emit(event.CrashNotReported{Service: f.Service, Member: m.VM, Reason: errors.Cause(err).Error()})
			return false
		}
	}
	return result.Known && time.Now().Add(-time.Duration(result.AgeUs)*time.Microsecond).After(since)
}

func (g *Guard) lastAnswer(service, digest string) answeredResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, known := g.answered.Peek(answeredKey(service, digest))
	return answeredResult{Known: known, AgeUs: time.Since(at).Microseconds()}
}

func answeredKey(service, digest string) string { return service + "/" + digest }

// Apply applies a verdict that this VM learns from others.
func (g *Guard) Apply(v quarantine.Verdict) {
	g.mu.Lock()
	news := g.verdicts.Apply(time.Now(), v)
	g.mu.Unlock()
	if news {
		g.logVerdict(v, "", "")
	}
}

func (g *Guard) logVerdict(v quarantine.Verdict, decidedBy, evidence string) {
	if v.Withheld {
		g.log.Emit(event.RequestWithheld{
			Service: v.Service, Digest: v.Subject.Digest, Decided: decidedBy, Verdict: v.Count, For: time.Until(v.Until), Evidence: evidence,
		})
		return
	}
	g.log.Emit(event.RequestReleased{Service: v.Service, Digest: v.Subject.Digest, Decided: decidedBy, Verdict: v.Count})
}
