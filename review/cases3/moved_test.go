//go:build review3

package cases3

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["route-moved"] = routeMoved }

// routeMoved sends a prompt with the bad part every four seconds. Once the part is withheld, a new
// configuration moves the route to another service, with the same kind of runners.
func routeMoved(s *system) []string {
	const between, before, after = 4 * time.Second, 5, 7
	bad := &arrivals{}
	s.store.Put("op", "config", configuration(1, engines, 0))
	s.addEngines(engines, 8, 2500*time.Millisecond, bad)
	s.addEngines(otherPool, 8, 2500*time.Millisecond, bad)
	s.addGateways(small(), smallContracts, "front-a-1", "front-b-1", "front-c-1")
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	sound, wait := s.soundPrompts(60*time.Millisecond, stop, firstPart)
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	for n := range before + after {
		if n == before && s.trouble {
			s.note("the operator writes version 2: the route moves from %s to %s", engines, otherPool)
			s.store.Put("op", "config", configuration(2, otherPool, 0))
			// The version is in force everywhere.
			time.Sleep(2 * time.Second)
		}
		wg.Go(func() {
			id := s.nextID()
			g := s.gateways[n%len(s.gateways)]
			g.send(http.MethodPost, pathPrompt+"2f", id, promptHeader(firstPart, badPart, "1"+id[8:]), []byte("a prompt "+id), 10*time.Second)
		})
		time.Sleep(between)
	}
	close(stop)
	wait()
	wg.Wait()
	return s.judgePart(bad, sound)
}
