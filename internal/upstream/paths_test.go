package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

// relayTo opens connections to the target, as another VM would.
type relayTo struct {
	target string
	// opening is called before each connection is opened; its error fails that.
	opening func() error
}

// relayedTo is a connection by a relayTo.
type relayedTo struct{ net.Conn }

// Via implements RelayedConn.
func (relayedTo) Via() (vm, domain string) { return "other", "x" }

// Observed implements RelayedConn.
func (relayedTo) Observed(time.Duration, bool) error { return nil }

// RequestForwarded implements RelayedConn.
func (relayedTo) RequestForwarded() bool { return true }

// witness is the error of a VM that finds that the endpoint can't be reached.
type witness struct{}

// Error implements error.
func (witness) Error() string { return "not reached" }

// Witnessed reports that it does.
func (witness) Witnessed() bool { return true }

// Open implements Relay.
func (r *relayTo) Open(ctx context.Context, _ directory.Incarnation, _ string) (RelayedConn, error) {
	if err := r.opening(); err != nil {
		return nil, err
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", r.target)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return relayedTo{c}, nil
}

// silentFlight starts a request on a link whose endpoint answers after a time, and returns how it
// ended. The link becomes silent once the request has arrived.
func silentFlight(t *testing.T, takes time.Duration, relay func(link *platformtest.Link) func() error) error {
	t.Helper()
	arrived := make(chan struct{}, 4)
	address := server(t, func(_, _ int, c net.Conn) {
		arrived <- struct{}{}
		time.Sleep(takes)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	link, err := platformtest.NewLink(address)
	require.NoError(t, err)
	t.Cleanup(link.Close)
	tr := New(Config{Relay: &relayTo{target: address, opening: relay(link)}})
	t.Cleanup(tr.Close)
	req := &Request{
		Address: link.Address(), FailureDomain: "x", Endpoint: directory.Incarnation{ID: "i-1"}, Repeatable: true,
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{},
	}
	ended := make(chan error, 1)
	go func() {
		resp, err := tr.Send(context.Background(), req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Close()
		}
		ended <- err
	}()
	<-arrived
	require.NoError(t, link.Set(platformtest.LinkSilent))
	time.Sleep(silentFor)
	go tr.check(context.Background(), req)
	return <-ended
}

// TestSilentRequestOnALostPathIsGivenUp checks that a request in flight does not wait for the
// system to find that its path is lost.
func TestSilentRequestOnALostPathIsGivenUp(t *testing.T) {
	start := time.Now()
	err := silentFlight(t, 5*time.Second, func(*platformtest.Link) func() error { return func() error { return nil } })
	require.True(t, PathLost(err), "%v", err)
	require.Less(t, time.Since(start), giveUpLimit)
}

// TestLossOfAPathIsToldToWhoHandlesIt checks that a response in progress whose path is lost goes on
// if its reader handles the loss: it may have no other way.
func TestLossOfAPathIsToldToWhoHandlesIt(t *testing.T) {
	arrived, goOn := make(chan struct{}), make(chan struct{})
	address := server(t, func(_, n int, c net.Conn) {
		if n > 1 {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
		close(arrived)
		<-goOn
		_, _ = io.WriteString(c, "k")
	})
	link, err := platformtest.NewLink(address)
	require.NoError(t, err)
	t.Cleanup(link.Close)
	tr := New(Config{Relay: &relayTo{target: address, opening: func() error { return nil }}})
	t.Cleanup(tr.Close)
	req := &Request{
		Address: link.Address(), FailureDomain: "x", Endpoint: directory.Incarnation{ID: "i-1"}, Repeatable: true,
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{},
	}
	resp, err := tr.Send(context.Background(), req)
	require.NoError(t, err)
	defer resp.Close()
	told := make(chan struct{}, 8)
	resp.OnPathLost(func() { told <- struct{}{} })
	<-arrived
	require.NoError(t, link.Set(platformtest.LinkSilent))
	time.Sleep(silentFor)
	tr.check(context.Background(), req)
	<-told
	require.NoError(t, link.Set(platformtest.LinkUp))
	close(goOn)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
}

// giveUpLimit is less than the time after which the system ends a connection.
const giveUpLimit = 1500 * time.Millisecond

// TestRequestAtAnEndpointThatWasSilentGoesOn guards against requests that are given up, and run
// again, because their endpoint was silent for a moment: one that no VM reaches, or one that goes
// on as another VM reaches it.
func TestRequestAtAnEndpointThatWasSilentGoesOn(t *testing.T) {
	for name, relay := range map[string]func(link *platformtest.Link) func() error{
		"for all VMs": func(link *platformtest.Link) func() error {
			return func() error {
				time.AfterFunc(300*time.Millisecond, func() { _ = link.Set(platformtest.LinkUp) })
				return witness{}
			}
		},
		"until another VM tries": func(link *platformtest.Link) func() error {
			return func() error { return link.Set(platformtest.LinkUp) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, silentFlight(t, 800*time.Millisecond, relay))
		})
	}
}
