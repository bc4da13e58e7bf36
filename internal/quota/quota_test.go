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

func newKeeper(t *testing.T, store Store, vm string) *Limiter {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", vm)
	require.NoError(t, err)
	return New(quota.DefaultConfig(), quota.Holder{VM: vm, Incarnation: 1}, store, nil, log)
}

func (k *Limiter) rate() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.accounts["framers"]; a != nil {
		return a.lease.Rate(time.Now())
	}
	return 0
}

// takeAndRenew requests tokens for the organisation and then renews its lease.
func (k *Limiter) takeAndRenew(tokens int64) {
	a := k.account("framers", limited)
	now := time.Now()
	k.mu.Lock()
	_, _ = a.bucket.Take(now, a.lease.Rate(now), tokens)
	k.mu.Unlock()
	k.renew("framers")
}

func TestUnlimitedOrganisationNeedsNoLease(t *testing.T) {
	k := newKeeper(t, nil, "a")
	require.NoError(t, k.Take("framers", configuration.Organisation{}, 1_000_000))
	require.Empty(t, k.accounts)
}

func TestFirstPromptWaitsForLease(t *testing.T) {
	k := newKeeper(t, newFakeStore(), "a")
	result := make(chan error, 1)
	go func() { result <- k.Take("framers", limited, 500) }()
	<-k.wake
	k.renew("framers")
	require.NoError(t, <-result)
	require.Positive(t, k.rate())
}

func TestTakeWithoutLeaseReturnsRetryAfter(t *testing.T) {
	store := newFakeStore()
	store.setFaults(true, false)
	k := newKeeper(t, store, "a")
	k.takeAndRenew(500)
	err := k.Take("framers", limited, 500)
	require.True(t, errcode.Is(err, errcode.QuotaExceeded), "%v", err)
	require.Positive(t, errcode.From(err).RetryAfter)
}

// TestVMsShareLimit checks that the shares of two VMs, each of which requests
// more than the limit, never add up to more than the limit, also during outages
// and lost responses; and that both get equal shares after these, or one VM the
// whole limit once the other has released its share.
func TestVMsShareLimit(t *testing.T) {
	store := newFakeStore()
	a, b := newKeeper(t, store, "a"), newKeeper(t, store, "b")
	for round := range 40 {
		store.setFaults(round%7 == 3, round%5 == 2)
		a.takeAndRenew(100_000)
		require.LessOrEqual(t, a.rate()+b.rate(), 1000.0)
		b.takeAndRenew(100_000)
		require.LessOrEqual(t, a.rate()+b.rate(), 1000.0)
	}
	store.setFaults(false, false)
	for range 4 {
		a.takeAndRenew(100_000)
		b.takeAndRenew(100_000)
	}
	require.InDelta(t, 500, a.rate(), 1)
	require.InDelta(t, 500, b.rate(), 1)

	a.release("framers")
	require.Zero(t, a.rate())
	b.takeAndRenew(100_000)
	require.InDelta(t, 1000, b.rate(), 1)
}

// TestShareExpiresDuringOutage checks that a VM keeps its share during an outage
// of the store, but only until the lease expires.
func TestShareExpiresDuringOutage(t *testing.T) {
	store := newFakeStore()
	k := newKeeper(t, store, "a")
	k.takeAndRenew(500)
	held := k.rate()
	require.Positive(t, held)
	store.setFaults(true, false)
	k.takeAndRenew(500)
	require.InDelta(t, held, k.rate(), 1e-9)
	lapsed := time.Now().Add(quota.DefaultConfig().Lease)
	require.Zero(t, k.accounts["framers"].lease.Rate(lapsed))
}

func TestIdleOrganisationIsRemoved(t *testing.T) {
	k := newKeeper(t, newFakeStore(), "a")
	k.takeAndRenew(500)
	k.renew("framers")
	require.Empty(t, k.accounts)
}
