package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Window is the time constant with which received work decays.
	Window = 3 * time.Second
	// MaxSummary is the largest number of organisations in a summary.
	MaxSummary = 64
	// MaxAccounts bounds the pairs of a VM and an organisation: 450 VMs with 24 organisations
	// each are 10,800. Above it the smaller half is dropped.
	MaxAccounts = 16384

	// sweepInterval is the time between two removals of organisations that have received
	// nearly nothing.
	sweepInterval = Window
	// negligibleWork is the work below which an organisation is removed, and negligibleShare
	// the part of the mean of all. Either way it is as if it had received none.
	negligibleWork  = time.Millisecond
	negligibleShare = 0.01
)

// account identifies the work of one organisation's requests at one entry VM.
type account struct{ owner, organisation string }

// Ledger counts the work that organisations have received from one service, by the entry VM
// of their requests. It is not safe for concurrent use.
type Ledger struct {
	// accounts has the work as of epoch, in ns: work that was added later counts for more
	// there, so that all of it decays alike without being touched. totals are the sums by
	// organisation, and sum that of all.
	epoch    time.Time
	accounts map[account]float64
	totals   map[string]float64
	sum      float64
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{accounts: make(map[account]float64), totals: make(map[string]float64)}
}

// Share is the work that an organisation has received, as it is passed on between VMs.
type Share struct {
	Organisation string
	Received     time.Duration
}

// Add counts work that a request of the organisation at the VM owner received. Negative work
// takes back what was counted at the same time.
func (l *Ledger) Add(at time.Time, owner, organisation string, work time.Duration) {
	l.sweep(at)
	l.set(account{owner, organisation}, l.accounts[account{owner, organisation}]+float64(work)*l.growth(at))
}

// Received returns the work that an organisation has received in the window.
func (l *Ledger) Received(now time.Time, organisation string) time.Duration {
	return time.Duration(l.totals[organisation] / l.growth(now))
}

// Total returns the work that all organisations have received in the window.
func (l *Ledger) Total(now time.Time) time.Duration { return time.Duration(l.sum / l.growth(now)) }

// Active returns the number of organisations that have received work, or are among those
// that wait for some. The latter are listed once each.
func (l *Ledger) Active(waiting []string) int {
	n := len(l.totals)
	for _, o := range waiting {
		if _, found := l.totals[o]; !found {
			n++
		}
	}
	return n
}

// Summary returns the work of the requests of the VM owner by organisation, the largest
// MaxSummary of them first.
func (l *Ledger) Summary(now time.Time, owner string) []Share {
	l.sweep(now)
	growth := l.growth(now)
	var list []Share
	for a, work := range l.accounts {
		if received := time.Duration(work / growth); a.owner == owner && received >= negligibleWork {
			list = append(list, Share{a.organisation, received})
		}
	}
	slices.SortFunc(list, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Received, a.Received), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list[:min(len(list), MaxSummary)]
}

// Merge adds a summary of the requests of the VM owner. Of each organisation the larger of the
// known and the stated work counts: the VM knows all of its requests unless it has restarted,
// and the same summary may come twice.
func (l *Ledger) Merge(now time.Time, owner string, list []Share) {
	l.sweep(now)
	growth := l.growth(now)
	for _, s := range list[:min(len(list), MaxSummary)] {
		a := account{owner, s.Organisation}
		l.set(a, max(l.accounts[a], float64(s.Received)*growth))
	}
}

// set replaces the work of an account.
func (l *Ledger) set(a account, work float64) {
	work = max(0, work)
	old, found := l.accounts[a]
	if !found && work == 0 {
		return
	}
	if !found && len(l.accounts) >= MaxAccounts {
		l.dropSmaller()
	}
	l.accounts[a] = work
	l.totals[a.organisation] += work - old
	l.sum += work - old
}

// growth returns the factor by which work that is received at a time counts for more than work at
// the epoch.
func (l *Ledger) growth(at time.Time) float64 {
	if l.epoch.IsZero() {
		l.epoch = at
	}
	return math.Exp(float64(at.Sub(l.epoch)) / float64(Window))
}

// sweep moves the epoch to the given time, and removes the organisations that have received
// nearly nothing.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.epoch) < sweepInterval {
		return
	}
	growth := l.growth(now)
	least := max(float64(negligibleWork)*growth, negligibleShare*l.sum/float64(max(1, len(l.totals))))
	for a, work := range l.accounts {
		if l.totals[a.organisation] < least {
			delete(l.accounts, a)
			continue
		}
		l.accounts[a] = work / growth
	}
	l.epoch = now
	l.recount()
}

// dropSmaller removes the smaller half of the accounts.
func (l *Ledger) dropSmaller() {
	list := make([]account, 0, len(l.accounts))
	for a := range l.accounts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b account) int { return cmp.Compare(l.accounts[a], l.accounts[b]) })
	for _, a := range list[:len(list)/2] {
		delete(l.accounts, a)
	}
	l.recount()
}

// recount computes the sums anew, which also removes their rounding errors.
func (l *Ledger) recount() {
	clear(l.totals)
	l.sum = 0
	for a, work := range l.accounts {
		l.totals[a.organisation] += work
		l.sum += work
	}
}
