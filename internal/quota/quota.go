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

// New returns a Limiter that leases shares in the name of self. Its limits are
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
func (l *Limiter) Start() { go l.run() }

// Stop ends the renewal and releases the shares.
func (l *Limiter) Stop() {
	close(l.stop)
	<-l.done
	for _, name := range l.accountNames() {
		l.release(name)
	}
}

// Take withdraws tokens from this VM's share of the organisation's limit. If the
// share does not suffice, it returns QuotaExceeded with the time after which to retry.
// An organisation without a limit is always admitted. The first prompts of an
// organisation wait up to firstLeaseWait for the lease.
func (l *Limiter) Take(organisation string, o configuration.Organisation, tokens int64) error {
	if o.TokensPerSecond <= 0 {
		return nil
	}
	select {
	case <-l.account(organisation, o).ready:
	case <-time.After(firstLeaseWait):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	a := l.accountLocked(organisation, o)
	wait, ok := a.bucket.Take(now, a.lease.Rate(now), tokens)
	if ok {
		return nil
	}
	return errcode.New(errcode.QuotaExceeded, "the organisation used its tokens for now").WithRetryAfter(max(wait, checkInterval))
}

func (l *Limiter) account(organisation string, o configuration.Organisation) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accountLocked(organisation, o)
}

// accountLocked returns the organisation's account. If there is none, it creates
// one and triggers the first renewal. The lock must be held.
func (l *Limiter) accountLocked(organisation string, o configuration.Organisation) *account {
	a := l.accounts[organisation]
	if a == nil {
		a = &account{renewAt: time.Now(), ready: make(chan struct{})}
		l.accounts[organisation] = a
		l.wakeRenewal()
	}
	a.limit = o.TokensPerSecond
	a.idle = false
	return a
}

// wakeRenewal wakes the renewal loop, so that the lease of a new organisation is
// fetched immediately.
func (l *Limiter) wakeRenewal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Limiter) run() {
	defer close(l.done)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for _, name := range l.dueForRenewal(time.Now()) {
			l.renew(name)
		}
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		case <-l.wake:
		}
	}
}

// dueForRenewal updates the limits from the current configuration and returns the
// organisations whose lease is due for renewal. The renewal releases the share
// of an organisation that no longer has a limit.
func (l *Limiter) dueForRenewal(now time.Time) []string {
	snap := l.follower.Current()
	if snap == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, a := range l.accounts {
		a.limit = snap.Organisations[name].TokensPerSecond
		if !now.Before(a.renewAt) {
			names = append(names, name)
		}
	}
	return names
}

func (l *Limiter) accountNames() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.accounts))
	for name := range l.accounts {
		names = append(names, name)
	}
	return names
}

// renew requests a share that covers the organisation's use on this VM. The share
// of an organisation that was idle since the last renewal is released.
func (l *Limiter) renew(name string) {
	l.mu.Lock()
	a := l.accounts[name]
	defer a.markReady()
	now := time.Now()
	a.renewAt = now.Add(l.cfg.Renew)
	idle := a.idle || a.limit <= 0
	a.idle = true
	request := quota.Request{Holder: l.self, Limit: a.limit, TokensPerSecond: l.shareToRequest(now, a)}
	l.mu.Unlock()
	if idle {
		l.release(name)
		return
	}
	row, version, err := l.read(name)
	if err != nil {
		l.log.Emit(event.QuotaUnreadable{Organisation: name, Reason: err.Error()})
		return
	}
	next, share := row.Renew(l.cfg, now, request)
	l.updateLease(name, func(lease *quota.Lease) { lease.Prepare(share) })
	if l.write(name, version, next) {
		l.updateLease(name, (*quota.Lease).Confirm)
		return
	}
	l.updateLease(name, (*quota.Lease).MarkUnconfirmed)
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
func (l *Limiter) shareToRequest(now time.Time, a *account) float64 {
	used := a.bucket.RequestedRate(now, a.lease.Rate(now))
	return min(a.limit, max(a.limit*minShareFraction, used*(1+l.cfg.Spare)))
}

// minShareFraction is the smallest fraction of a limit that a VM requests, so
// that an organisation without recent use can start.
const minShareFraction = 0.1

func (l *Limiter) updateLease(name string, do func(*quota.Lease)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[name]; a != nil {
		do(&a.lease)
	}
}

// release stops the use of the share and then removes it from the row. If the
// write fails, the share in the row expires with its lease.
func (l *Limiter) release(name string) {
	l.updateLease(name, (*quota.Lease).Drop)
	row, version, err := l.read(name)
	if err == nil && version != wire.AbsentVersion && !l.write(name, version, row.Release(l.self)) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[name]; a != nil && a.idle {
		delete(l.accounts, name)
	}
}

func (l *Limiter) read(name string) (quota.Row, int64, error) {
	stored, err := l.store.Get(rowKey(name))
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
func (l *Limiter) write(name string, version int64, row quota.Row) bool {
	data, err := json.Marshal(row)
	if err != nil {
		return false
	}
	key := rowKey(name)
	_, outcome, err := l.store.Apply(wire.Txn{
		Conditions: []wire.Condition{{Key: key, Version: version}},
		Puts:       []wire.Put{{Key: key, Value: data}},
	})
	if err != nil {
		l.log.Emit(event.QuotaUnreadable{Organisation: name, Reason: err.Error()})
	}
	return outcome == platform.OutcomeApplied
}

// rowKey returns the key of the organisation's row. The name is hex-encoded, so
// that it may contain any characters.
func rowKey(name string) string { return keyPrefix + hex.EncodeToString([]byte(name)) }
