package quota

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/quota"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

var limited = configuration.Organisation{TokensPerSecond: 1000}

func newKeeper(t *testing.T, store Store, vm string) *Keeper {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", vm)
	require.NoError(t, err)
	return New(quota.DefaultConfig(), quota.Holder{VM: vm, Incarnation: 1}, store, nil, log)
}

func (k *Keeper) rate() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.accounts["framers"]; a != nil {
		return a.lease.Rate(time.Now())
	}
	return 0
}

// ask has the organisation ask for so many tokens and the lease be renewed.
func (k *Keeper) ask(tokens int64) {
	a := k.account("framers", limited)
	now := time.Now()
	k.mu.Lock()
	_, _ = a.bucket.Take(now, a.lease.Rate(now), tokens)
	k.mu.Unlock()
	k.renew("framers")
}

func TestWithoutALimitNothingIsAsked(t *testing.T) {
	k := newKeeper(t, nil, "a")
	require.NoError(t, k.Take("framers", configuration.Organisation{}, 1_000_000))
	require.Empty(t, k.accounts)
}

func TestTheFirstPromptWaitsForALease(t *testing.T) {
	k := newKeeper(t, newFakeStore(), "a")
	result := make(chan error, 1)
	go func() { result <- k.Take("framers", limited, 500) }()
	<-k.wake
	k.renew("framers")
	require.NoError(t, <-result)
	require.Positive(t, k.rate())
}

func TestWithoutALeaseItIsTold(t *testing.T) {
	store := newFakeStore()
	store.set(true, false)
	k := newKeeper(t, store, "a")
	k.ask(500)
	err := k.Take("framers", limited, 500)
	require.True(t, errcode.Is(err, errcode.QuotaExceeded), "%v", err)
	require.Positive(t, errcode.From(err).RetryAfter)
}

// TestVMsShareALimit has two VMs ask for all of it, through outages and lost
// answers; the sum of what they may spend never passes it.
func TestVMsShareALimit(t *testing.T) {
	store := newFakeStore()
	a, b := newKeeper(t, store, "a"), newKeeper(t, store, "b")
	for round := range 40 {
		store.set(round%7 == 3, round%5 == 2)
		a.ask(100_000)
		require.LessOrEqual(t, a.rate()+b.rate(), 1000.0)
		b.ask(100_000)
		require.LessOrEqual(t, a.rate()+b.rate(), 1000.0)
	}
	store.set(false, false)
	for range 4 {
		a.ask(100_000)
		b.ask(100_000)
	}
	require.InDelta(t, 500, a.rate(), 1)
	require.InDelta(t, 500, b.rate(), 1)

	a.release("framers")
	require.Zero(t, a.rate())
	b.ask(100_000)
	require.InDelta(t, 1000, b.rate(), 1)
}

// TestAnOutageOutlivesNoLease keeps the share while the lease lasts.
func TestAnOutageOutlivesNoLease(t *testing.T) {
	store := newFakeStore()
	k := newKeeper(t, store, "a")
	k.ask(500)
	held := k.rate()
	require.Positive(t, held)
	store.set(true, false)
	k.ask(500)
	require.InDelta(t, held, k.rate(), 1e-9)
	lapsed := time.Now().Add(quota.DefaultConfig().Lease)
	require.Zero(t, k.accounts["framers"].lease.Rate(lapsed))
}

func TestAnIdleOrganisationIsForgotten(t *testing.T) {
	k := newKeeper(t, newFakeStore(), "a")
	k.ask(500)
	k.renew("framers")
	require.Empty(t, k.accounts)
}
