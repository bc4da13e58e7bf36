package relay

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/reach"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/internal/upstream"
)

const (
	waitLimit = 10 * time.Second
	// leaveLimit is the time within which the leaving of a caller must reach the endpoint.
	leaveLimit = 500 * time.Millisecond
)

var endpointID = directory.Incarnation{ID: "i-1", Started: 5}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDirectory lists one endpoint.
type fakeDirectory struct {
	mu           sync.Mutex
	entry        directory.Entry
	availability directory.Availability
	observed     []provider.ResponseHeader
}

// Lookup implements Directory.
func (d *fakeDirectory) Lookup(id string) (directory.Entry, directory.Availability) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id != d.entry.ID {
		return directory.Entry{}, directory.Unlisted
	}
	return d.entry, d.availability
}

// Observed implements Directory.
func (d *fakeDirectory) Observed(_ directory.Incarnation, r provider.ResponseHeader) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observed = append(d.observed, r)
}

func (d *fakeDirectory) set(a directory.Availability) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.availability = a
}

// fakeDialer dials the endpoint.
type fakeDialer struct{ lost bool }

// Dial implements Dialer.
func (*fakeDialer) Dial(ctx context.Context, entry directory.Entry) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", entry.Address)
	return c, errors.WithStack(err)
}

// PathLost implements Dialer.
func (d *fakeDialer) PathLost(directory.Entry) bool { return d.lost }

// between is a VM that relays.
type between struct {
	directory *fakeDirectory
	dialer    *fakeDialer
	server    *Server
	peers     *peer.Server
}

func newLog(t *testing.T) *event.Logger {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", "test")
	require.NoError(t, err)
	return log
}

const key = "key-0123456789"

func startBetween(t *testing.T, name, endpoint string) *between {
	t.Helper()
	b := &between{
		directory: &fakeDirectory{entry: directory.Entry{ID: endpointID.ID, Started: endpointID.Started, Address: endpoint}},
		dialer:    &fakeDialer{},
	}
	mux := peer.NewMux()
	b.server = NewServer(b.directory, b.dialer, mux, newLog(t))
	var err error
	b.peers, err = peer.Listen("127.0.0.1:0", peer.Config{Self: peer.Identity{VM: name, Incarnation: 1}, Keys: []string{key}}, mux, newLog(t), gometrics.NewRegistry())
	require.NoError(t, err)
	t.Cleanup(b.peers.Close)
	return b
}

func newClient(t *testing.T, vms ...*between) *Client {
	t.Helper()
	peers, err := peer.NewClient(peer.Config{Self: peer.Identity{VM: "owner", Incarnation: 1}, Keys: []string{key}}, peer.NewMux(), newLog(t), gometrics.NewRegistry())
	require.NoError(t, err)
	t.Cleanup(peers.Close)
	c := NewClient(peers, "x")
	relays := make([]reach.Relay, 0, len(vms))
	for i, b := range vms {
		relays = append(relays, reach.Relay{VM: string(rune('a' + i)), Address: b.peers.Addr(), Domain: "x"})
	}
	c.SetVMs(relays)
	return c
}

// startEndpoint starts an endpoint that handles each connection.
func startEndpoint(t *testing.T, handle func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer func() { _ = c.Close() }()
				handle(c.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		conns.Wait()
	})
	return l.Addr().String()
}

func open(t *testing.T, c *Client) upstream.RelayedConn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	conn, err := c.Open(ctx, endpointID, "x")
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
	return conn
}

