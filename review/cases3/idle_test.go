//go:build review3

package cases3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["idle-connections"] = idleConnections }

const (
	// idleLimit is idle_timeout_ms of the configuration. Clients reuse a connection that has been idle for
	// up to four fifths of it.
	idleLimit = 15 * time.Second
)

// idleConnections has 520 clients at one machine, each of which looks something up every 13 s. Its last
// connection has been idle for too long by then, so it opens a new one, and leaves it to the machine to
// close the old one at the limit of the configuration.
func idleConnections(s *system) []string {
	const clients, every, length = 520, 13 * time.Second, 92 * time.Second
	s.store.Put("op", "config", configuration(1, engines, 0))
	for i := range 3 {
		s.addRunner(fmt.Sprintf("i-b00c%02x", i), books, 6, func(r *runner, c net.Conn, req *http.Request, _ []byte) {
			time.Sleep(30 * time.Millisecond)
			reply(c, http.StatusOK, r.seal(req.Header.Get(headerAttempt)), []byte(strings.Repeat("x", 800)))
		})
	}
	s.addGateways(small(), smallContracts, "front-a-1", "front-b-1")
	g := s.gateways[0]
	started := time.Now()
	var mu sync.Mutex
	open, closedByServer, served, failed := 0, 0, 0, 0
	lastServed := started
	// pending are the clients whose request on a new connection has no answer yet, by the time at which they tried.
	pending := make(map[int]time.Time)
	longest, trying := time.Duration(0), 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * every / clients)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := s.nextID()
				next := time.Now().Add(every)
				mu.Lock()
				pending[i] = time.Now()
				mu.Unlock()
				c, err := net.DialTimeout("tcp4", g.callers, time.Second)
				status := 0
				if err == nil {
					_ = c.SetDeadline(time.Now().Add(4 * time.Second))
					_, _ = fmt.Fprintf(c, "GET %s2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\n%s: %s\r\n\r\n", pathLook, host, headerAttempt, id, headerDeadline, headerKey, key)
					in := bufio.NewReader(c)
					if resp, err := http.ReadResponse(in, nil); err == nil {
						status = resp.StatusCode
						_, _ = io.Copy(io.Discard, resp.Body)
					}
					_ = c.SetDeadline(time.Time{})
				}
				mu.Lock()
				delete(pending, i)
				if status == http.StatusOK {
					served++
					open++
					lastServed = time.Now()
				} else {
					failed++
				}
				mu.Unlock()
				s.note("client %d: status %d", i, status)
				switch {
				case c == nil:
				case status == 0 || !s.trouble:
					_ = c.Close()
				default:
					go func() {
						// The client waits for the machine to close the connection.
						_, _ = io.Copy(io.Discard, c)
						_ = c.Close()
						mu.Lock()
						open, closedByServer = open-1, closedByServer+1
						mu.Unlock()
					}()
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Until(next)):
				}
			}
		})
	}
	for time.Since(started) < length {
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		waiting := 0
		for _, since := range pending {
			if since.After(lastServed) && time.Since(since) > 100*time.Millisecond {
				waiting++
			}
		}
		if gap := time.Since(lastServed); gap > longest && waiting >= 7 {
			longest, trying = gap, waiting
		}
		mu.Unlock()
	}
	ready := g.isReady()
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	summary := fmt.Sprintf("requests served: %d, without an answer: %d; connections open: %d, closed by the machine: %d; longest time without a new connection that was taken, while seven clients or more tried: %v (%d tried); ready: %t",
		served, failed, open, closedByServer, longest.Round(10*time.Millisecond), trying, ready)
	s.note("%s", summary)
	fmt.Println(summary)
	if longest > stableWindow && ready {
		return []string{fmt.Sprintf("RECOVER: the machine says that it is ready and has taken no new connection for %v, while %d clients tried", longest.Round(10*time.Millisecond), trying)}
	}
	return nil
}
