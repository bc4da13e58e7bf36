package reserve

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/reservation"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// freeTries is how often an endpoint's accountant is asked to free a share; what
// it does not free then is left to the sweep and the time limit.
const freeTries = 3

// Peers calls the other VMs.
type Peers interface {
	Call(ctx context.Context, address string, method peer.Method, params, result any) (peer.Identity, error)
}

// Claim is what a request asks for.
type Claim struct {
	Request string
	Attempt int
	Shares  []reservation.Share
	// Lead is the endpoint that will stream.
	Lead string
	// Need is the memory of all shares, in tokens.
	Need int64
	// Addresses has each endpoint's.
	Addresses map[string]string
	// Lost is called once when a share is lost while the grant stands.
	Lost func(error)
}

// RefusedError says that a share was not granted; nothing is held.
type RefusedError struct {
	Endpoint string
	// Free is the endpoint's free memory, in tokens.
	Free int64
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "reservation: refused by " + e.Endpoint + ", which has " + strconv.FormatInt(e.Free, 10) + " tokens free"
}

// UnknownError says that the answer to a share was lost.
type UnknownError struct{ Endpoint string }

// Error implements error.
func (e *UnknownError) Error() string { return "reservation: no answer for " + e.Endpoint }

// LostError says that an endpoint no longer holds its share.
type LostError struct{ Endpoint string }

// Error implements error.
func (e *LostError) Error() string { return "reservation: lost at " + e.Endpoint }

// Holder holds this VM's reservations. It is safe for concurrent use.
type Holder struct {
	cfg     Config
	self    peer.Identity
	book    *Accountant
	peers   Peers
	members Members

	mu       sync.Mutex
	grants   map[*Grant]struct{}
	requests map[string]int

	orders sync.WaitGroup
	stop   chan struct{}
	done   chan struct{}
}

// Grant is memory that a request holds. Only its request uses it.
type Grant struct {
	holder  *Holder
	claim   Claim
	group   *reservation.Group
	renewed time.Time
	lost    bool
}

// KnownParams names requests of a VM's incarnation.
type KnownParams struct {
	Incarnation int64    `json:"incarnation"`
	Requests    []string `json:"requests"`
}

// KnownResult names those of them that the VM does not know.
type KnownResult struct {
	Unknown []string `json:"unknown"`
}

