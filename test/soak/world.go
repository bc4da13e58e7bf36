package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

const (
	host         = "soak.test"
	key          = "key-of-the-soak"
	service      = "s"
	streamEvents = 4
	// crashTime is the time for which an endpoint is down after a crash.
	crashTime = 1500 * time.Millisecond
	// eventGap is the time between two events of a stream, long enough for some streams to
	// be in flight at any time.
	eventGap      = 40 * time.Millisecond
	vmCount       = 3
	endpointCount = 5
	// endpointSlots are fewer than the callers need, so that requests wait at any time.
	endpointSlots = 2
	// evacuableDomain is the failure domain of every second endpoint; the other ones are
	// in that of the VMs.
	evacuableDomain = "z-2"
	// coldFor is how long an endpoint is cold after its start, and coldPerSecond the requests a
	// second that a cold one bears: less than it gets when it is warm.
	coldFor       = time.Second
	coldPerSecond = 4
	// statedCold is how long an endpoint is cold that states so, from its row on.
	statedCold   = 6 * time.Second
	grace        = 5 * time.Second
	routeTimeout = 4 * time.Second
	readyTimeout = 20 * time.Second
)

// endpoint is an endpoint in this process, behind a proxy.
type endpoint struct {
	*platformtest.Endpoint
	server *http.Server
	proxy  *proxy
	// listed is false once it has left, and limited is set while it names a limit.
	listed  bool
	limited bool
}

