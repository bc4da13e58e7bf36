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

// maxFreeAttempts is the maximum number of attempts to free a share. A share that is
// still held after them is freed by the sweep or when its TTL expires.
const maxFreeAttempts = 3

// Peers calls the other VMs.
type Peers interface {
	Call(ctx context.Context, address string, method peer.Method, params, result any) (peer.Identity, error)
}

// Claim describes the KV memory that one attempt of a request reserves.
type Claim struct {
	Request string
	Attempt int
	Shares  []reservation.Share
	// Lead is the ID of the endpoint that streams the answer.
	Lead string
	// Need is the total memory of all shares, in tokens.
	Need int64
	// Addresses has the address of each endpoint, by ID.
	Addresses map[string]string
	// Lost is called at most once, with an error that wraps a LostError, when a share
	// is lost before the grant is released.
	Lost func(error)
}

// RefusedError is returned when an endpoint refused a share. The shares taken before
// it are freed.
type RefusedError struct {
	Endpoint string
	// Free is the endpoint's free KV memory, in tokens.
	Free int64
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "reservation: refused by " + e.Endpoint + ", which has " + strconv.FormatInt(e.Free, 10) + " tokens free"
}

// UnknownError is returned when it is unknown whether the endpoint granted a share,
// for example because the response was lost.
type UnknownError struct{ Endpoint string }

// Error implements error.
func (e *UnknownError) Error() string { return "reservation: no answer for " + e.Endpoint }

// LostError reports that an endpoint no longer holds its share, or that the grant was
// not renewed within the TTL.
type LostError struct{ Endpoint string }

// Error implements error.
func (e *LostError) Error() string { return "reservation: lost at " + e.Endpoint }

// Holder manages the reservations that this VM owns. It is safe for concurrent use.
type Holder struct {
	cfg         Config
	self        peer.Identity
	coordinator *Coordinator
	peers       Peers
	members     Members

	mu     sync.Mutex
	grants map[*Grant]struct{}
	// grantCounts counts the grants of each request, including those being taken or
	// freed.
	grantCounts map[string]int

	// background tracks background calls to coordinators.
	background sync.WaitGroup
	stop       chan struct{}
	done       chan struct{}
}

// Grant is the reserved memory of one attempt of a request. It is used by that request
// only and is not safe for concurrent use.
type Grant struct {
	holder *Holder
	claim  Claim
	group  *reservation.Group
	// renewed is the start time of the last renewal that renewed all shares.
	renewed time.Time
	lost    bool
}

// KnownParams are the parameters of MethodKnown: IDs of requests of an incarnation of
// the called VM.
type KnownParams struct {
	Incarnation int64    `json:"incarnation"`
	Requests    []string `json:"requests"`
}

// KnownResult is the result of MethodKnown: the requests for which the VM has no
// grants. It lists all requests when the VM has another incarnation.
type KnownResult struct {
	Unknown []string `json:"unknown"`
}

// NewHolder returns a Holder and registers MethodKnown with the mux.
func NewHolder(cfg Config, self peer.Identity, coordinator *Coordinator, peers Peers, members Members, mux *peer.Mux) *Holder {
	h := &Holder{
		cfg: cfg, self: self, coordinator: coordinator, peers: peers, members: members,
		grants:      make(map[*Grant]struct{}),
		grantCounts: make(map[string]int),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
	}
	peer.Register(mux, MethodKnown, func(_ context.Context, _ peer.Identity, p KnownParams) (KnownResult, error) {
		return KnownResult{h.unknownRequests(p)}, nil
	})
	return h
}

// Owner returns the name and incarnation of this VM, as sent to engines.
func (h *Holder) Owner() string {
	return h.self.VM + "/" + strconv.FormatInt(h.self.Incarnation, 10)
}

// Start starts the renewal of grants.
func (h *Holder) Start() { go h.run() }

