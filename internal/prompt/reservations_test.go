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

// fakeMemory is the memory of each fake engine, in tokens. It is small enough
// that a long trial needs three engines.
const fakeMemory = 50

// callFault is the fault injected into one reservation call to a fake engine.
type callFault int

const (
	faultNone callFault = iota
	faultRequestLost
	faultReplyLost
	faultFull
	// faultSlow carries out the call after its timeout.
	faultSlow
	// faultStateLost drops all reservations of the engine.
	faultStateLost
	callFaultCount
)

var errLost = errors.New("lost")

// reservationStore holds the reservations of the fake engines, by address and
// id. Each call of Reserve or Release takes the next fault of the script; after
// the end of the script, no faults are injected.
type reservationStore struct {
	mu     sync.Mutex
	script []callFault
	held   map[string]map[string]wire.Reservation
}

// nextFault returns the fault of the next call. The caller holds the lock.
func (b *reservationStore) nextFault(address string) callFault {
	if len(b.script) == 0 {
		return faultNone
	}
	f := b.script[0]
	b.script = b.script[1:]
	if f == faultStateLost {
		b.held[address] = nil
	}
	return f
}

func (b *reservationStore) Reserve(address string, r wire.Reservation, timeout time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.nextFault(address)
	if f == faultSlow {
		b.mu.Unlock()
		time.Sleep(timeout)
		b.mu.Lock()
		f = faultReplyLost
	}
	if f == faultRequestLost {
		return errLost
	}
	_, ok := b.held[address][r.ID]
	switch {
	case ok:
	case r.Renew:
		return &endpoint.ReservationNotFoundError{}
	case f == faultFull || b.free(address) < r.Tokens:
		return &endpoint.InsufficientMemoryError{Free: b.free(address)}
	default:
		b.put(address, r)
	}
	if f == faultReplyLost {
		return errLost
	}
	return nil
}

// clearFaults discards the rest of the script.
func (b *reservationStore) clearFaults() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.script = nil
}

func (b *reservationStore) put(address string, r wire.Reservation) {
	if b.held[address] == nil {
		b.held[address] = make(map[string]wire.Reservation)
	}
	b.held[address][r.ID] = r
}

func (b *reservationStore) free(address string) int64 {
	free := int64(fakeMemory)
	for _, r := range b.held[address] {
		free -= r.Tokens
	}
	return free
}

func (b *reservationStore) Release(address, id string, _ time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.nextFault(address)
	if f == faultRequestLost {
		return errLost
	}
	delete(b.held[address], id)
	if f == faultReplyLost {
		return errLost
	}
	return nil
}

func (b *reservationStore) Reservations(address string, _ time.Duration) ([]wire.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]wire.Reservation, 0, len(b.held[address]))
	for _, r := range b.held[address] {
		out = append(out, r)
	}
	return out, nil
}

// holds reports whether any fake engine holds the reservation.
func (b *reservationStore) holds(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, held := range b.held {
		if _, ok := held[id]; ok {
			return true
		}
	}
	return false
}

// total returns the memory reserved at all fake engines, in tokens.
func (b *reservationStore) total() int64 {
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

// newHolder returns a Holder that reserves at the fake engines, and its
// Sweeper.
func newHolder(b *reservationStore, snap *confsync.Snapshot, log *event.Logger) (*reserve.Holder, *reserve.Sweeper) {
	self := peer.Identity{VM: "vm", Incarnation: 1}
	cfg, mux := reserve.DefaultConfig(), peer.NewMux()
	h := reserve.NewHolder(cfg, self, reserve.NewCoordinator(cfg, b, mux), nil, reserve.SingleVM{Self: self}, mux)
	return h, reserve.NewSweeper(h, func() *confsync.Snapshot { return snap }, log)
}
