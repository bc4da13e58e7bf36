// Package quota enforces the organisations' token rate limits on this VM. The VM
// leases a share of each limit through a row of the platform's table service and
// admits prompts within that share.
package quota

import (
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/quota"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

const (
	// keyPrefix is the prefix of the keys of the organisations' rows.
	keyPrefix = "quota/"
	// checkInterval is the interval between checks for leases that are due for
	// renewal, and the shortest retry delay returned by Take.
	checkInterval = time.Second
	// firstLeaseWait is the longest time for which an organisation's first prompts
	// wait for a lease.
	firstLeaseWait = 500 * time.Millisecond
)

// Store is the part of the table service that stores the shares.
type Store interface {
	Get(key string) (wire.Row, error)
	Apply(txn wire.Txn) (wire.TxnResult, platform.Outcome, error)
}

// account is the state of one organisation's limit on this VM.
type account struct {
	limit  float64
	lease  quota.Lease
	bucket quota.Bucket
	// renewAt is the time of the next renewal of the lease.
	renewAt time.Time
	// ready is closed when the first renewal has ended, successfully or not.
	ready chan struct{}
	// idle reports that the organisation has requested no tokens since the last
	// renewal.
	idle bool
}

// Limiter leases and spends this VM's shares of the organisations' limits. It is
// safe for concurrent use.
type Limiter struct {
	cfg      quota.Config
	self     quota.Holder
	store    Store
	follower *confsync.Follower
	log      *event.Logger
	wake     chan struct{}
	stop     chan struct{}
	done     chan struct{}

	mu       sync.Mutex
	accounts map[string]*account
}

// New returns a Keeper that leases shares in the name of self. Its limits are
// updated from the follower's current configuration.
func New(cfg quota.Config, self quota.Holder, store Store, follower *confsync.Follower, log *event.Logger) *Limiter {
	return &Limiter{
		cfg:      cfg,
		self:     self,
		store:    store,
		follower: follower,
		log:      log,
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		accounts: make(map[string]*account),
	}
}

// Start starts the renewal of shares.
func (k *Limiter) Start() { go k.run() }

// Stop ends the renewal and releases the shares.
func (k *Limiter) Stop() {
	close(k.stop)
	<-k.done
	for _, name := range k.accountNames() {
		k.release(name)
	}
}

// Take withdraws tokens from this VM's share of the organisation's limit. If the
// share does not suffice, it returns QuotaExceeded with the time after which to retry.
// An organisation without a limit is always admitted. The first prompts of an
// organisation wait up to firstLeaseWait for the lease.
func (k *Limiter) Take(organisation string, o configuration.Organisation, tokens int64) error {
	if o.TokensPerSecond <= 0 {
		return nil
	}
	select {
	case <-k.account(organisation, o).ready:
	case <-time.After(firstLeaseWait):
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	a := k.accountLocked(organisation, o)
	wait, ok := a.bucket.Take(now, a.lease.Rate(now), tokens)
	if ok {
		return nil
	}
	return errcode.New(errcode.QuotaExceeded, "the organisation used its tokens for now").WithRetryAfter(max(wait, checkInterval))
}

func (k *Limiter) account(organisation string, o configuration.Organisation) *account {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.accountLocked(organisation, o)
}

// accountLocked returns the organisation's account. If there is none, it creates
// one and triggers the first renewal. The lock must be held.
func (k *Limiter) accountLocked(organisation string, o configuration.Organisation) *account {
	a := k.accounts[organisation]
	if a == nil {
		a = &account{renewAt: time.Now(), ready: make(chan struct{})}
		k.accounts[organisation] = a
		k.wakeRenewal()
	}
	a.limit = o.TokensPerSecond
	a.idle = false
	return a
}

// wakeRenewal wakes the renewal loop, so that the lease of a new organisation is
// fetched at once.
func (k *Limiter) wakeRenewal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Limiter) run() {
	defer close(k.done)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for _, name := range k.dueForRenewal(time.Now()) {
			k.renew(name)
		}
		select {
		case <-k.stop:
			return
		case <-ticker.C:
		case <-k.wake:
		}
	}
}

