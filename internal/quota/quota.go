// Package quota keeps this VM's leased shares of the organisations' limits,
// through rows of the platform's table service, and spends them.
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
	// keyPrefix starts the key of each organisation's row.
	keyPrefix = "quota/"
	// tick is how often the VM looks for leases that are due.
	tick = time.Second
	// firstWait bounds the wait of an organisation's first prompt for a lease.
	firstWait = 500 * time.Millisecond
)

// Store is the part of the table service that shares are kept in.
type Store interface {
	Get(key string) (wire.Row, error)
	Apply(txn wire.Txn) (wire.TxnResult, platform.Outcome, error)
}

// account is this VM's part of one organisation's limit.
type account struct {
	limit  float64
	lease  quota.Lease
	bucket quota.Bucket
	// due is when the lease is to be renewed.
	due time.Time
	// ready is closed once the first renewal is over, whatever came of it.
	ready chan struct{}
	// idle says that the organisation asked for nothing since the last renewal.
	idle bool
}

// Keeper is safe for concurrent use.
type Keeper struct {
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

// New returns a Keeper of the shares that self holds.
func New(cfg quota.Config, self quota.Holder, store Store, follower *confsync.Follower, log *event.Logger) *Keeper {
	return &Keeper{
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

// Start begins to renew shares.
func (k *Keeper) Start() { go k.run() }

// Stop ends it and gives the shares back.
func (k *Keeper) Stop() {
	close(k.stop)
	<-k.done
	for _, name := range k.held() {
		k.release(name)
	}
}

// Take takes tokens of the organisation's limit, or says when to come back. An
// organisation without a limit takes what it likes. The first prompt of an
// organisation waits for the lease for up to firstWait.
func (k *Keeper) Take(organisation string, o configuration.Organisation, tokens int64) error {
	if o.TokensPerSecond <= 0 {
		return nil
	}
	select {
	case <-k.account(organisation, o).ready:
	case <-time.After(firstWait):
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	a := k.accountLocked(organisation, o)
	wait, ok := a.bucket.Take(now, a.lease.Rate(now), tokens)
	if ok {
		return nil
	}
	return errcode.New(errcode.QuotaExceeded, "the organisation used its tokens for now").WithRetryAfter(max(wait, tick))
}

func (k *Keeper) account(organisation string, o configuration.Organisation) *account {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.accountLocked(organisation, o)
}

// accountLocked returns the organisation's account, and has its lease fetched if
// it is new. The lock is held.
func (k *Keeper) accountLocked(organisation string, o configuration.Organisation) *account {
	a := k.accounts[organisation]
	if a == nil {
		a = &account{due: time.Now(), ready: make(chan struct{})}
		k.accounts[organisation] = a
		k.nudge()
	}
	a.limit = o.TokensPerSecond
	a.idle = false
	return a
}

// nudge has the lease of a new organisation fetched at once.
func (k *Keeper) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) run() {
	defer close(k.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		for _, name := range k.due(time.Now()) {
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

// due lists the organisations whose lease is to be renewed, and forgets those
// without a limit.
func (k *Keeper) due(now time.Time) []string {
	snap := k.follower.Current()
	if snap == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	for name, a := range k.accounts {
		a.limit = snap.Organisations[name].TokensPerSecond
		if !now.Before(a.due) {
			names = append(names, name)
		}
	}
	return names
}

func (k *Keeper) held() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	names := make([]string, 0, len(k.accounts))
	for name := range k.accounts {
		names = append(names, name)
	}
	return names
}

// renew asks for the share that the organisation uses here. One that was idle
// since the last renewal gives its share up.
func (k *Keeper) renew(name string) {
	k.mu.Lock()
	a := k.accounts[name]
	defer a.renewed()
	now := time.Now()
	a.due = now.Add(k.cfg.Renew)
	idle := a.idle || a.limit <= 0
	a.idle = true
	ask := quota.Request{Holder: k.self, Limit: a.limit, TokensPerSecond: k.want(now, a)}
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
	next, share := row.Renew(k.cfg, now, ask)
	k.change(name, func(l *quota.Lease) { l.Prepare(share) })
	if k.write(name, version, next) {
		k.change(name, (*quota.Lease).Confirm)
		return
	}
	k.change(name, (*quota.Lease).MarkUnconfirmed)
}

// renewed lets the first prompts go on. Only the goroutine that renews calls it.
func (a *account) renewed() {
	select {
	case <-a.ready:
	default:
		close(a.ready)
	}
}

// want is what the organisation uses here and some more, and at least what lets
// it begin. The lock is held.
func (k *Keeper) want(now time.Time, a *account) float64 {
	used := a.bucket.RequestedRate(now, a.lease.Rate(now))
	return min(a.limit, max(a.limit*firstShare, used*(1+k.cfg.Spare)))
}

// firstShare is the part of a limit that a VM asks for at the least.
const firstShare = 0.1

func (k *Keeper) change(name string, do func(*quota.Lease)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.accounts[name]; a != nil {
		do(&a.lease)
	}
}

// release gives the share up, here first. What a failed write leaves in the row
// expires by itself.
func (k *Keeper) release(name string) {
	k.change(name, (*quota.Lease).Drop)
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

func (k *Keeper) read(name string) (quota.Row, int64, error) {
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

// write puts the row if it has not changed; false also where nobody knows.
func (k *Keeper) write(name string, version int64, row quota.Row) bool {
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

// rowKey encodes the name, so that no name breaks the key.
func rowKey(name string) string { return keyPrefix + hex.EncodeToString([]byte(name)) }
