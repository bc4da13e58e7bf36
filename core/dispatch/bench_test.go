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
