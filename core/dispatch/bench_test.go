package dispatch

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// loadedDispatcher returns a dispatcher with eight short prompts decoding at
// each engine.
func loadedDispatcher(engines int) (*Dispatcher, time.Time) {
	d := New(DefaultConfig())
	d.SetServices(start, []Service{{Name: "s", Engine: simCostModel()}})
	list := make([]Endpoint, 0, engines)
	for i := range engines {
		list = append(list, Endpoint{ID: fmt.Sprintf("e%03d", i), Service: "s", Slots: 16})
	}
	d.SetEndpoints(start, list)
	for i := range engines * 8 {
		id := "f" + strconv.Itoa(i)
		j := prompt(id, 5000, start)
		j.Deadline = start.Add(time.Hour)
		d.Adopt(start, j, Placement{Job: id, Endpoint: list[i%engines].ID}, true)
	}
	return d, start
}

// BenchmarkPlace measures the submission, decision and end of one prompt.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{18, 64, 256, 3000} {
		for _, tokens := range []int{5000, 150000} {
			b.Run(fmt.Sprintf("engines=%d/tokens=%d", engines, tokens), func(b *testing.B) {
				d, now := loadedDispatcher(engines)
				j := prompt("x", tokens, now)
				b.ReportAllocs()
				for b.Loop() {
					d.Submit(now, j)
					d.Decide(now)
					d.Finished(now, testKey("x"), Abandoned, "")
				}
			})
		}
	}
}

// BenchmarkPlacePlain measures the submission, decision and end of one call of a plain service with
// half of the slots taken, by count and by learned costs. With two slow endpoints and two kinds of
// calls the choice is by completion and remaining work.
func BenchmarkPlacePlain(b *testing.B) {
	for _, uneven := range []bool{false, true} {
		for _, learn := range []bool{false, true} {
			b.Run(fmt.Sprintf("uneven=%t/learned=%t", uneven, learn), func(b *testing.B) {
				cfg := DefaultConfig()
				cfg.LearnCosts = learn
				d, now := New(cfg), start
				list := make([]Endpoint, 0, 64)
				for i := range 64 {
					list = append(list, Endpoint{ID: fmt.Sprintf("e%03d", i), Service: "p", Slots: 6})
				}
				d.SetServices(now, []Service{{Name: "p"}})
				d.SetEndpoints(now, list)
				call := func(i int) Job {
					j := Job{
						ID: strconv.Itoa(i), Owner: "vm", Service: "p", Route: "calls", Method: "POST", Organisation: "organisation",
						Arrived: now, Due: now.Add(300 * time.Millisecond), Deadline: now.Add(time.Hour), BodyBytes: 200,
					}
					if uneven && i%20 == 0 {
						j.BodyBytes = 4000
					}
					return j
				}
				took := func(i int) time.Duration {
					t := 60 * time.Millisecond
					if uneven && i%20 == 0 {
						t *= 20
					}
					if uneven && i%64 < 2 {
						t *= 5
					}
					return t
				}
				const running = 192
				ids := make([]Job, 0, running)
				for i := range 64 * 20 {
					j := call(i)
					d.AdoptPlaced(now, now.Add(-took(i)), j, Placement{Job: j.ID, Endpoint: list[i%64].ID}, false)
					d.Finished(now, j.Key(), Served, "")
					now = now.Add(time.Millisecond)
				}
				for i := range running {
					j := call(i)
					d.AdoptPlaced(now, now, j, Placement{Job: j.ID, Endpoint: list[i%64].ID}, false)
					ids = append(ids, j)
				}
				b.ReportAllocs()
				for i := running; b.Loop(); i++ {
					j := call(i)
					d.Submit(now, j)
					d.Decide(now)
					oldest := &ids[i%running]
					d.Finished(now, oldest.Key(), Served, "")
					*oldest = j
					now = now.Add(300 * time.Microsecond)
				}
			})
		}
	}
}

// BenchmarkPlaceNear measures the placement of a prompt without and with the preference for the
// failure domain of its owner.
func BenchmarkPlaceNear(b *testing.B) {
	for _, tokens := range []int{5000, 150000} {
		for _, penalty := range []float64{0, NearRemotePenalty} {
			b.Run(fmt.Sprintf("tokens=%d/near=%t", tokens, penalty > 0), func(b *testing.B) {
				d, now := loadedDispatcher(64)
				d.cfg.RemotePenalty = penalty
				for i, e := range d.pools["s"] {
					e.Domain = domainName(i % 3)
				}
				j := prompt("x", tokens, now)
				j.Domain = domainName(1)
				for b.Loop() {
					d.Submit(now, j)
					d.Decide(now)
					d.Finished(now, testKey("x"), Abandoned, "")
				}
			})
		}
	}
}