// NewHolder returns a Holder, and registers its method.
func NewHolder(cfg Config, self peer.Identity, book *Accountant, peers Peers, members Members, mux *peer.Mux) *Holder {
	h := &Holder{
		cfg: cfg, self: self, book: book, peers: peers, members: members,
		grants:   make(map[*Grant]struct{}),
		requests: make(map[string]int),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	peer.Register(mux, MethodKnown, func(_ context.Context, _ peer.Identity, p KnownParams) (KnownResult, error) {
		return KnownResult{h.unknown(p)}, nil
	})
	return h
}

// Owner names this VM in what it sends to engines.
func (h *Holder) Owner() string {
	return h.self.VM + "/" + strconv.FormatInt(h.self.Incarnation, 10)
}

// Start begins to renew.
func (h *Holder) Start() { go h.run() }

// Stop ends it, and waits for the shares that are being given back.
func (h *Holder) Stop() {
	close(h.stop)
	<-h.done
	h.orders.Wait()
}

// Take takes all shares or none.
func (h *Holder) Take(ctx context.Context, c Claim) (*Grant, error) {
	h.know(c.Request, 1)
	g := &Grant{holder: h, claim: c, group: reservation.NewGroup(c.Shares), renewed: time.Now()}
	var cause error
	for actions := g.group.Begin(); len(actions) > 0 && actions[0].Kind == reservation.Take; {
		result := h.take(ctx, g, actions[0].Share, false)
		if result.Outcome != reservation.Granted {
			cause = refusal(actions[0].Share, result)
		}
		actions = g.group.HandleOutcome(result.Outcome)
		if g.group.Phase() == reservation.Dissolved {
			h.free(g, actions)
		}
	}
	if cause != nil {
		return nil, cause
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grants[g] = struct{}{}
	return g, nil
}

func refusal(s reservation.Share, r TakeResult) error {
	if r.Outcome == reservation.Refused {
		return errors.WithStack(&RefusedError{s.Endpoint, r.Free})
	}
	return errors.WithStack(&UnknownError{s.Endpoint})
}

// ID names the share that the lead's stream uses.
func (g *Grant) ID() string { return g.id(g.claim.Lead) }

func (g *Grant) id(endpointID string) string {
	return g.claim.Request + "-" + strconv.Itoa(g.claim.Attempt) + "-" + endpointID
}

// Release gives all shares back, without waiting for it.
func (g *Grant) Release() {
	h := g.holder
	h.mu.Lock()
	delete(h.grants, g)
	h.mu.Unlock()
	h.free(g, g.group.Dissolve())
}

// take asks the endpoint's accountant for a share, or to renew it.
func (h *Holder) take(ctx context.Context, g *Grant, s reservation.Share, renew bool) TakeResult {
	params := TakeParams{Address: g.claim.Addresses[s.Endpoint], Reservation: wire.Reservation{
		ID:     g.id(s.Endpoint),
		Owner:  wire.Owner{VM: h.self.VM, Incarnation: h.self.Incarnation, Request: g.claim.Request},
		Tokens: s.Tokens,
		TTLMs:  h.cfg.TTL.Milliseconds(),
		Renew:  renew,
	}}
	if len(g.claim.Shares) > 1 {
		params.Reservation.Lead = g.claim.Addresses[g.claim.Lead]
	}
	if s.Endpoint == g.claim.Lead {
		params.Reservation.Group = g.claim.Need
	}
	var remote TakeResult
	local := make(chan TakeResult, 1)
	err := h.ask(ctx, s.Endpoint, MethodTake, params, &remote, func() error {
		local <- h.book.Take(params)
		return nil
	})
	if err != nil {
		return TakeResult{Outcome: reservation.Unknown}
	}
	select {
	case result := <-local:
		return result
	default:
		return remote
	}
}

// ask calls the endpoint's accountant, and the next one if that does not
// answer. local is the call where the accountant is this VM; it goes on when ctx
// ends, and what it does then is unknown.
func (h *Holder) ask(ctx context.Context, endpointID string, method peer.Method, params, result any, local func() error) error {
	ctx, cancel := context.WithTimeout(ctx, 2*h.cfg.Timeout)
	defer cancel()
	all := newAccountants(h.members.Live())
	for {
		m, ok := all.of(endpointID)
		if !ok || m.VM == h.self.VM {
			return h.detach(ctx, local)
		}
		_, err := h.peers.Call(ctx, m.Address, method, params, result)
		if err == nil || ctx.Err() != nil {
			return errors.WithStack(err)
		}
		all.without(m.VM)
	}
}

// detach waits for the call, and for ctx at most.
func (h *Holder) detach(ctx context.Context, call func() error) error {
	done := make(chan error, 1)
	h.orders.Go(func() { done <- call() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// free carries out Free actions, and forgets the request after them.
func (h *Holder) free(g *Grant, actions []reservation.Action) {
	if len(actions) == 0 {
		return
	}
	h.orders.Go(func() {
		defer h.know(g.claim.Request, -1)
		for _, a := range actions {
			h.freeShare(g, a.Share)
		}
	})
}

func (h *Holder) freeShare(g *Grant, s reservation.Share) {
	params := FreeParams{Address: g.claim.Addresses[s.Endpoint], ID: g.id(s.Endpoint)}
	for range freeTries {
		err := h.ask(context.Background(), s.Endpoint, MethodFree, params, &FreeResult{}, func() error { return h.book.Free(params) })
		if err == nil {
			return
		}
	}
}

// know counts the request's grants in or out.
func (h *Holder) know(request string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[request] += n
	if h.requests[request] == 0 {
		delete(h.requests, request)
	}
}

func (h *Holder) unknown(p KnownParams) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, r := range p.Requests {
		if p.Incarnation != h.self.Incarnation || h.requests[r] == 0 {
			out = append(out, r)
		}
	}
	return out
}
