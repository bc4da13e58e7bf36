// Package reserve sets memory aside at model engines for prompts that need it.
//
// All reservations at an endpoint go through one VM, its accountant, which
// rendezvous hashing over the region's live VMs picks. The accountant keeps
// nothing: the engine itself holds the account, so that another VM can take over
// at any time. It orders the requests for an endpoint and sweeps it for what has
// no owner any more. The Holder is the owner's side: it takes the shares of a
// group through the accountants, renews them and gives them back.
package reserve

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// Config has the times of reservations.
type Config struct {
	// TTL is a reservation's time limit, Renew the time between renewals.
	TTL   time.Duration
	Renew time.Duration
	// Sweep is the time between two sweeps of an endpoint.
	Sweep time.Duration
	// Timeout bounds one request to an engine or a peer.
	Timeout time.Duration
}

// DefaultConfig is the Config of a VM.
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
	// Address is where its peers reach it, IP and port.
	Address string
}

// Life is what is known of an incarnation of a VM.
type Life int

// The kinds of life.
const (
	// Unknown may live or not.
	Unknown Life = iota
	// Alive was heard of.
	Alive
	// Dead is gone for good.
	Dead
)

// Members tells which VMs live.
type Members interface {
	// Live lists the region's live VMs, this one included.
	Live() []Member
	// Life says what is known of an incarnation. Dead must be certain: what a
	// dead one holds is freed.
	Life(peer.Identity) Life
}

// Solo knows this VM and its earlier incarnations, and no other VM.
type Solo struct{ Self peer.Identity }

// Live implements Members.
func (s Solo) Live() []Member { return []Member{{Identity: s.Self}} }

// Life implements Members.
func (s Solo) Life(id peer.Identity) Life {
	switch {
	case id == s.Self:
		return Alive
	case id.VM == s.Self.VM && id.Incarnation < s.Self.Incarnation:
		return Dead
	}
	return Unknown
}

// Engines carries out reservations at engines.
type Engines interface {
	Reserve(address string, r wire.Reservation, timeout time.Duration) error
	Release(address, id string, timeout time.Duration) error
	Reservations(address string, timeout time.Duration) ([]wire.Reservation, error)
}

func identity(o wire.Owner) peer.Identity {
	return peer.Identity{VM: o.VM, Incarnation: o.Incarnation}
}
