//go:build review3

package cases3

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["part-in-long-prompt"] = partInLongPrompt }

// sharedParts are the parts that the prompts of one collection have in common, in order.
func sharedParts(n int) []string {
	parts := make([]string, n)
	for i := range parts {
		parts[i] = fmt.Sprintf("5eed%04x", i)
	}
	return parts
}

// partInLongPrompt sends, twice a second, a prompt of 73 parts, the last but one of which is the bad one.
// All parts are in one header of about a kilobyte.
func partInLongPrompt(s *system) []string {
	const shared, prompts = 71, 50
	bad := &arrivals{}
	s.store.Put("op", "config", configuration(1, engines, 0))
	s.addEngines(engines, 8, 4500*time.Millisecond, bad)
	s.addGateways(small(), smallContracts, "front-a-1", "front-b-1", "front-c-1")
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	calm := time.Now()
	sound, wait := s.soundPrompts(70*time.Millisecond, stop, sharedParts(shared)...)
	time.Sleep(6 * time.Second)
	trouble := time.Now()
	var wg sync.WaitGroup
	for i := range prompts {
		part := badPart
		if !s.trouble {
			part = "600d0001"
		}
		wg.Go(func() {
			id := s.nextID()
			parts := append(sharedParts(shared), part, "1"+id[8:])
			s.gateways[i%len(s.gateways)].send(http.MethodPost, pathPrompt+"2f", id, promptHeader(parts...), []byte("a prompt "+id), 10*time.Second)
		})
		time.Sleep(500 * time.Millisecond)
	}
	ended := time.Now()
	close(stop)
	wait()
	wg.Wait()
	broken := s.judgePart(bad, sound)
	_, fifth := bad.later(5, 0)
	if fifth.IsZero() {
		return broken
	}
	before, begunBefore, _ := sound.count(calm, trouble)
	after, begunAfter, _ := sound.count(fifth.Add(2*stableWindow), ended)
	summary := fmt.Sprintf("sound prompts that began: %d of %d before the first crash, %d of %d from %v after the fifth one", begunBefore, before, begunAfter, after, 2*stableWindow)
	s.note("%s", summary)
	fmt.Println(summary)
	if before >= 20 && after >= 20 && float64(begunAfter)/float64(after) < 0.5*float64(begunBefore)/float64(before) {
		broken = append(broken, "LOST: "+summary)
	}
	return broken
}