// vm is a gateway, a process of its own. The other VMs reach it through a proxy, it the store
// through another one, and each endpoint through a link of its own.
type vm struct {
	name    string
	file    string
	callers string
	ready   string
	store   *proxy
	peers   *proxy
	// links are its paths to the endpoints, and linksURL is where it asks for them.
	links    *links
	linksURL string
	server   *http.Server
	// listen is the address on which it serves the other VMs.
	listen string
	// starts counts the processes, which are the incarnations of the VM.
	starts atomic.Int64

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// world is a deployment on this machine: a store, endpoints and gateways.
type world struct {
	bin     string
	dir     string
	store   *platformtest.Store
	server  *http.Server
	storeAt string
	checks  *checkers
	vms     []*vm
	// contracts are those in the settings of the VMs.
	contracts []string
	// version is the latest configuration version.
	version atomic.Int64

	// mu guards the endpoints, started, which counts them, evacuated, and what is written
	// of them and of the configuration.
	mu        sync.Mutex
	endpoints []*endpoint
	started   int
	// crashing counts the requests that crash endpoints.
	crashing int
	// evacuated reports whether the operator has evacuated evacuableDomain.
	evacuated bool
}

func listen() (net.Listener, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	return l, errors.WithStack(err)
}

// serve serves a handler on a loopback port until the server is closed.
func serve(h http.Handler) (*http.Server, string, error) {
	l, err := listen()
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

func newWorld(bin, dir string, seed uint64, checks *checkers) (*world, error) {
	w := &world{bin: bin, dir: dir, store: platformtest.NewStore(seed), checks: checks}
	if seed%2 == 1 {
		// Every second seed runs with the parts of placement that contracts enable.
		w.contracts = []string{"health", "pressure"}
	}
	var err error
	if w.server, w.storeAt, err = serve(w.store); err != nil {
		return nil, err
	}
	w.configure()
	for range endpointCount {
		if err := w.addEndpoint(w.nextDomain()); err != nil {
			return w, err
		}
	}
	var seeds []string
	for i := range vmCount {
		v, err := w.addVM(fmt.Sprintf("vm-%d", i), seeds)
		if err != nil {
			return w, err
		}
		seeds = append(seeds, v.peers.address())
	}
	for _, v := range w.vms {
		if err := v.awaitReady(); err != nil {
			return w, err
		}
	}
	return w, nil
}

// configure writes the next version of the configuration, which has a route of its own
// beside those that all versions have.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeConfiguration(int(w.version.Add(1)))
}

// writeConfiguration writes a version of the configuration; the lock is held.
func (w *world) writeConfiguration(version int) {
	routes := []platformtest.Route{
		{Prefix: "/once/", Kind: "non_idempotent", Service: service, Timeout: routeTimeout, MaxAttempts: 2, ColdFor: coldFor, ColdPerSecond: coldPerSecond},
		{Prefix: "/safe/", Kind: "idempotent", Service: service, Timeout: routeTimeout, MaxAttempts: 3},
		{Prefix: "/stream/", Kind: "streaming", Resumable: true, Service: service, Timeout: routeTimeout, MaxAttempts: 3},
	}
	for v := 1; v <= version; v++ {
		routes = append(routes, platformtest.Route{Prefix: versionPath(v), Kind: "idempotent", Service: service, Timeout: routeTimeout, MaxAttempts: 3})
	}
	w.store.Put(platformtest.TableOperator, "config", platformtest.Configuration(version, host, routes, []string{key}))
}

func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// nextDomain returns the failure domain of the next of the first endpoints.
func (w *world) nextDomain() string {
	if len(w.endpoints)%2 == 1 {
		return evacuableDomain
	}
	return ""
}

func (w *world) addEndpoint(domain string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	e := &endpoint{listed: true, Endpoint: &platformtest.Endpoint{
		ID: fmt.Sprintf("i-%d", w.started), Service: service, Domain: domain, Slots: endpointSlots, Record: w.checks.ran, Named: w.checks.named,
		CrashTime: crashTime,
	}}
	e.Crashed = func() {
		now := time.Now()
		w.checks.addDisturbance(span{"", e.ID, now.Add(-settleTime), now.Add(crashTime + settleTime)})
	}
	w.checks.started(e.ID, domain)
	e.heal()
	server, address, err := serve(e.Endpoint)
	if err != nil {
		return err
	}
	e.server = server
	if e.proxy, err = newProxy(address); err != nil {
		return err
	}
	w.endpoints = append(w.endpoints, e)
	w.list(e, "ready")
	return nil
}

// heal ends all faults of the endpoint itself.
func (e *endpoint) heal() {
	e.SetFault(platformtest.EndpointFault{Latency: 5 * time.Millisecond, Gap: eventGap, Events: streamEvents})
}

// replace lists a new endpoint and lets one of the same failure domain leave.
func (w *world) replace(e *endpoint) error {
	if err := w.addEndpoint(e.Domain); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e.listed = false
	e.Leave()
	w.store.Remove(platformtest.TableEndpoints, e.ID)
	return nil
}

// evacuate evacuates a failure domain, or takes that back.
func (w *world) evacuate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setEvacuated(!w.evacuated)
}

// setEvacuated writes whether the failure domain is evacuated, if that is another state; the lock is
// held.
func (w *world) setEvacuated(evacuated bool) {
	if w.evacuated == evacuated {
		return
	}
	w.evacuated = evacuated
	w.writeEvacuation()
	if w.evacuated {
		w.checks.evacuated(evacuableDomain, time.Now())
	} else {
		w.checks.evacuationEnded(evacuableDomain)
	}
}

// evacuateCold lets the endpoints of a failure domain become cold, and then evacuates it or takes that
// back.
func (w *world) evacuateCold(evacuated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, e := range w.endpoints {
		if e.listed && e.Domain == evacuableDomain {
			e.ColdUntil = now.Add(statedCold)
			w.list(e, "ready")
			w.checks.becameCold(e.ID, now, e.ColdUntil)
		}
	}
	w.setEvacuated(evacuated)
}

// writeEvacuation writes whether the failure domain is evacuated; the lock is held.
func (w *world) writeEvacuation() {
	row := platformtest.EvacuationKey(evacuableDomain)
	if w.evacuated {
		w.store.Put(platformtest.TableOperator, row, platformtest.Evacuation())
	} else {
		w.store.Remove(platformtest.TableOperator, row)
	}
}

