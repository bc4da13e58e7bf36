package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/routing"
)

// slowRequest sends the head and the first half of a body, and returns what sends the rest and
// returns the response.
func (w *harness) slowRequest(t *testing.T, path, body string) func() *http.Response {
	t.Helper()
	c := w.dial(t)
	t.Cleanup(func() { _ = c.Close() })
	half := len(body) / 2
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: r1\r\n%s: key\r\nContent-Length: %d\r\n\r\n", path, hID, hKey, len(body))
	_, err := c.Write([]byte(head + body[:half]))
	require.NoError(t, err)
	return func() *http.Response {
		_, err := c.Write([]byte(body[half:]))
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_ = resp.Body.Close()
		return resp
	}
}

// TestSlowBodyIsDecidedByTheConfigurationInForce guards against a request whose body comes slowly
// and that runs with a key that was taken away, or at a service from which its route was moved,
// however long ago that was.
func TestSlowBodyIsDecidedByTheConfigurationInForce(t *testing.T) {
	const path, body = "/once/x", "a body of a booking"
	for _, c := range []struct {
		name   string
		change func(d *routing.Deployment)
		status int
		// service and organisation are those of the job, and runs is the number of jobs.
		service, organisation string
		runs                  int
	}{
		{"nothing", func(*routing.Deployment) {}, 200, "s", "org", 1},
		{"the key is taken away", func(d *routing.Deployment) { d.Organisations = d.Organisations[1:] }, 401, "", "", 0},
		{"the key is another organisation's", func(d *routing.Deployment) { d.Organisations[0].Name = "other" }, 200, "s", "other", 1},
		{"the route is taken away", func(d *routing.Deployment) { d.Routes = d.Routes[1:] }, 404, "", "", 0},
		{"the route is moved", func(d *routing.Deployment) { d.Routes[0].Shares = []routing.Share{{Service: "new", Weight: 1}} }, 200, "new", "org", 1},
		{"the route becomes public", func(d *routing.Deployment) { d.Routes[0].Public = true }, 200, "s", "", 1},
		{"the limit is lowered", func(d *routing.Deployment) { d.Limits.MaxBodyBytes = 5 }, 413, "", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, respondWith("200 OK", ownHeader, "x"))
			w := newHarness(t, e)
			finish := w.slowRequest(t, path, body)
			require.Eventually(t, func() bool { return w.gateway.InFlight() == 1 }, 5*time.Second, time.Millisecond)
			// The handler looks the route up before it reads the body.
			time.Sleep(20 * time.Millisecond)
			d := w.deployment
			d.Version, d.Routes, d.Organisations = 2, slices.Clone(d.Routes), slices.Clone(d.Organisations)
			c.change(&d)
			w.setTable(routing.NewTable(d))
			resp := finish()
			require.Equal(t, c.status, resp.StatusCode)
			w.mu.Lock()
			defer w.mu.Unlock()
			require.Len(t, w.jobs, c.runs)
			if c.runs > 0 {
				require.Equal(t, c.service, w.jobs[0].Service)
				require.Equal(t, c.organisation, w.jobs[0].Organisation)
				require.Equal(t, len(body), w.jobs[0].BodyBytes)
				require.Equal(t, c.organisation, strings.Join(e.requests()[0].Header[hOrg], ""))
			} else {
				require.Empty(t, e.requests())
			}
		})
	}
}
