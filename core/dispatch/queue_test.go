package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// busyPool is a pool of engines all slots of which are taken by short prompts, with
// more of them queued.
type busyPool struct {
	d       *Dispatcher
	now     time.Time
	jobs    int
	running []JobKey
}

func newBusyPool(engines, slots, queued int) *busyPool {
	p := &busyPool{d: New(DefaultConfig()), now: start}
	p.d.SetServices(start, []Service{{Name: "s", Engine: simCostModel()}})
	list := make([]Endpoint, 0, engines)
	for i := range engines {
		list = append(list, Endpoint{ID: fmt.Sprintf("e%03d", i), Service: "s", Slots: slots})
	}
	p.d.SetEndpoints(start, list)
	for range engines*slots + queued {
		p.submit()
	}
	return p
}

func (p *busyPool) submit() {
	p.jobs++
	j := prompt(fmt.Sprint(p.jobs), 5000, p.now)
	j.Deadline = p.now.Add(time.Hour)
	p.d.Submit(p.now, j)
	p.decide()
}

func (p *busyPool) decide() {
	for _, decision := range p.d.Decide(p.now) {
		p.running = append(p.running, decision.Key())
	}
}

// step advances the time by a millisecond, in which a prompt arrives, another one has
// its first event, and a third one ends.
func (p *busyPool) step() {
	p.now = p.now.Add(time.Millisecond)
	p.submit()
	p.d.FirstEvent(p.now, p.running[len(p.running)/2])
	p.decide()
	p.d.Finished(p.now, p.running[0], Served, "")
	p.running = p.running[1:]
	p.decide()
}

// TestBurstDoesNotMultiplySearches checks, for a burst of short prompts at a large pool
// that is full, that a long queue takes no more searches for assignments than a short
// one: a search for each queued prompt at each event takes a holder's whole processor,
// so that the VMs turn to other holders, and these collide.
func TestBurstDoesNotMultiplySearches(t *testing.T) {
	const steps = 200
	searches := func(queued int) int64 {
		p := newBusyPool(150, 10, queued)
		before := p.d.Searches()
		for range steps {
			p.step()
		}
		return p.d.Searches() - before
	}
	cfg := DefaultConfig()
	held := steps * time.Millisecond / cfg.LightRecheckInterval * time.Duration(cfg.HeldLightSearches)
	limit := 3*steps + int64(held)
	require.LessOrEqual(t, searches(10), limit)
	require.LessOrEqual(t, searches(400), limit)
}

// BenchmarkBusyPool measures one step of a busy pool.
func BenchmarkBusyPool(b *testing.B) {
	for _, queued := range []int{0, 100, 500} {
		b.Run(fmt.Sprintf("queue=%d", queued), func(b *testing.B) {
			p := newBusyPool(150, 10, queued)
			for b.Loop() {
				p.step()
			}
		})
	}
}

// TestQueueOfLongPromptsBoundsSearches checks, for long prompts that arrive faster than a
// large pool prefills them, that the number of searches in a time does not grow with the
// queue.
func TestQueueOfLongPromptsBoundsSearches(t *testing.T) {
	searches := func(queued int) int64 {
		d := New(DefaultConfig())
		d.SetServices(start, []Service{{Name: "s", Engine: simCostModel()}})
		list := make([]Endpoint, 0, 150)
		for i := range 150 {
			list = append(list, Endpoint{ID: fmt.Sprintf("e%03d", i), Service: "s", Slots: 10})
		}
		d.SetEndpoints(start, list)
		for i := range queued {
			j := prompt(fmt.Sprint(i), 400000, start)
			j.Due, j.Deadline = start.Add(time.Hour), start.Add(2*time.Hour)
			d.Submit(start, j)
		}
		d.Decide(start)
		before := d.Searches()
		for ms := range 1000 {
			d.Decide(at(float64(ms)))
		}
		return d.Searches() - before
	}
	cfg := DefaultConfig()
	limit := int64(time.Second/cfg.RecheckInterval+1) * int64(cfg.RechecksPerInterval)
	require.LessOrEqual(t, searches(100), 2*limit)
	require.LessOrEqual(t, searches(400), 2*limit)
}

// TestRestrictedPromptDoesNotHoldOthers lets a short prompt that may go to one engine
// only be held, since it would harm the jobs there: others are placed elsewhere at once.
func TestRestrictedPromptDoesNotHoldOthers(t *testing.T) {
	for name, restrict := range map[string]func(j *Job){
		"failed elsewhere": func(j *Job) { j.Avoid = []string{"eb", "ec"} },
		"excluded":         func(j *Job) { j.Exclude = []string{"eb", "ec"} },
	} {
		t.Run(name, func(t *testing.T) {
			d := fleet(3, 0)
			for i := range 12 {
				j := prompt("long"+fmt.Sprint(i), 29000, start)
				j.Due = start.Add(200 * time.Millisecond)
				d.Adopt(start, j, Placement{Job: j.ID, Endpoint: "ea", Predicted: 150 * time.Millisecond}, false)
			}
			for i := range DefaultConfig().HeldLightSearches + 1 {
				restricted := prompt("restricted"+fmt.Sprint(i), 5000, start)
				restrict(&restricted)
				d.Submit(start, restricted)
			}
			d.Submit(start, prompt("free", 5000, start))
			var placed []string
			for _, decision := range d.Decide(start) {
				if decision.Placement != nil {
					placed = append(placed, decision.Key().ID)
				}
			}
			require.Contains(t, placed, "free")
		})
	}
}
