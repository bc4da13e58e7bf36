package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/member"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

const (
	// peerKey authenticates peer connections. It is not a secret: only VMs can
	// reach the peer ports, and the key only tells this product's connections from
	// others.
	peerKey = "cornelsaddle entry VMs"
	// methodIdentify returns the ID of the VM at an address.
	methodIdentify peer.Method = "entry.identify"
	// identifyTimeout bounds an identify request to a seed.
	identifyTimeout = time.Second
	// storeTimeout bounds a request to the store to list the VMs or remove one.
	storeTimeout = 3 * time.Second
	// deadRowInterval is the time between two removals of dead VMs' rows.
	deadRowInterval = 30 * time.Second
	// registerRetryDelay is the delay between attempts to write this VM's row.
	registerRetryDelay = time.Second
	// removalAttempts is the number of attempts to remove this VM's row when it stops,
	// and removalTimeout bounds each of them. They fit into a short grace period. A row
	// that stays is removed by the other VMs.
	removalAttempts = 3
	removalTimeout  = time.Second
	// reregisterSpread is the time over which the VMs write their rows again after the
	// store was restored.
	reregisterSpread = 2 * time.Second
)

// vmRow is the value of a VM's row in the store.
type vmRow struct {
	Peer   string `json:"peer"`
	Domain string `json:"failure_domain"`
}

// identifyResponse is the response to methodIdentify.
type identifyResponse struct {
	VM string `json:"vm"`
}

// vmLister lists the VMs in the store, or those at the seed addresses if the store
// can't be read. It implements member.List.
type vmLister struct {
	store provider.Store
	peers *peer.Client
	seeds []string
	self  string
	log   *event.Logger
	// listed receives the VMs that were listed.
	listed func([]liveVM)
}

// VMs implements member.List. Rows that can't be decoded are logged and left out.
func (l *vmLister) VMs() (wire.VMList, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	page, err := l.store.List(ctx, provider.VMs)
	if err != nil {
		return l.listFromSeeds(), nil
	}
	var list wire.VMList
	var listed []liveVM
	for _, row := range page.Rows {
		var doc vmRow
		if err := json.Unmarshal(row.Value, &doc); err != nil {
			l.log.Emit(event.EntryUnreadable{Endpoint: row.Key, Row: row.Version, Reason: err.Error()})
			continue
		}
		list.VMs = append(list.VMs, wire.VM{ID: row.Key, Peer: doc.Peer, FailureDomain: doc.Domain, State: wire.VMLive})
		listed = append(listed, liveVM{row.Key, doc.Peer, doc.Domain})
	}
	l.listed(listed)
	return list, nil
}