// TestRequestAndResponsePassUnchanged checks that bytes pass through another VM unchanged,
// also more of them than a frame holds, and that each event arrives before the next one is made.
func TestRequestAndResponsePassUnchanged(t *testing.T) {
	request := strings.Repeat("request\x00\xff", 40_000)
	next := make(chan struct{})
	address := startEndpoint(t, func(c *net.TCPConn) {
		got := make([]byte, len(request))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != request {
			return
		}
		for _, part := range []string{"one\n\n", "two\n\n", strings.Repeat("three", 30_000)} {
			_, _ = io.WriteString(c, part)
			<-next
		}
	})
	conn := open(t, newClient(t, startBetween(t, "a", address)))
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	vm, domain := conn.Via()
	require.Equal(t, "a", vm)
	require.Equal(t, "x", domain)
	for _, want := range []string{"one\n\n", "two\n\n"} {
		got := make([]byte, len(want))
		_, err := io.ReadFull(conn, got)
		require.NoError(t, err)
		require.Equal(t, want, string(got))
		next <- struct{}{}
	}
	close(next)
	rest, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, strings.Repeat("three", 30_000), string(rest))
}

// TestEarlyEndNeverLooksComplete guards against a response that breaks off on the way through
// another VM and looks complete: only the regular end of the endpoint's connection is an end.
func TestEarlyEndNeverLooksComplete(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(endpoint *net.TCPConn, b *between)
		want any
	}{
		{"the endpoint resets", func(endpoint *net.TCPConn, _ *between) { _ = endpoint.SetLinger(0) }, &BrokenError{}},
		{"the VM between ends", func(_ *net.TCPConn, b *between) { b.peers.Close() }, &LostError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan struct{})
			var b *between
			address := startEndpoint(t, func(endpoint *net.TCPConn) {
				buffer := make([]byte, 7)
				_, _ = io.ReadFull(endpoint, buffer)
				_, _ = io.WriteString(endpoint, "begin")
				<-ended
				c.end(endpoint, b)
			})
			b = startBetween(t, "a", address)
			conn := open(t, newClient(t, b))
			_, err := io.WriteString(conn, "request")
			require.NoError(t, err)
			got := make([]byte, 5)
			_, err = io.ReadFull(conn, got)
			require.NoError(t, err)
			close(ended)
			_, err = io.ReadAll(conn)
			require.Error(t, err)
			switch c.want.(type) {
			case *BrokenError:
				var broken *BrokenError
				require.ErrorAs(t, err, &broken)
				require.True(t, upstream.BrokenOff(err), "it counts as the endpoint's")
				require.False(t, upstream.PathLost(err))
			case *LostError:
				require.True(t, upstream.PathLost(err), "it is no fault of the endpoint")
				require.False(t, upstream.BrokenOff(err))
			}
		})
	}
}

// TestNothingIsSentToAnEndpointThatHasBecomeUnavailable checks that the VM between looks at its
// own list right before the first byte, and that what was not sent is known as such.
func TestNothingIsSentToAnEndpointThatHasBecomeUnavailable(t *testing.T) {
	received := make(chan int, 1)
	address := startEndpoint(t, func(c *net.TCPConn) {
		b, _ := io.ReadAll(c) // what arrives until the end, however the connection ends
		received <- len(b)
	})
	b := startBetween(t, "a", address)
	conn := open(t, newClient(t, b))
	b.directory.set(directory.Leaving)
	_, err := io.WriteString(conn, "request")
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
	require.Zero(t, <-received)
}

// TestCallersLeavingReachesTheEndpoint checks that the end of the owner's connection ends the
// work of the endpoint in time.
func TestCallersLeavingReachesTheEndpoint(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan time.Time, 1)
	address := startEndpoint(t, func(c *net.TCPConn) {
		buffer := make([]byte, 7)
		_, _ = io.ReadFull(c, buffer)
		close(begun)
		_, _ = c.Read(buffer)
		ended <- time.Now()
	})
	b := startBetween(t, "a", address)
	conn := open(t, newClient(t, b))
	_, err := io.WriteString(conn, "request")
	require.NoError(t, err)
	<-begun
	left := time.Now()
	require.NoError(t, conn.Close())
	require.Less(t, (<-ended).Sub(left), leaveLimit)
	require.Eventually(t, func() bool { return b.server.InFlight() == 0 }, waitLimit, time.Millisecond)
}

