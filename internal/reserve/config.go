// Package reserve reserves KV memory at model engines for prompts that need it.
//
// All reservations at an endpoint go through one VM, the endpoint's coordinator, which
// is chosen by rendezvous hashing over the live VMs of the region. The coordinator
// keeps no state about reservations: the engine stores them, so another VM can take
// over at any time. The coordinator serialises the requests to an endpoint and
// periodically sweeps it, which frees reservations whose owner no longer exists. The
// Holder is the owner's side: it takes the shares of a group through the coordinators,
// renews them and releases them.
package reserve

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// Config has the time limits and intervals of reservations.
type Config struct {
	// TTL is the time after which an engine drops a reservation that is not renewed.
	TTL time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
	// Sweep is the interval between two sweeps of an endpoint.
	Sweep time.Duration
	// Timeout limits one request to an engine and one call of MethodKnown. Calls to
	// coordinators are limited to twice Timeout in total.
	Timeout time.Duration
}

// DefaultConfig returns the default parameters of the service.
func DefaultConfig() Config {
	return Config{
		TTL:     30 * time.Second,
		Renew:   8 * time.Second,
		Sweep:   10 * time.Second,
		Timeout: 2 * time.Second,
	}
}

// Member is a live VM of the region.
type Member struct {
	peer.Identity
	// Address is the IP address and port on which peers call the VM.
	Address string
}

// Life is the liveness of an incarnation of a VM.
type Life int

// Values of Life.
const (
	// Unknown means that the incarnation may be alive or dead.
	Unknown Life = iota
	// Alive means that the incarnation is a live member.
	Alive
	// Dead means that the incarnation has ended and will not return.
	Dead
)

// Members is the membership of the region's VMs.
type Members interface {
	// Live returns the region's live VMs, including this one.
	Live() []Member
	// Life returns the liveness of an incarnation. It may return Dead only when that
	// is certain, because the reservations of a dead incarnation are freed.
	Life(peer.Identity) Life
}

// SingleVM is the membership of a single VM: this VM is alive, its earlier incarnations
// are dead, and all other VMs are unknown.
type SingleVM struct{ Self peer.Identity }

// Live implements Members.
func (s SingleVM) Live() []Member { return []Member{{Identity: s.Self}} }

// Life implements Members.
func (s SingleVM) Life(id peer.Identity) Life {
	switch {
	case id == s.Self:
		return Alive
	case id.VM == s.Self.VM && id.Incarnation < s.Self.Incarnation:
		return Dead
	}
	return Unknown
}

// Engines sends reservation requests to engines. Each request is limited by its
// timeout.
type Engines interface {
	Reserve(address string, r wire.Reservation, timeout time.Duration) error
	Release(address, id string, timeout time.Duration) error
	Reservations(address string, timeout time.Duration) ([]wire.Reservation, error)
}

func identity(o wire.Owner) peer.Identity {
	return peer.Identity{VM: o.VM, Incarnation: o.Incarnation}
}
