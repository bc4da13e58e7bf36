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

func newTestLimiter(t *testing.T, store Store, vm string) *Limiter {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", vm)
	require.NoError(t, err)
	return New(quota.DefaultConfig(), quota.Holder{VM: vm, Incarnation: 1}, store, nil, log)
}

func (l *Limiter) rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts["framers"]; a != nil {
		return a.lease.Rate(time.Now())
	}
	return 0
}

// takeAndRenew requests tokens for the organisation and then renews its lease.
func (l *Limiter) takeAndRenew(tokens int64) {
	a := l.account("framers", limited)
	now := time.Now()
	l.mu.Lock()
	_, _ = a.bucket.Take(now, a.lease.Rate(now), tokens)
	l.mu.Unlock()
	l.renew("framers")
}

func TestUnlimitedOrganisationNeedsNoLease(t *testing.T) {
	l := newTestLimiter(t, nil, "a")
	require.NoError(t, l.Take("framers", configuration.Organisation{}, 1_000_000))
	require.Empty(t, l.accounts)
}

func TestFirstPromptWaitsForLease(t *testing.T) {
	l := newTestLimiter(t, newFakeStore(), "a")
	result := make(chan error, 1)
	go func() { result <- l.Take("framers", limited, 500) }()
	<-l.wake
	l.renew("framers")
	require.NoError(t, <-result)
	require.Positive(t, l.rate())
}

func TestTakeWithoutLeaseReturnsRetryAfter(t *testing.T) {
	store := newFakeStore()
	store.setFaults(true, false)
	l := newTestLimiter(t, store, "a")
	l.takeAndRenew(500)
	err := l.Take("framers", limited, 500)
	require.True(t, errcode.Is(err, errcode.QuotaExceeded), "%v", err)
	require.Positive(t, errcode.From(err).RetryAfter)
}

// TestVMsShareLimit checks that the shares of two VMs, each of which requests
// more than the limit, never add up to more than the limit, also during outages
// and lost responses; and that both get equal shares after these, or one VM the
// whole limit once the other has released its share.
func TestVMsShareLimit(t *testing.T) {
	store := newFakeStore()
	a, b := newTestLimiter(t, store, "a"), newTestLimiter(t, store, "b")
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
	l := newTestLimiter(t, store, "a")
	l.takeAndRenew(500)
	held := l.rate()
	require.Positive(t, held)
	store.setFaults(true, false)
	l.takeAndRenew(500)
	require.InDelta(t, held, l.rate(), 1e-9)
	lapsed := time.Now().Add(quota.DefaultConfig().Lease)
	require.Zero(t, l.accounts["framers"].lease.Rate(lapsed))
}

func TestIdleOrganisationIsRemoved(t *testing.T) {
	l := newTestLimiter(t, newFakeStore(), "a")
	l.takeAndRenew(500)
	l.renew("framers")
	require.Empty(t, l.accounts)
}
