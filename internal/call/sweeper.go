package call

import (
	"slices"
	"sync"
	"time"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

const (
	// SweepLease is the lease under which one VM removes expired rows.
	SweepLease = "calls/sweep"
	// pageRows are read at a time, and batchRows removed by one transaction.
	pageRows  = 500
	batchRows = 100
	// pageEvery is the time between two pages, and passEvery between two passes.
	pageEvery = 200 * time.Millisecond
	passEvery = 10 * time.Minute
	// removeTimeout bounds one transaction.
	removeTimeout = 2 * time.Second
)

// Leases says under which leases this VM may act.
type Leases interface {
	Use(name string, within time.Duration) (fencing int64, done func(), ok bool)
}

// Sweeper removes expired rows while this VM holds SweepLease. Two sweepers at
// once would do no harm: a row is removed under the condition of its version.
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

// Start begins to sweep.
func (s *Sweeper) Start() { s.done.Go(s.run) }

// Stop ends it.
func (s *Sweeper) Stop() {
	close(s.stop)
	s.done.Wait()
}

func (s *Sweeper) run() {
	for s.pause(passEvery) {
		if err := s.pass(); err != nil {
			s.runner.log.Emit(event.CallsNotSwept{Reason: err.Error()})
		}
	}
}

// pause waits, and reports whether the Sweeper still runs.
func (s *Sweeper) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// pass goes once over all rows.
func (s *Sweeper) pass() error {
	rows, removed := 0, 0
	page := wire.ScanResult{More: true}
	after := ""
	for page.More && s.pause(pageEvery) {
		_, done, ok := s.leases.Use(SweepLease, 0)
		if !ok {
			return nil
		}
		done()
		var err error
		if page, err = s.runner.store.Scan(wire.Scan{Prefix: calls.KeyPrefix, After: after, Limit: pageRows}); err != nil {
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

// remove removes the rows, their objects first. A batch in which a row has
// changed is left to the next pass.
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
