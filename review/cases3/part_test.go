//go:build review3

package cases3

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// badPart crashes each runner that begins to write an answer on it.
	badPart = "c0ffee01"
	// firstPart is shared by the sound prompts and the bad ones.
	firstPart = "5eed0001"
	// stableWindow is the bound of the settings.
	stableWindow = 3 * time.Second
)

// arrivals are the requests that crash runners, as they have reached runners, and the crashes.
type arrivals struct {
	mu      sync.Mutex
	reached []time.Time
	crashes []time.Time
}

func (a *arrivals) reach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reached = append(a.reached, time.Now())
}

func (a *arrivals) crash() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashes = append(a.crashes, time.Now())
}

// later returns how many requests have reached runners later than the window after the n-th crash,
// and the time of that crash; zero if there was none.
func (a *arrivals) later(n int, window time.Duration) (count int, nth time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.crashes) < n {
		return 0, time.Time{}
	}
	nth = a.crashes[n-1]
	for _, at := range a.reached {
		if at.After(nth.Add(window)) {
			count++
		}
	}
	return count, nth
}

func (a *arrivals) crashCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.crashes)
}

// addEngines adds model runners of a service that read a prompt in 40 ms, and crash when they begin to
// write an answer on badPart.
func (s *system) addEngines(service string, n int, down time.Duration, bad *arrivals) {
	for i := range n {
		r := s.addRunner(fmt.Sprintf("i-%s%02x", service[4:], i), service, 16, func(r *runner, c net.Conn, req *http.Request, _ []byte) {
			attempt := req.Header.Get(headerAttempt)
			crashes := strings.Contains(req.Header.Get(headerPrefix), badPart)
			if crashes {
				bad.reach()
				r.s.note("runner %s reads %s, which has the part that crashes it", r.id, attempt)
			}
			time.Sleep(40 * time.Millisecond)
			if crashes {
				r.mu.Lock()
				up := r.listener != nil
				r.mu.Unlock()
				if up {
					bad.crash()
				}
				r.crash()
				return
			}
			r.stream(c, req, 10, 30*time.Millisecond)
		})
		r.down = down
	}
}

// promptHeader returns the header of a prompt of 5,000 tokens that has the parts. The last one is its
// own, and the others have 40 tokens each.
func promptHeader(parts ...string) http.Header {
	const tokens, shared = 5000, 40
	entries := make([]string, len(parts))
	for i, p := range parts {
		n := shared
		if i == len(parts)-1 {
			n = tokens - shared*i
		}
		entries[i] = fmt.Sprintf("%s:%d", p, n)
	}
	return http.Header{
		headerModel: {"m"}, headerTokens: {fmt.Sprintf("%d,350", tokens)}, headerPrefix: {strings.Join(entries, ",")}, headerKey: {key},
	}
}

// soundLog has the sound prompts: when each was sent, whether it has begun to be answered, and whether
// its answer came whole. Each is sent once.
type soundLog struct {
	mu      sync.Mutex
	prompts []soundPrompt
}

type soundPrompt struct {
	sentAt       time.Time
	began, whole bool
}

// count returns how many of the prompts sent from one time to another there are, how many have begun
// and how many were served whole.
func (l *soundLog) count(from, to time.Time) (sent, began, whole int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.prompts {
		if p.sentAt.Before(from) || p.sentAt.After(to) {
			continue
		}
		sent++
		if p.began {
			began++
		}
		if p.whole {
			whole++
		}
	}
	return sent, began, whole
}

func (l *soundLog) String() string {
	sent, began, whole := l.count(time.Time{}, time.Now())
	return fmt.Sprintf("sound prompts: %d sent, %d begun, %d served whole", sent, began, whole)
}

// soundPrompts sends prompts without the bad part, at a rate, to all gateways in turn until stop is
// closed.
func (s *system) soundPrompts(every time.Duration, stop <-chan struct{}, shared ...string) (log *soundLog, wait func()) {
	log = &soundLog{}
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			g := s.gateways[n%len(s.gateways)]
			wg.Go(func() {
				id, sentAt := s.nextID(), time.Now()
				a := g.send(http.MethodPost, pathPrompt+"2f", id, promptHeader(append(slices.Clone(shared), "0"+id[8:])...), []byte("a sound prompt "+id), 10*time.Second)
				events := strings.Count(a.body, "data:")
				log.mu.Lock()
				defer log.mu.Unlock()
				log.prompts = append(log.prompts, soundPrompt{sentAt, a.status == http.StatusOK && events > 0, a.status == http.StatusOK && a.whole && events == 10})
			})
		}
	})
	return log, wg.Wait
}

// judgePart applies the rule on parts of prompts that crash runners.
func (s *system) judgePart(bad *arrivals, sound *soundLog) []string {
	count, fifth := bad.later(5, stableWindow)
	summary := fmt.Sprintf("%v; crashes of runners: %d; prompts with the part that reached runners later than %v after the fifth: %d",
		sound, bad.crashCount(), stableWindow, count)
	s.note("%s", summary)
	fmt.Println(summary)
	if count > 3 {
		return []string{fmt.Sprintf("BUDGET: %d prompts with the part reached runners later than %v after the fifth crash, at %.3f s; three may",
			count, stableWindow, fifth.Sub(s.started).Seconds())}
	}
	return nil
}
