// Package endpointlimit keeps the limits on requests that endpoints name in their
// responses, which count for the requests of all VMs together. A VM that knows of an
// endpoint's limit asks for a turn before each request to it. Turns are granted by one of
// the live VMs for each endpoint, chosen by rendezvous hashing.
package endpointlimit

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/ratelimit"
	"cornelsaddle.example/cornelsaddle/internal/assign"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// MethodTake asks the VM that grants an endpoint's turns for one.
const MethodTake peer.Method = "limit.take"

const (
	// takeTimeout bounds a MethodTake call.
	takeTimeout = 200 * time.Millisecond
	// deputyShare is the share of a limit that is used while a VM does not reach the one
	// that grants the endpoint's turns, which others may still reach.
	deputyShare = 0.25
	// maxEndpoints bounds the endpoints whose limits and turns are kept.
	maxEndpoints = 8192
)

// takeParams are the parameters of MethodTake.
type takeParams struct {
	// Endpoint is the address of the endpoint, and PerSecond its limit.
	Endpoint  string  `json:"endpoint"`
	PerSecond float64 `json:"per_second"`
}

// takeResult is the result of MethodTake.
type takeResult struct {
	// WaitUs is the time until a turn may be had, in microseconds; zero if one is granted.
	WaitUs int64 `json:"wait_us"`
}

// knownLimit is the limit that an endpoint has named to this VM.
type knownLimit struct {
	perSecond float64
	statedAt  time.Time
	// blockedUntil is when the next turn may be had, as far as this VM was told.
	blockedUntil time.Time
}

// wait returns the time until the endpoint may get a request.
func (k *knownLimit) wait() time.Duration { return max(0, time.Until(k.blockedUntil)) }

// Limiter is safe for concurrent use.
type Limiter struct {
	self    string
	members assign.Members
	peers   assign.Peers
	log     *event.Logger

	mu sync.Mutex
	// known has the limits by the endpoints' addresses, and buckets those of the endpoints
	// whose turns this VM has granted.
	known   *lru.Cache[string, *knownLimit]
	buckets *lru.Cache[string, *ratelimit.Bucket]
}

// New returns a Limiter of the VM self, and registers MethodTake with the mux.
func New(self string, members assign.Members, peers assign.Peers, mux *peer.Mux, log *event.Logger) *Limiter {
	l := &Limiter{
		self: self, members: members, peers: peers, log: log,
		known: newCache[*knownLimit](), buckets: newCache[*ratelimit.Bucket](),
	}
	peer.Register(mux, MethodTake, func(_ context.Context, _ peer.Identity, p takeParams) (takeResult, error) {
		return takeResult{l.grant(p.Endpoint, p.PerSecond).Microseconds()}, nil
	})
	return l
}

func newCache[T any]() *lru.Cache[string, T] {
	c, err := lru.New[string, T](maxEndpoints)
	if err != nil {
		panic(err) // the limit is not positive
	}
	return c
}

// Observe records what the response to a request that was sent to the endpoint's address at
// the time says of its limit. A limit ends with a response that names none, to a request
// that was sent after the latest response that named it.
func (l *Limiter) Observe(endpoint string, sentAt time.Time, limit ratelimit.Limit, unreadable string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, found := l.known.Peek(endpoint)
	was := ratelimit.Limit{}
	if found {
		was = ratelimit.Limit{Stated: true, PerSecond: k.perSecond}
	}
	switch {
	case limit.Stated && found:
		k.perSecond, k.statedAt = limit.PerSecond, time.Now()
	case limit.Stated:
		l.known.Add(endpoint, &knownLimit{perSecond: limit.PerSecond, statedAt: time.Now()})
	case unreadable != "", !found, sentAt.Before(k.statedAt):
		return
	default:
		l.known.Remove(endpoint)
	}
	if limit != was {
		l.log.Emit(event.EndpointLimited{Address: endpoint, Limit: limit.Text(), Was: was.Text()})
	}
}

// Wait returns the time until the endpoint may get a request, as far as this VM knows
// without asking.
func (l *Limiter) Wait(endpoint string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, found := l.known.Peek(endpoint)
	if !found {
		return 0
	}
	return k.wait()
}

// Take takes a turn for a request to the endpoint, if it has named a limit. It returns zero
// if the request may be sent, and otherwise the time until a turn may be had.
func (l *Limiter) Take(ctx context.Context, endpoint string) time.Duration {
	l.mu.Lock()
	k, found := l.known.Get(endpoint)
	if !found {
		l.mu.Unlock()
		return 0
	}
	perSecond, wait := k.perSecond, k.wait()
	l.mu.Unlock()
	if wait > 0 {
		return wait
	}
	wait = l.ask(ctx, endpoint, perSecond)
	if wait > 0 {
		l.mu.Lock()
		k.blockedUntil = time.Now().Add(wait)
		l.mu.Unlock()
	}
	return wait
}

// ask asks the VM that grants the endpoint's turns for one, or else the next in order, and
// at last this one.
func (l *Limiter) ask(ctx context.Context, endpoint string, perSecond float64) time.Duration {
	rate, wait := perSecond, time.Duration(0)
	asked := assign.Ask(l.members, l.self, endpoint, func(m assign.Member) (err error) {
		if wait, err = l.askMember(ctx, m, endpoint, rate); err != nil {
			rate = perSecond * deputyShare
		}
		return err
	})
	if asked {
		return wait
	}
	return l.grant(endpoint, rate)
}

func (l *Limiter) askMember(ctx context.Context, m assign.Member, endpoint string, perSecond float64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var result takeResult
	if _, err := l.peers.Call(ctx, m.Address, MethodTake, takeParams{endpoint, perSecond}, &result); err != nil {
		l.log.Emit(event.TurnNotAsked{Address: endpoint, Member: m.VM, Reason: err.Error()})
		return 0, errors.WithStack(err)
	}
	return time.Duration(result.WaitUs) * time.Microsecond, nil
}

// grant grants a turn at the endpoint, or returns the time until one may be had. A VM that
// begins to grant an endpoint's turns does not know those that were just granted, and has
// none at first.
func (l *Limiter) grant(endpoint string, perSecond float64) time.Duration {
	perSecond = max(ratelimit.MinPerSecond, perSecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	b, found := l.buckets.Get(endpoint)
	if !found {
		b = &ratelimit.Bucket{}
		b.Empty(now)
		l.buckets.Add(endpoint, b)
	}
	if !b.Admits(now, perSecond) {
		// At least a microsecond, the unit in which it is told to other VMs.
		return max(time.Microsecond, b.Next(now, perSecond))
	}
	b.Take(now, perSecond)
	return 0
}