// TestStoppingVMFinishesWhatItRelays checks that a VM that stops refuses further requests and
// ends with those that it has.
func TestStoppingVMFinishesWhatItRelays(t *testing.T) {
	finish := make(chan struct{})
	address := startEndpoint(t, func(c *net.TCPConn) {
		buffer := make([]byte, 7)
		_, _ = io.ReadFull(c, buffer)
		<-finish
		_, _ = io.WriteString(c, "whole")
	})
	b := startBetween(t, "a", address)
	client := newClient(t, b)
	conn := open(t, client)
	_, err := io.WriteString(conn, "request")
	require.NoError(t, err)
	b.server.Stop()
	_, err = client.Open(context.Background(), endpointID, "x")
	var failed *NotOpenedError
	require.ErrorAs(t, err, &failed)
	var refused *RefusedError
	require.ErrorAs(t, failed.Cause, &refused)
	require.Equal(t, string(refusedStopping), refused.Refusal)
	drained := make(chan struct{})
	go func() {
		b.server.Drain(time.Now().Add(waitLimit))
		close(drained)
	}()
	close(finish)
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got))
	require.NoError(t, conn.Close())
	<-drained
	require.Zero(t, b.server.InFlight())
}

// TestWhatAResponseSaysBindsTheVMBetween checks that the VM that sent the request learns that
// its endpoint leaves or wants no more requests.
func TestWhatAResponseSaysBindsTheVMBetween(t *testing.T) {
	address := startEndpoint(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	b := startBetween(t, "a", address)
	conn := open(t, newClient(t, b))
	_, err := io.WriteString(conn, "request")
	require.NoError(t, err)
	require.NoError(t, conn.Observed(1500*time.Millisecond, true))
	require.Eventually(t, func() bool {
		b.directory.mu.Lock()
		defer b.directory.mu.Unlock()
		return len(b.directory.observed) == 1
	}, waitLimit, time.Millisecond)
	require.Equal(t, provider.ResponseHeader{RetryAfter: 1500 * time.Millisecond, Leaving: true}, b.directory.observed[0])
}

// TestOtherVMsAreAskedInTurn checks that VMs that refuse, don't reach the endpoint or don't
// answer are passed over, and which of them count as witnesses against the endpoint.
func TestOtherVMsAreAskedInTurn(t *testing.T) {
	address := startEndpoint(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	unreached := startBetween(t, "a", closed.Addr().String())
	other := startBetween(t, "b", address)
	other.directory.entry.Started = 6
	_, err = newClient(t, unreached, other).Open(context.Background(), endpointID, "x")
	var failed *NotOpenedError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, 2, failed.Asked)
	require.Equal(t, 1, failed.Witnesses, "another incarnation is no witness")
	unreached.dialer.lost = true
	_, err = newClient(t, unreached, other).Open(context.Background(), endpointID, "x")
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.Witnessed(), "a VM whose own path is lost is no witness")
	conn := open(t, newClient(t, unreached, other, startBetween(t, "c", address)))
	vm, _ := conn.Via()
	require.Equal(t, "c", vm)
	_, err = newClient(t).Open(context.Background(), endpointID, "x")
	require.ErrorAs(t, err, &failed)
	require.Zero(t, failed.Asked)
}

// FuzzFrames checks that whatever another VM sends ends a connection with an error, and never
// as a complete response unless it says so.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 2, 'o', 'k', 2, 0, 0, 0, 0})
	f.Add([]byte{1, 0, 0, 0, 9, 'o', 'k'})
	f.Add([]byte{1, 255, 255, 255, 255})
	f.Add([]byte{3, 0, 0, 0, 0})
	f.Add([]byte{9, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		here, there := net.Pipe()
		go func() {
			_, _ = there.Write(data)
			_ = there.Close()
		}()
		_, err := io.Copy(io.Discard, newConn(here, "a", "x"))
		_ = here.Close()
		if err == nil && !strings.Contains(string(data), "\x02") {
			t.Fatal("a response without an end looks complete")
		}
	})
}
