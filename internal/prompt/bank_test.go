package prompt

import (
	"errors"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
)

// bankMemory is what each fake engine has, in tokens: a long trial needs three.
const bankMemory = 50

// fate is what happens to one order to a fake engine's account.
type fate int

const (
	fateOK fate = iota
	fateOrderLost
	fateAnswerLost
	fateFull
	// fateSlow carries the order out after the time allowed for it.
	fateSlow
	// fateForgets loses all that the engine holds.
	fateForgets
	fates
)

var errLost = errors.New("lost")

// bank is the reservations of the fake engines, by address and id. Each order
// takes the script's next fate; after its end all goes well.
type bank struct {
	mu     sync.Mutex
	script []fate
	held   map[string]map[string]wire.Reservation
}

// next is the fate of an order. The lock is held.
func (b *bank) next(address string) fate {
	if len(b.script) == 0 {
		return fateOK
	}
	f := b.script[0]
	b.script = b.script[1:]
	if f == fateForgets {
		b.held[address] = nil
	}
	return f
}

func (b *bank) Reserve(address string, r wire.Reservation, timeout time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.next(address)
	if f == fateSlow {
		b.mu.Unlock()
		time.Sleep(timeout)
		b.mu.Lock()
		f = fateAnswerLost
	}
	if f == fateOrderLost {
		return errLost
	}
	_, ok := b.held[address][r.ID]
	switch {
	case ok:
	case r.Renew:
		return &endpoint.NoReservationError{}
	case f == fateFull || b.free(address) < r.Tokens:
		return &endpoint.FullError{Free: b.free(address)}
	default:
		b.put(address, r)
	}
	if f == fateAnswerLost {
		return errLost
	}
	return nil
}

// heal ends the faults.
func (b *bank) heal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.script = nil
}

func (b *bank) put(address string, r wire.Reservation) {
	if b.held[address] == nil {
		b.held[address] = make(map[string]wire.Reservation)
	}
	b.held[address][r.ID] = r
}

func (b *bank) free(address string) int64 {
	free := int64(bankMemory)
	for _, r := range b.held[address] {
		free -= r.Tokens
	}
	return free
}

func (b *bank) Release(address, id string, _ time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.next(address)
	if f == fateOrderLost {
		return errLost
	}
	delete(b.held[address], id)
	if f == fateAnswerLost {
		return errLost
	}
	return nil
}

func (b *bank) Reservations(address string, _ time.Duration) ([]wire.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]wire.Reservation, 0, len(b.held[address]))
	for _, r := range b.held[address] {
		out = append(out, r)
	}
	return out, nil
}

// holds reports whether any fake engine holds the reservation.
func (b *bank) holds(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, held := range b.held {
		if _, ok := held[id]; ok {
			return true
		}
	}
	return false
}

// total is the memory that all fake engines hold, in tokens.
func (b *bank) total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := int64(0)
	for _, held := range b.held {
		for _, r := range held {
			sum += r.Tokens
		}
	}
	return sum
}

// newHolder returns a Holder before the bank, and the sweep of its VM.
func newHolder(b *bank, snap *confsync.Snapshot, log *event.Logger) (*reserve.Holder, *reserve.Sweeper) {
	self := peer.Identity{VM: "vm", Incarnation: 1}
	cfg, mux := reserve.DefaultConfig(), peer.NewMux()
	h := reserve.NewHolder(cfg, self, reserve.NewAccountant(cfg, b, mux), nil, reserve.Solo{Self: self}, mux)
	return h, reserve.NewSweeper(h, func() *confsync.Snapshot { return snap }, log)
}