// dueForRenewal updates the limits from the current configuration and returns the
// organisations whose lease is due for renewal. The renewal releases the share
// of an organisation that no longer has a limit.
func (k *Limiter) dueForRenewal(now time.Time) []string {
	snap := k.follower.Current()
	if snap == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	for name, a := range k.accounts {
		a.limit = snap.Organisations[name].TokensPerSecond
		if !now.Before(a.renewAt) {
			names = append(names, name)
		}
	}
	return names
}

func (k *Limiter) accountNames() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	names := make([]string, 0, len(k.accounts))
	for name := range k.accounts {
		names = append(names, name)
	}
	return names
}

// renew requests a share that covers the organisation's use on this VM. The share
// of an organisation that was idle since the last renewal is released.
func (k *Limiter) renew(name string) {
	k.mu.Lock()
	a := k.accounts[name]
	defer a.markReady()
	now := time.Now()
	a.renewAt = now.Add(k.cfg.Renew)
	idle := a.idle || a.limit <= 0
	a.idle = true
	request := quota.Request{Holder: k.self, Limit: a.limit, TokensPerSecond: k.shareToRequest(now, a)}
	k.mu.Unlock()
	if idle {
		k.release(name)
		return
	}
	row, version, err := k.read(name)
	if err != nil {
		k.log.Emit(event.QuotaUnreadable{Organisation: name, Reason: err.Error()})
		return
	}
	next, share := row.Renew(k.cfg, now, request)
	k.updateLease(name, func(l *quota.Lease) { l.Prepare(share) })
	if k.write(name, version, next) {
		k.updateLease(name, (*quota.Lease).Confirm)
		return
	}
	k.updateLease(name, (*quota.Lease).MarkUnconfirmed)
}

// markReady unblocks the first prompts. It must be called only by the goroutine
// that renews leases, because it closes ready without a lock.
func (a *account) markReady() {
	select {
	case <-a.ready:
	default:
		close(a.ready)
	}
}

// shareToRequest returns the share to request, in tokens per second: the rate
// that the organisation requests on this VM plus the fraction Config.Spare, at
// least minShareFraction of the limit, at most the limit. The lock must be held.
func (k *Limiter) shareToRequest(now time.Time, a *account) float64 {
	used := a.bucket.RequestedRate(now, a.lease.Rate(now))
	return min(a.limit, max(a.limit*minShareFraction, used*(1+k.cfg.Spare)))
}

// minShareFraction is the smallest fraction of a limit that a VM requests, so
// that an organisation without recent use can start.
const minShareFraction = 0.1

func (k *Limiter) updateLease(name string, do func(*quota.Lease)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.accounts[name]; a != nil {
		do(&a.lease)
	}
}

// release stops the use of the share and then removes it from the row. If the
// write fails, the share in the row expires with its lease.
func (k *Limiter) release(name string) {
	k.updateLease(name, (*quota.Lease).Drop)
	row, version, err := k.read(name)
	if err == nil && version != wire.AbsentVersion && !k.write(name, version, row.Release(k.self)) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.accounts[name]; a != nil && a.idle {
		delete(k.accounts, name)
	}
}

func (k *Limiter) read(name string) (quota.Row, int64, error) {
	stored, err := k.store.Get(rowKey(name))
	if err != nil {
		return quota.Row{}, 0, err
	}
	var row quota.Row
	if stored.Version == wire.AbsentVersion {
		return row, stored.Version, nil
	}
	return row, stored.Version, errors.WithStack(json.Unmarshal(stored.Value, &row))
}

// write writes the row if its version is unchanged. It returns false if the write
// was not applied or if its outcome is unknown.
func (k *Limiter) write(name string, version int64, row quota.Row) bool {
	data, err := json.Marshal(row)
	if err != nil {
		return false
	}
	key := rowKey(name)
	_, outcome, err := k.store.Apply(wire.Txn{
		Conditions: []wire.Condition{{Key: key, Version: version}},
		Puts:       []wire.Put{{Key: key, Value: data}},
	})
	if err != nil {
		k.log.Emit(event.QuotaUnreadable{Organisation: name, Reason: err.Error()})
	}
	return outcome == platform.OutcomeApplied
}

// rowKey returns the key of the organisation's row. The name is hex-encoded, so
// that it may contain any characters.
func rowKey(name string) string { return keyPrefix + hex.EncodeToString([]byte(name)) }
