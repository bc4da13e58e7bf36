package entry

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

const (
	cutEvents = 12
	cutGap    = 100 * time.Millisecond
)

// putStreams writes a configuration with a route of resumable streams, and endpoints that
// answer with cutEvents events.
func putStreams(t *testing.T, store *memoryStore, ids ...string) []*platformtest.Endpoint {
	t.Helper()
	text := `{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/stream/","kind":"streaming","resumable":true,"timeout_ms":8000,"service":"s","max_attempts":3}],
		"services":[{"name":"s"}],"limits":{"max_body_bytes":1000000}}`
	require.NoError(t, store.Put(context.Background(), provider.Configuration, "config", []byte(text)))
	endpoints := make([]*platformtest.Endpoint, 0, len(ids))
	for _, id := range ids {
		e := &platformtest.Endpoint{ID: id, Service: "s"}
		e.SetFault(platformtest.EndpointFault{Events: cutEvents, Gap: cutGap})
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		store.putEndpoint(t, id, strings.TrimPrefix(server.URL, "http://"), "ready")
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// openStream sends a request for a stream; cancel leaves.
func openStream(t *testing.T, vm *VM, attempt string) (resp *http.Response, cancel context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.settings.Callers+"/stream/x", strings.NewReader("body"))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(platformtest.HeaderAttempt, attempt)
	resp, err = http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	require.Equal(t, http.StatusOK, resp.StatusCode)
	return resp, cancel
}

// TestStreamThroughAnotherVM checks a stream that goes through another VM: its events come as they
// are made, the leaving of its caller reaches the endpoint, and when the VM between is lost it goes
// on after the last event, through the next VM.
func TestStreamThroughAnotherVM(t *testing.T) {
	const leaveLimit = 500 * time.Millisecond
	store := newMemoryStore()
	putStreams(t, store, "i-1", "i-2")
	vms := startLinkedVMs(t, store, "a", "b", "c")
	vms[0].links.set(platformtest.LinkSilent)
	resp, _ := openStream(t, vms[0].VM, "first")
	lines, start := bufio.NewReader(resp.Body), time.Now()
	for range 6 {
		_, err := lines.ReadString('\n')
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), cutEvents*cutGap/2, "events are not held back")
	_, err := io.Copy(io.Discard, lines)
	require.NoError(t, err)

	resp, cancel := openStream(t, vms[0].VM, "second")
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	relaying := func() int {
		return vms[1].components.RelayServer.InFlight() + vms[2].components.RelayServer.InFlight()
	}
	require.Equal(t, 1, relaying())
	cancel()
	require.Eventually(t, func() bool { return relaying() == 0 }, leaveLimit, time.Millisecond)

	resp, _ = openStream(t, vms[0].VM, "third")
	var got strings.Builder
	first, err := bufio.NewReaderSize(io.TeeReader(resp.Body, &got), 16).ReadString('\n')
	require.NoError(t, err)
	require.NotEmpty(t, first)
	for _, between := range vms[1:] {
		if between.components.RelayServer.InFlight() > 0 {
			between.members.server.Close()
		}
	}
	_, err = io.Copy(&got, resp.Body)
	require.NoError(t, err)
	require.Equal(t, platformtest.StreamAnswer("third", cutEvents), got.String())
}

// TestEndpointThatLeavesIsKnownToTheVMBetween checks that an endpoint that says in a response that
// it leaves, to a request that went through another VM, gets no more requests from either.
func TestEndpointThatLeavesIsKnownToTheVMBetween(t *testing.T) {
	store := newMemoryStore()
	endpoints := putStreams(t, store, "i-1")
	vms := startLinkedVMs(t, store, "a", "b")
	vms[0].links.set(platformtest.LinkSilent)
	endpoints[0].Leave()
	resp, _ := openStream(t, vms[0].VM, "only")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, platformtest.StreamAnswer("only", cutEvents), string(body))
	for _, vm := range vms {
		// The news may reach the VM between by the membership first.
		_, availability := vm.components.Registry.Lookup("i-1")
		require.Equal(t, directory.Leaving, availability, vm.settings.VM)
	}
}
