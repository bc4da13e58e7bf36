//go:build review

package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The engine of the site's sheet.
const (
	kvCapacity  = 450000
	stepMs      = 0.925
	contextPerK = 0.00254
	readPerMs   = 256.0
	pairsPerM   = 0.0917
	stride      = 46
)

// engines are the runners of a service; they read the parts of prompts one after the other.
type engines struct {
	mu sync.Mutex
	// freeAt is when a runner has read what it has to, and held the memory in use there.
	freeAt map[string]time.Time
	held   map[string]int
	// ids maps addresses to runners; helpers are named by address.
	ids map[string]string
}

// read admits a prompt at a runner and its helpers, and returns when it has been read; false if
// the memory is not free.
func (e *engines) read(runner string, helpers, tokens, answer int) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[runner]+tokens+answer > kvCapacity {
		return time.Time{}, false
	}
	e.held[runner] += tokens + answer
	t := float64(tokens)
	part := time.Duration((t/readPerMs + t*t/2/1e6*pairsPerM) / float64(helpers+1) * float64(time.Millisecond))
	readers := []string{runner}
	for id := range e.freeAt {
		if id != runner && len(readers) <= helpers {
			readers = append(readers, id)
		}
	}
	now := time.Now()
	last := now
	for _, id := range readers {
		if e.freeAt[id].Before(now) {
			e.freeAt[id] = now
		}
		e.freeAt[id] = e.freeAt[id].Add(part)
		if e.freeAt[id].After(last) {
			last = e.freeAt[id]
		}
	}
	return last, true
}

func (e *engines) release(runner string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[runner] -= tokens
}

// playWaiting: prompts of archives wait at a gateway for runners that read others, and the gateway
// is stopped.
func (w *world) playWaiting(trouble bool) (int, error) {
	const (
		prompts = 4
		tokens  = 300000
		answer  = 920 // 20 events
		apart   = 250 * time.Millisecond
	)
	e := &engines{freeAt: map[string]time.Time{}, held: map[string]int{}}
	runner := func(id string) http.Handler {
		e.freeAt[id] = time.Time{}
		return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			attempt, mine := w.begin(rw, r, id)
			if !mine {
				return
			}
			helpers := 0
			if h := r.Header.Get("X-Cornelsaddle-Helpers"); h != "" {
				helpers = len(strings.Split(h, ","))
			}
			prompt, _, _ := strings.Cut(r.Header.Get("X-Cornelsaddle-Token-Count"), ",")
			n, _ := strconv.Atoi(prompt)
			at, admitted := e.read(id, helpers, n, answer)
			if !admitted {
				rw.Header().Set("X-Cornelsaddle-Not-Executed", "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
				w.note("%s refused by runner %s, as it is full", attempt, id)
				return
			}
			defer e.release(id, n+answer)
			w.runs(attempt, id)
			select {
			case <-time.After(time.Until(at)):
			case <-r.Context().Done():
				w.note("%s: its run is cut", attempt)
				return
			}
			perEvent := stride * (stepMs + float64(n)/1000*contextPerK)
			if stream(rw, r, id, attempt, answer/stride, time.Duration(perEvent*float64(time.Millisecond))) {
				w.note("%s: its run ends, complete", attempt)
			} else {
				w.note("%s: its run is cut", attempt)
			}
		})
	}
	g, err := w.start(configuration(3000, 800, true), map[string]http.Handler{"i-1": runner("i-1"), "i-2": runner("i-2")})
	if err != nil {
		return notRun, err
	}
	var wg sync.WaitGroup
	var stopped time.Time
	for i := range prompts {
		c, err := dial(g.front)
		if err != nil {
			return notRun, err
		}
		wg.Go(func() {
			defer func() { _ = c.conn.Close() }()
			w.ask(c, fmt.Sprintf("prompt-%d", i+1), "/q/x", strconv.Itoa(tokens)+","+strconv.Itoa(answer))
		})
		time.Sleep(apart)
	}
	if trouble {
		stopped = w.stop(g)
	}
	wg.Wait()
	return w.verdict(stopped), nil
}
