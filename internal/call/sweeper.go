package call

import (
	"slices"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/dial"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

const (
	// SweepLease is the name of the lease under which one VM removes expired
	// rows.
	SweepLease = "calls/sweep"
	// pageRows is the number of rows read per scan request, unless they are too large for
	// one response, and batchRows the number removed per transaction.
	pageRows  = 500
	batchRows = 100
	// pageInterval is the time between two pages, and sweepInterval
	// the time between two sweeps.
	pageInterval  = 200 * time.Millisecond
	sweepInterval = 10 * time.Minute
	// removeTimeout is the timeout of one removing transaction.
	removeTimeout = 2 * time.Second
)

// Leases reports which leases this VM holds.
type Leases interface {
	Use(name string, within time.Duration) (fencing int64, done func(), ok bool)
}

// Sweeper removes expired rows while this VM holds SweepLease. Two
// concurrent sweepers would be safe, because a row is only removed if its
// version has not changed.
type Sweeper struct {
	runner *Runner
	leases Leases
	sweep  calls.Sweep
	stop   chan struct{}
	done   sync.WaitGroup
}

// NewSweeper returns a Sweeper for the Runner's rows.
func NewSweeper(r *Runner, leases Leases) *Sweeper {
	return &Sweeper{runner: r, leases: leases, sweep: calls.Sweep{VM: r.vm}, stop: make(chan struct{})}
}

// Start starts the periodic sweeps in the background.
func (s *Sweeper) Start() { s.done.Go(s.run) }

// Stop stops the Sweeper and waits until it has ended.
func (s *Sweeper) Stop() {
	close(s.stop)
	s.done.Wait()
}

func (s *Sweeper) run() {
	for s.wait(sweepInterval) {
		if err := s.sweepOnce(); err != nil {
			s.runner.log.Emit(event.CallsNotSwept{Reason: err.Error()})
		}
	}
}

// wait waits for d. It returns false if the Sweeper is stopped before.
func (s *Sweeper) wait(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// sweepOnce scans all rows once and removes the expired ones. It ends early
// without an error if the lease is lost.
func (s *Sweeper) sweepOnce() error {
	rows, removed, limit := 0, 0, pageRows
	page := wire.ScanResult{More: true}
	after := ""
	for page.More && s.wait(pageInterval) {
		_, done, ok := s.leases.Use(SweepLease, 0)
		if !ok {
			return nil
		}
		done()
		var err error
		if page, limit, err = s.scan(after, limit); err != nil {
			return err
		}
		if len(page.Rows) == 0 {
			break
		}
		after = page.Rows[len(page.Rows)-1].Key
		rows += len(page.Rows)
		s.sweep.Observe(page.Rows)
		n, err := s.remove(s.sweep.Expired(page.Rows, time.Now()))
		if err != nil {
			return err
		}
		removed += n
	}
	if removed > 0 {
		s.runner.log.Emit(event.CallsSwept{Rows: rows, Removed: removed})
	}
	return nil
}

// scan reads a page of at most limit rows. It halves the limit until the page is within the bound
// of a response, and returns the limit for the next page.
func (s *Sweeper) scan(after string, limit int) (wire.ScanResult, int, error) {
	for {
		page, err := s.runner.store.Scan(wire.Scan{Prefix: calls.KeyPrefix, After: after, Limit: limit})
		if err == nil || !dial.OverBound(err) || limit == 1 {
			return page, limit, err
		}
		limit /= 2
	}
}

// remove removes the rows, their objects first, and returns the number of rows
// removed. A batch in which a row has changed is left to the next sweep.
func (s *Sweeper) remove(expired []calls.Expired) (int, error) {
	removed := 0
	for batch := range slices.Chunk(expired, batchRows) {
		for _, e := range batch {
			if e.Object == "" {
				continue
			}
			if err := s.runner.store.DeleteObject(e.Object); err != nil {
				return removed, err
			}
		}
		_, outcome, err := s.runner.store.Try(platform.ClassCallWrite, calls.Removal(batch), removeTimeout)
		if err != nil {
			return removed, err
		}
		if outcome == platform.OutcomeApplied {
			removed += len(batch)
		}
	}
	return removed, nil
}
