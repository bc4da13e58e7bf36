package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/retry"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/gateway/config"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/platform"
	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

// linkedDecoder decodes the endpoints' rows for a VM that reaches each endpoint by a link of
// its own.
type linkedDecoder struct {
	platform.Documents
	t  *testing.T
	mu sync.Mutex
	// links are the VM's links, by the addresses of the endpoints.
	links map[string]*platformtest.Link
}

// Entry implements provider.Decoder.
func (d *linkedDecoder) Entry(row provider.Row) (directory.Entry, error) {
	entry, err := d.Documents.Entry(row)
	if err != nil {
		return entry, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	link := d.links[entry.Address]
	if link == nil {
		link, err = platformtest.NewLink(entry.Address)
		require.NoError(d.t, err)
		d.t.Cleanup(link.Close)
		d.links[entry.Address] = link
	}
	entry.Address = link.Address()
	return entry, nil
}

// set changes the state of the links to the endpoints; none stands for all.
func (d *linkedDecoder) set(state platformtest.LinkState, addresses ...string) {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, link := range d.links {
		chosen := len(addresses) == 0
		for _, a := range addresses {
			chosen = chosen || a == address
		}
		if chosen {
			require.NoError(d.t, link.Set(state))
		}
	}
}

// linkedVM is a VM with links of its own to the endpoints.
type linkedVM struct {
	*VM
	links *linkedDecoder
	log   *lockedBuffer
}

// startLinkedVMs starts VMs, and waits until they are ready and know each other.
func startLinkedVMs(t *testing.T, store provider.Store, names ...string) []*linkedVM {
	t.Helper()
	vms := make([]*linkedVM, 0, len(names))
	seeds := make([]string, 0, len(names))
	for _, name := range names {
		out := &lockedBuffer{}
		log, err := event.New(out, "json", "info", name)
		require.NoError(t, err)
		links := &linkedDecoder{t: t, links: make(map[string]*platformtest.Link)}
		vm, err := Start(config.Settings{
			VM: name, FailureDomain: "z", Callers: freeAddress(t), Balancer: freeAddress(t), Peers: freeAddress(t),
			Metrics: freeAddress(t), Seeds: seeds, Grace: 5 * time.Second,
			Retries: config.Retries{Window: 10 * time.Second, Bounds: retry.Bounds{Ratio: 0.2, Allowance: 100}},
		}, Platform{store, links, platform.Headers{}, platform.MemoryEncoder{}}, log, func() int64 { return 0 })
		require.NoError(t, err)
		t.Cleanup(vm.Close)
		seeds = append(seeds, vm.settings.Peers)
		vms = append(vms, &linkedVM{vm, links, out})
	}
	for _, v := range vms {
		awaitStatus(t, v.settings.Balancer, "/readyz", http.StatusOK)
		require.Eventually(t, func() bool { return len(v.members.service.Live()) == len(vms) }, 20*time.Second, 10*time.Millisecond)
	}
	return vms
}

// firstTries sends requests to a VM at the interval for a time, each with a deadline of 1 s,
// and returns how they ended: by the status, or "none" without a response.
func firstTries(t *testing.T, vm *VM, length time.Duration) map[string]int {
	t.Helper()
	const interval = 20 * time.Millisecond
	var (
		mu    sync.Mutex
		ended = make(map[string]int)
		wg    sync.WaitGroup
	)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for i := range int(length / interval) {
		wg.Go(func() {
			how := try(t, client, vm.settings.Callers, fmt.Sprintf("/a/%d", i))
			mu.Lock()
			defer mu.Unlock()
			ended[how]++
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return ended
}

// try sends one request and returns how it ended.
func try(t *testing.T, client *http.Client, address, path string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader([]byte("body")))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set("X-Cornelsaddle-Attempt-Id", path)
	req.Header.Set("X-Cornelsaddle-Deadline-Ms", "1000")
	resp, err := client.Do(req)
	if err != nil {
		return "none"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && string(body) != "answer" {
		return "cut"
	}
	return strconv.Itoa(resp.StatusCode)
}

// TestVMCutOffFromEndpointsServesFirstTries guards against callers of a VM that reaches no
// endpoint, or some only, who wait for their deadlines or are refused, while other VMs reach
// all of them.
func TestVMCutOffFromEndpointsServesFirstTries(t *testing.T) {
	// stableWindow is the time after which first tries must be served again.
	const stableWindow = 3 * time.Second
	const (
		idempotent = "idempotent"
		once       = "non_idempotent"
	)
	for _, c := range []struct {
		name  string
		state platformtest.LinkState
		kind  string
		cut   int
	}{
		{"silent", platformtest.LinkSilent, idempotent, 3},
		{"reset", platformtest.LinkReset, idempotent, 3},
		{"refusing", platformtest.LinkRefusing, idempotent, 3},
		{"silent for two of three endpoints", platformtest.LinkSilent, idempotent, 2},
		{"silent for requests that run once", platformtest.LinkSilent, once, 3},
		{"refusing for requests that run once", platformtest.LinkRefusing, once, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newMemoryStore()
			store.putConfigurationOfKind(t, 1, "/a/", c.kind)
			const endpoints = 3
			addresses := make([]string, 0, endpoints)
			for i := range endpoints {
				address, _ := startEndpoint(t, 0)
				store.putEndpoint(t, fmt.Sprintf("i-%d", i), address, "ready")
				addresses = append(addresses, address)
			}
			vms := startLinkedVMs(t, store, "a", "b", "c")
			require.Equal(t, map[string]int{"200": 25}, firstTries(t, vms[0].VM, 500*time.Millisecond))
			vms[0].links.set(c.state, addresses[:c.cut]...)
			firstTries(t, vms[0].VM, stableWindow)
			var others map[string]int
			var wg sync.WaitGroup
			wg.Go(func() { others = firstTries(t, vms[1].VM, 2*time.Second) })
			require.Equal(t, map[string]int{"200": 100}, firstTries(t, vms[0].VM, 2*time.Second), "at the VM that is cut off")
			wg.Wait()
			require.Equal(t, map[string]int{"200": 100}, others, "at another VM")
			vms[0].links.set(platformtest.LinkUp)
			require.Equal(t, map[string]int{"200": 25}, firstTries(t, vms[0].VM, 500*time.Millisecond), "after the cut")
		})
	}
}

// startEndpoints starts endpoints of the service and returns their addresses.
func startEndpoints(t *testing.T, store *memoryStore, n int) []string {
	t.Helper()
	addresses := make([]string, 0, n)
	for i := range n {
		address, _ := startEndpoint(t, 0)
		store.putEndpoint(t, fmt.Sprintf("i-%d", i), address, "ready")
		addresses = append(addresses, address)
	}
	return addresses
}

// TestEachVMCutOffInTurn guards against a VM that places requests for others and, as it is cut
// off itself, places them badly or not at all: each VM in turn reaches no endpoint, the holder
// among them, and all go on to serve.
func TestEachVMCutOffInTurn(t *testing.T) {
	const settle = time.Second
	store := newMemoryStore()
	store.putConfiguration(t, 1, "/a/")
	startEndpoints(t, store, 4)
	vms := startLinkedVMs(t, store, "a", "b", "c")
	for _, cut := range vms {
		cut.links.set(platformtest.LinkSilent)
		firstTries(t, cut.VM, settle)
		var wg sync.WaitGroup
		for _, vm := range vms {
			wg.Go(func() {
				assert.Equal(t, map[string]int{"200": 50}, firstTries(t, vm.VM, time.Second), "%s, while %s is cut off", vm.settings.VM, cut.settings.VM)
			})
		}
		wg.Wait()
		cut.links.set(platformtest.LinkUp)
	}
	require.NotZero(t, vms[0].log.count(`"event":745`, `"scope":"all"`), "that it lost its paths is logged")
	require.NotZero(t, vms[0].log.count(`"event":746`, `"scope":"all"`), "and that they work again")
}

// TestVMsThatAllReachNoEndpointRefuseAtOnce guards against requests that wait for their
// deadlines, or go from VM to VM, where no VM reaches an endpoint.
func TestVMsThatAllReachNoEndpointRefuseAtOnce(t *testing.T) {
	const atOnce = 900 * time.Millisecond
	store := newMemoryStore()
	store.putConfiguration(t, 1, "/a/")
	startEndpoints(t, store, 3)
	vms := startLinkedVMs(t, store, "a", "b", "c")
	for _, vm := range vms {
		vm.links.set(platformtest.LinkSilent)
	}
	for _, vm := range vms {
		firstTries(t, vm.VM, 500*time.Millisecond)
	}
	for _, vm := range vms {
		start := time.Now()
		require.Equal(t, http.StatusServiceUnavailable, status(t, vm.settings.Callers, "/a/x"))
		require.Less(t, time.Since(start), atOnce)
	}
	for _, vm := range vms {
		vm.links.set(platformtest.LinkUp)
	}
	for _, vm := range vms {
		require.Eventually(t, func() bool { return status(t, vm.settings.Callers, "/a/x") == http.StatusOK }, 3*time.Second, 50*time.Millisecond)
	}
}

// TestSilentEndpointIsNoLostPath checks that an endpoint that falls silent for a second, for all
// VMs, and goes on is not taken for a lost path of any of them.
func TestSilentEndpointIsNoLostPath(t *testing.T) {
	store := newMemoryStore()
	store.putConfiguration(t, 1, "/a/")
	addresses := startEndpoints(t, store, 3)
	vms := startLinkedVMs(t, store, "a", "b")
	firstTries(t, vms[0].VM, 300*time.Millisecond)
	for _, vm := range vms {
		vm.links.set(platformtest.LinkSilent, addresses[0])
	}
	firstTries(t, vms[0].VM, time.Second)
	for _, vm := range vms {
		vm.links.set(platformtest.LinkUp)
	}
	require.Equal(t, map[string]int{"200": 25}, firstTries(t, vms[0].VM, 500*time.Millisecond))
	for _, vm := range vms {
		require.Zero(t, vm.log.count(`"event":745`, ""))
	}
}

// TestFlappingPathsServeFirstTries checks that paths that are lost and work again by turns cost
// no first try once the VM has learnt of them.
func TestFlappingPathsServeFirstTries(t *testing.T) {
	store := newMemoryStore()
	store.putConfigurationOfKind(t, 1, "/a/", "non_idempotent")
	startEndpoints(t, store, 3)
	vms := startLinkedVMs(t, store, "a", "b")
	for range 4 {
		vms[0].links.set(platformtest.LinkRefusing)
		require.Equal(t, map[string]int{"200": 20}, firstTries(t, vms[0].VM, 400*time.Millisecond))
		vms[0].links.set(platformtest.LinkUp)
		require.Equal(t, map[string]int{"200": 20}, firstTries(t, vms[0].VM, 400*time.Millisecond))
	}
}
