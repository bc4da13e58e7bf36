package upstream

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cornelsaddle.example/cornelsaddle/core/reach"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// paths is what a Transport knows of its paths to endpoints. It is safe for concurrent use.
type paths struct {
	log *event.Logger

	mu      sync.Mutex
	tracker *reach.Tracker
	// quiet is true while nothing is known against any path, which saves the lock for each
	// read of a response.
	quiet atomic.Bool
}

func newPaths(log *event.Logger) *paths {
	p := &paths{log: log, tracker: reach.New()}
	p.quiet.Store(true)
	return p
}

// reached records that bytes arrived from an endpoint, or a connection was opened.
func (p *paths) reached(path reach.Path) {
	if p.quiet.Load() {
		return
	}
	p.change(func(now time.Time) []reach.Change { return p.tracker.Reached(now, path) })
}

// failed records that this VM did not reach an endpoint that another VM reached.
func (p *paths) failed(path reach.Path) {
	p.change(func(now time.Time) []reach.Change { return p.tracker.Failed(now, path) })
}

// unreached records that no VM reached an endpoint.
func (p *paths) unreached(path reach.Path) {
	p.change(func(now time.Time) []reach.Change { return p.tracker.Unreached(now, path) })
}

func (p *paths) change(update func(now time.Time) []reach.Change) {
	p.mu.Lock()
	changes := update(time.Now())
	p.quiet.Store(p.tracker.Quiet())
	p.mu.Unlock()
	for _, c := range changes {
		p.emit(c)
	}
}

func (p *paths) emit(c reach.Change) {
	if p.log == nil {
		return
	}
	evidence := strings.Join(c.Evidence, ",")
	if c.Lost {
		p.log.Emit(event.PathsLost{Scope: string(c.Scope), Name: c.Name, Evidence: evidence})
		return
	}
	p.log.Emit(event.PathsRegained{Scope: string(c.Scope), Name: c.Name, Evidence: evidence, Lost: c.For})
}

func (p *paths) suspect(path reach.Path) bool {
	if p.quiet.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Suspect(time.Now(), path)
}

// down reports whether no VM has reached the endpoint lately.
func (p *paths) down(path reach.Path) bool {
	if p.quiet.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Down(time.Now(), path)
}

func (p *paths) lost(path reach.Path) bool {
	if p.quiet.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Lost(path)
}

func (p *paths) cutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.CutOff()
}

func (p *paths) lostPaths() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.LostPaths(time.Now())
}