// pick returns one of the endpoints that have not left.
func (w *world) pick(random *rand.Rand) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		if e := w.endpoints[random.IntN(len(w.endpoints))]; e.listed {
			return e
		}
	}
}

// addressesIn returns the addresses of the listed endpoints of a failure domain.
func (w *world) addressesIn(domain string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var addresses []string
	for _, e := range w.endpoints {
		if e.listed && e.Domain == domain {
			addresses = append(addresses, e.proxy.address())
		}
	}
	return addresses
}

// list writes the endpoint's row; the lock is held.
func (w *world) list(e *endpoint, state string) {
	w.store.Put(platformtest.TableEndpoints, e.ID, e.Entry(e.proxy.address(), state, 1))
}

// rewrite writes again what the operator and the endpoints have written, as they do
// after the store was restored.
func (w *world) rewrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeConfiguration(int(w.version.Load()))
	w.writeEvacuation()
	for _, e := range w.endpoints {
		if e.listed {
			w.list(e, "ready")
		} else {
			w.store.Remove(platformtest.TableEndpoints, e.ID)
		}
	}
}

// addVM starts a VM.
func (w *world) addVM(name string, seeds []string) (*vm, error) {
	v := &vm{name: name, file: filepath.Join(w.dir, name+".json")}
	for _, address := range []*string{&v.callers, &v.ready, &v.listen} {
		free, err := platformtest.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	var err error
	if v.store, err = newProxy(w.storeAt); err != nil {
		return nil, err
	}
	if v.peers, err = newProxy(v.listen); err != nil {
		return nil, err
	}
	v.links = newLinks()
	var linksAt string
	if v.server, linksAt, err = serve(v.links); err != nil {
		return nil, err
	}
	v.linksURL = "http://" + linksAt + "/?address="
	settings := platformtest.Settings(name, v.callers, v.ready, v.peers.address(), v.store.address(), seeds, grace, w.contracts...)
	if err := os.WriteFile(v.file, settings, 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	w.vms = append(w.vms, v)
	return v, v.start(w.bin, filepath.Join(w.dir, name+".log"))
}

// start starts the VM's process, which appends its log to a file.
func (v *vm) start(bin, log string) error {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	cmd := exec.Command(bin, "-settings", v.file, "-listen-peers", v.listen, "-links", v.linksURL)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.WithStack(err)
	}
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	v.starts.Add(1)
	go func() {
		_ = cmd.Wait() // callers see what matters of how the process ends
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the VM's process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// The process may have ended already.
	_ = v.cmd.Process.Signal(s)
}

// incarnation identifies the VM's process.
func (v *vm) incarnation() string { return fmt.Sprintf("%s/%d", v.name, v.starts.Load()) }

func (v *vm) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+"/readyz", nil)
		if err != nil {
			cancel()
			return errors.WithStack(err)
		}
		resp, err := http.DefaultClient.Do(req)
		cancel()
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.WithStack(&notReadyError{v.name})
}

// notReadyError reports that a VM did not become ready.
type notReadyError struct{ VM string }

// Error implements error.
func (e *notReadyError) Error() string { return e.VM + " did not become ready" }

// close ends all processes and servers of the world.
func (w *world) close() {
	for _, v := range w.vms {
		v.signal(syscall.SIGKILL)
		<-v.exited
		v.store.close()
		v.peers.close()
		v.links.close()
		_ = v.server.Close()
	}
	for _, e := range w.endpoints {
		_ = e.server.Close()
		e.proxy.close()
	}
	_ = w.server.Close()
}

// program builds the gateway's program of the soak into the directory, with more flags of the build.
func program(dir string, flags ...string) (string, error) {
	bin := filepath.Join(dir, "gateway")
	args := slices.Concat([]string{"build", "-o", bin}, flags, []string{"cornelsaddle.example/cornelsaddle/test/soak/gateway"})
	out, err := exec.Command("go", args...).CombinedOutput()
	return bin, errors.Wrap(err, strings.TrimSpace(string(out)))
}