// listFromSeeds sends an identify request to each seed but this VM, and returns
// those that respond.
func (l *vmLister) listFromSeeds() wire.VMList {
	var list wire.VMList
	for _, address := range l.seeds {
		if address == l.self {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
		var answer identifyResponse
		_, err := l.peers.Call(ctx, address, methodIdentify, struct{}{}, &answer)
		cancel()
		if err == nil {
			list.VMs = append(list.VMs, wire.VM{ID: answer.VM, Peer: address, State: wire.VMLive})
		}
	}
	return list
}

// setListed takes the VMs of the store's list for live ones for a while.
func (v *VM) setListed(vms []liveVM) {
	if v.listed.set(vms) && v.hasJoined() {
		v.updateMembers()
	}
}

// members runs this VM's part in the membership: the peer server, the membership
// service, and the VM's row in the store.
type members struct {
	vm       *VM
	ctx      context.Context //nolint:containedctx // bounds the background tasks of the VM's lifetime
	server   *peer.Server
	service  *member.Service
	identity peer.Identity
	cancel   context.CancelFunc

	mu sync.Mutex
	// epoch is the latest epoch of the store in which the row was written again.
	epoch int64
	// refutations is the number of times that this VM has refuted that it is suspected
	// or dead.
	refutations uint32
	// leaving is set when this VM stops, and no more registrations are started.
	leaving bool
	// registrations are the writes of the row in progress, which end early when the
	// context is cancelled.
	registrations sync.WaitGroup
}

// join starts the peer server, registers this VM in the store and starts the
// membership service, which probes the other VMs.
func (v *VM) join() (*members, error) {
	p := v.components
	server, err := peer.Listen(cmp.Or(v.settings.PeersListen, v.settings.Peers), v.peerConfig(p.Identity), p.Mux, v.log, p.Metrics.Registry)
	if err != nil {
		return nil, err
	}
	peer.Register(p.Mux, methodIdentify, func(context.Context, peer.Identity, struct{}) (identifyResponse, error) {
		return identifyResponse{p.Identity.VM}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	m := &members{vm: v, ctx: ctx, server: server, identity: p.Identity, cancel: cancel}
	m.registerAfter(0)
	cfg := member.Config{
		Self: membership.Record{
			ID:            p.Identity.VM,
			Address:       v.settings.Peers,
			FailureDomain: v.settings.FailureDomain,
			Region:        v.settings.Region,
			Incarnation:   p.Identity.Incarnation,
		},
		Caller:   p.Peers,
		List:     &vmLister{v.platform.Store, p.Peers, v.settings.Seeds, v.settings.Peers, v.log, v.setListed},
		Log:      v.log,
		Observer: &observer{vm: v},
		Version:  p.Tables.version,
		Digest:   v.digest,
	}
	withCause(causeMembership, func() { m.service = member.Start(cfg, p.Mux) })
	go m.removeDeadRowsPeriodically(ctx)
	return m, nil
}

// registerAgain writes this VM's row again once in each epoch of the store, as the
// store may have lost it. The VMs do so at random times within reregisterSpread.
func (m *members) registerAgain(epoch int64) {
	m.mu.Lock()
	known := epoch <= m.epoch
	m.epoch = max(m.epoch, epoch)
	m.mu.Unlock()
	if !known {
		m.registerAfter(rand.N(reregisterSpread))
	}
}

// refuted records the number of refutations and reports whether it has grown.
func (m *members) refuted(refutations uint32) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	grown := refutations > m.refutations
	m.refutations = max(m.refutations, refutations)
	return grown
}

// registerAfter starts a registration after the delay, unless this VM is leaving.
func (m *members) registerAfter(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return
	}
	m.registrations.Go(func() {
		select {
		case <-m.ctx.Done():
		case <-time.After(delay):
			m.register(m.ctx)
		}
	})
}

// register writes this VM's row, so that VMs that start later find it. It retries
// until the store confirms the write or the context ends.
func (m *members) register(ctx context.Context) {
	value, err := json.Marshal(vmRow{m.vm.settings.Peers, m.vm.settings.FailureDomain})
	for err == nil && ctx.Err() == nil {
		failure := m.vm.platform.Store.Put(ctx, provider.VMs, m.identity.VM, value)
		if failure == nil || ctx.Err() != nil {
			return
		}
		m.vm.log.Emit(event.RegistrationFailed{Reason: failure.Error()})
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryDelay):
		}
	}
}

// removeDeadRowsPeriodically removes the rows of dead VMs while this VM is a watcher
// of the list of VMs. A VM that was wrongly declared dead writes its row again only
// when it restarts; until then, the others find it through the membership service.
func (m *members) removeDeadRowsPeriodically(ctx context.Context) {
	ticker := time.NewTicker(deadRowInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if m.vm.watchers.Watches(provider.VMs) {
			m.removeDeadRows(ctx)
		}
	}
}

// removeDeadRows removes the rows of the VMs that are currently dead.
func (m *members) removeDeadRows(ctx context.Context) {
	for _, r := range m.service.Records() {
		if r.Status != membership.StatusDead {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		err := m.vm.platform.Store.Remove(limited, provider.VMs, r.ID)
		cancel()
		if err != nil {
			m.vm.log.Emit(event.RegistrationFailed{Member: r.ID, Reason: err.Error()})
			continue
		}
		m.vm.log.Emit(event.LineDropped{Member: r.ID, Incarnation: r.Incarnation})
	}
}

// announceLeave announces to the other VMs that this one stops. It does not wait for them.
func (m *members) announceLeave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.cancel()
	m.service.Leave()
	m.vm.updateMembers()
}

// removeOwnRow removes this VM's row, after announceLeave.
func (m *members) removeOwnRow() {
	m.registrations.Wait()
	for range removalAttempts {
		if m.removeRow() {
			return
		}
		time.Sleep(registerRetryDelay)
	}
}

// removeRow removes this VM's row and reports whether the store confirmed it.
func (m *members) removeRow() bool {
	ctx, cancel := context.WithTimeout(context.Background(), removalTimeout)
	defer cancel()
	err := m.vm.platform.Store.Remove(ctx, provider.VMs, m.identity.VM)
	if err != nil {
		m.vm.log.Emit(event.RegistrationFailed{Reason: errors.Cause(err).Error()})
	}
	return err == nil
}

func (m *members) stop() {
	m.cancel()
	m.service.Stop()
	m.server.Close()
	m.vm.components.Peers.Close()
}