// Stop stops the renewal of grants and waits for the background calls, including
// those that free shares.
func (h *Holder) Stop() {
	close(h.stop)
	<-h.done
	h.background.Wait()
}

// Take takes all shares of the claim. If it fails to take one, it frees the others in
// the background and returns a RefusedError or an UnknownError.
func (h *Holder) Take(ctx context.Context, c Claim) (*Grant, error) {
	h.addGrants(c.Request, 1)
	g := &Grant{holder: h, claim: c, group: reservation.NewGroup(c.Shares), renewed: time.Now()}
	var cause error
	for actions := g.group.Begin(); len(actions) > 0 && actions[0].Kind == reservation.Take; {
		result := h.takeShare(ctx, g, actions[0].Share, false)
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

// ID returns the ID of the reservation at the lead.
func (g *Grant) ID() string { return g.id(g.claim.Lead) }

func (g *Grant) id(endpointID string) string {
	return g.claim.Request + "-" + strconv.Itoa(g.claim.Attempt) + "-" + endpointID
}

// Release frees all shares in the background.
func (g *Grant) Release() {
	h := g.holder
	h.mu.Lock()
	delete(h.grants, g)
	h.mu.Unlock()
	h.free(g, g.group.Dissolve())
}

// takeShare takes or renews a share through the endpoint's coordinator.
func (h *Holder) takeShare(ctx context.Context, g *Grant, s reservation.Share, renew bool) TakeResult {
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
	err := h.callCoordinator(ctx, s.Endpoint, MethodTake, params, &remote, func() error {
		local <- h.coordinator.Take(params)
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

// callCoordinator calls the endpoint's coordinator or, if a call fails, the VM that is
// next in rank. local is called instead when that VM is this one; it is not
// cancelled when ctx ends, so its outcome is then unknown. All calls together are
// limited to twice Config.Timeout.
func (h *Holder) callCoordinator(ctx context.Context, endpointID string, method peer.Method, params, result any, local func() error) error {
	ctx, cancel := context.WithTimeout(ctx, 2*h.cfg.Timeout)
	defer cancel()
	assignment := newCoordinators(h.members.Live())
	for {
		m, ok := assignment.lookup(endpointID)
		if !ok || m.VM == h.self.VM {
			return h.runDetached(ctx, local)
		}
		_, err := h.peers.Call(ctx, m.Address, method, params, result)
		if err == nil || ctx.Err() != nil {
			return errors.WithStack(err)
		}
		assignment.remove(m.VM)
	}
}

// runDetached runs the call in the background and waits until it returns or ctx ends.
func (h *Holder) runDetached(ctx context.Context, call func() error) error {
	done := make(chan error, 1)
	h.background.Go(func() { done <- call() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// free executes Free actions in the background and then decrements the request's
// grant count.
func (h *Holder) free(g *Grant, actions []reservation.Action) {
	if len(actions) == 0 {
		return
	}
	h.background.Go(func() {
		defer h.addGrants(g.claim.Request, -1)
		for _, a := range actions {
			h.freeShare(g, a.Share)
		}
	})
}

func (h *Holder) freeShare(g *Grant, s reservation.Share) {
	params := FreeParams{Address: g.claim.Addresses[s.Endpoint], ID: g.id(s.Endpoint)}
	for range maxFreeAttempts {
		err := h.callCoordinator(context.Background(), s.Endpoint, MethodFree, params, &FreeResult{}, func() error { return h.coordinator.Free(params) })
		if err == nil {
			return
		}
	}
}

// addGrants adds n to the request's grant count.
func (h *Holder) addGrants(request string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grantCounts[request] += n
	if h.grantCounts[request] == 0 {
		delete(h.grantCounts, request)
	}
}

func (h *Holder) unknownRequests(p KnownParams) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, r := range p.Requests {
		if p.Incarnation != h.self.Incarnation || h.grantCounts[r] == 0 {
			out = append(out, r)
		}
	}
	return out
}
