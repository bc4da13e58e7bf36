package lease

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/lease"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	standinplatform "cornelsaddle.example/cornelsaddle/standin/platform"
)

// fakeStore is a Store over an in-memory table that counts its reads and writes.
type fakeStore struct {
	table  *standinplatform.Table
	down   atomic.Bool
	reads  atomic.Int64
	writes atomic.Int64
}

func (f *fakeStore) Try(_ platform.Class, txn wire.Txn, _ time.Duration) (wire.TxnResult, platform.Outcome, error) {
	if f.down.Load() {
		return wire.TxnResult{}, platform.OutcomeNotApplied, &platform.NotSentError{Reason: platform.ReasonUnreachable}
	}
	f.writes.Add(1)
	result := f.table.Apply(txn)
	if result.Applied {
		return result, platform.OutcomeApplied, nil
	}
	return result, platform.OutcomeNotApplied, nil
}

func (f *fakeStore) Get(key string) (wire.Row, error) {
	if f.down.Load() {
		return wire.Row{}, &platform.NotSentError{Reason: platform.ReasonUnreachable}
	}
	f.reads.Add(1)
	return f.table.Get(key), nil
}

// virtualClock returns the virtual time of the synctest bubble.
func virtualClock() lease.Instant {
	now := time.Now()
	return lease.Instant{Mono: time.Duration(now.UnixNano()), Wall: now.Round(0)}
}

func startManagers(t *testing.T, store *fakeStore, n int) []*Manager {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", "test")
	require.NoError(t, err)
	managers := make([]*Manager, 0, n)
	ids := make([]string, 0, n)
	for i := range n {
		id := fmt.Sprint("entry-", i)
		ids = append(ids, id)
		managers = append(managers, newManager(lease.DefaultConfig(), store, log, id, int64(i), virtualClock))
	}
	for _, m := range managers {
		m.SetMembers(func() []string { return ids })
		m.Start()
		synctest.Wait()
	}
	return managers
}

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("orders/service-", i)
	}
	return list
}

// TestRenewalsFitTheStore measures, in virtual time, the reads and writes that
// the leases of the largest fleet cause: 8 models in each of 12 failure domains.
// They do not depend on the number of VMs, because only the candidates for a
// lease read it.
func TestRenewalsFitTheStore(t *testing.T) {
	const (
		vms         = 12
		leases      = 8 * 12
		seconds     = 60
		writesBound = 30
		readsBound  = 100
	)
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{table: standinplatform.NewTable()}
		managers := startManagers(t, store, vms)
		for _, m := range managers {
			require.NoError(t, m.SetWanted(names(leases)))
		}
		time.Sleep(30 * time.Second)
		synctest.Wait()
		reads, writes := store.reads.Load(), store.writes.Load()
		time.Sleep(seconds * time.Second)
		synctest.Wait()
		held := 0
		for _, m := range managers {
			held += len(m.Held())
		}
		require.Equal(t, leases, held)
		reads, writes = store.reads.Load()-reads, store.writes.Load()-writes
		t.Logf("%.1f writes/s, %.1f reads/s", float64(writes)/seconds, float64(reads)/seconds)
		require.LessOrEqual(t, writes, int64(writesBound*seconds))
		require.LessOrEqual(t, reads, int64(readsBound*seconds))
		for _, m := range managers {
			m.Stop()
		}
	})
}

func TestReleaseWaitsForUsersAndHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{table: standinplatform.NewTable()}
		managers := startManagers(t, store, 2)
		name := names(1)[0]
		for _, m := range managers {
			require.NoError(t, m.SetWanted([]string{name}))
		}
		time.Sleep(10 * time.Second)
		holder, other := managers[0], managers[1]
		if len(holder.Held()) == 0 {
			holder, other = other, holder
		}
		fencing, done, ok := holder.Use(name, time.Second)
		require.True(t, ok)
		released := make(chan error, 1)
		go func() { released <- holder.Release(context.Background()) }()
		time.Sleep(2 * time.Second)
		require.Empty(t, released, "released while the lease is in use")
		_, _, ok = holder.Use(name, 0)
		require.False(t, ok, "a lease that is being released must not be used")
		done()
		require.NoError(t, <-released)
		time.Sleep(lease.DefaultConfig().PollEvery + lease.DefaultConfig().RankStep + time.Second)
		next, done, ok := other.Use(name, time.Second)
		require.True(t, ok, "the next holder must not have to wait until the lease expires")
		done()
		require.Greater(t, next, fencing)
		for _, m := range managers {
			m.Stop()
		}
	})
}

// TestLongOutage checks a store outage that is longer than the lease: the
// holder's lease expires, no VM acquires it during the outage, and afterwards one
// VM holds it and the row has a new version.
func TestLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{table: standinplatform.NewTable()}
		managers := startManagers(t, store, 3)
		name := names(1)[0]
		for _, m := range managers {
			require.NoError(t, m.SetWanted([]string{name}))
		}
		time.Sleep(10 * time.Second)
		before := held(managers)
		require.Equal(t, 1, before)
		row := store.table.Get(lease.KeyPrefix + name)
		store.down.Store(true)
		time.Sleep(lease.DefaultConfig().TTL)
		require.Zero(t, held(managers))
		time.Sleep(time.Hour)
		require.Zero(t, held(managers))
		store.down.Store(false)
		time.Sleep(2 * lease.DefaultConfig().TTL)
		require.Equal(t, 1, held(managers))
		require.Greater(t, store.table.Get(lease.KeyPrefix+name).Version, row.Version)
		for _, m := range managers {
			m.Stop()
		}
	})
}

func held(managers []*Manager) int {
	n := 0
	for _, m := range managers {
		n += len(m.Held())
	}
	return n
}

func TestRankIsAPermutation(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	first := make(map[string]int)
	for _, name := range names(200) {
		ranks := make(map[int]int)
		for _, vm := range members {
			r := lease.Rank(name, vm, members)
			ranks[r]++
			if r == 0 {
				first[vm]++
			}
		}
		require.Equal(t, map[int]int{0: 1, 1: 1, 2: 1, lease.NotCandidate: 2}, ranks)
	}
	require.Len(t, first, len(members))
	require.Equal(t, 0, lease.Rank("x", "a", nil))
}
