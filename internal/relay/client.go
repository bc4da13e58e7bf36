package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/reach"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

const (
	// stagger is the time after which the next VM is asked while one has not answered.
	stagger = 100 * time.Millisecond
	// openTimeout bounds the time to open a connection through one VM.
	openTimeout = 500 * time.Millisecond
)

// Peers makes upgrade calls to the other VMs.
type Peers interface {
	Upgrade(ctx context.Context, address string, method peer.Method, params, result any) (net.Conn, peer.Identity, error)
}

// Client opens connections to endpoints through other VMs. It is safe for concurrent use.
type Client struct {
	peers Peers

	mu     sync.Mutex
	relays *reach.Relays
}

// NewClient returns a Client of a VM in the failure domain, without other VMs.
func NewClient(peers Peers, domain string) *Client {
	return &Client{peers: peers, relays: reach.NewRelays(domain)}
}

// SetVMs replaces the VMs that may be asked.
func (c *Client) SetVMs(vms []reach.Relay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays.Set(vms)
}

// SetCutOff records whether a VM says that its own paths are lost.
func (c *Client) SetCutOff(vm string, cutOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays.SetCutOff(vm, cutOff)
}

// answer is how asking one VM ended.
type answer struct {
	relay reach.Relay
	conn  *Conn
	resp  openResponse
	err   error
}

// isWitness reports whether the VM found that the endpoint can't be reached, though its own path
// is not lost.
func (a answer) isWitness() bool { return a.resp.Refusal == refusedUnreached && !a.resp.PathLost }

// Open implements upstream.Relay. It returns a connection to the endpoint through another VM. Several VMs are asked, each
// after the one before it has failed or has not answered for a while. The error is a
// NotOpenedError or that of the context.
func (c *Client) Open(ctx context.Context, endpoint directory.Incarnation, domain string) (upstream.RelayedConn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	relays := c.relays.Choose(time.Now(), domain, rand.Float64)
	c.mu.Unlock()
	answers := make(chan answer, len(relays))
	failed := &NotOpenedError{}
	var unreached []string
	next := time.NewTimer(0)
	defer next.Stop()
	for pending := 0; ; {
		if pending == 0 && len(relays) == 0 {
			return nil, errors.WithStack(failed)
		}
		select {
		case <-next.C:
			if len(relays) == 0 {
				continue
			}
			go c.ask(ctx, relays[0], endpoint, answers)
			relays, pending = relays[1:], pending+1
			failed.Asked++
			next.Reset(stagger)
		case a := <-answers:
			pending--
			if a.conn != nil {
				c.succeeded(a.relay, unreached)
				go closeRest(answers, pending)
				return a.conn, nil
			}
			failed.Cause = a.err
			switch {
			case a.isWitness():
				failed.Witnesses++
				unreached = append(unreached, a.relay.VM)
			case a.resp.Refusal != refusedUnavailable:
				c.failed(a.relay.VM)
			}
			next.Reset(0)
		case <-ctx.Done():
			go closeRest(answers, pending)
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// ask asks one VM.
func (c *Client) ask(ctx context.Context, relay reach.Relay, endpoint directory.Incarnation, answers chan<- answer) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	a := answer{relay: relay}
	conn, _, err := c.peers.Upgrade(ctx, relay.Address, methodOpen, openRequest{endpoint.ID, endpoint.Started}, &a.resp)
	switch {
	case err != nil:
		a.err = err
	case a.resp.Refusal != "":
		_ = conn.Close()
		a.err = errors.WithStack(&RefusedError{relay.VM, string(a.resp.Refusal), a.resp.Reason})
	default:
		a.conn = newConn(conn, relay.VM, relay.Domain)
	}
	answers <- a
}

// closeRest closes the connections that are opened after another one was chosen.
func closeRest(answers <-chan answer, pending int) {
	for range pending {
		if a := <-answers; a.conn != nil {
			_ = a.conn.Close()
		}
	}
}

// succeeded records that a VM relays, and that those which did not reach the same endpoint
// could not.
func (c *Client) succeeded(relay reach.Relay, unreached []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays.Succeeded(relay.VM)
	for _, vm := range unreached {
		c.relays.Failed(time.Now(), vm)
	}
}

func (c *Client) failed(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays.Failed(time.Now(), vm)
}
