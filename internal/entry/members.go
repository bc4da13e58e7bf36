package entry

import (
	"context"
	"encoding/json"
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
	// fleetKey opens the peers' connections. Only VMs reach each other's ports, so
	// it tells this product's connections from others and keeps no secret.
	fleetKey = "cornelsaddle entry VMs"
	// methodIdentify asks who answers at an address.
	methodIdentify peer.Method = "entry.identify"
	// identifyTimeout bounds the question to a seed.
	identifyTimeout = time.Second
	// listTimeout bounds a read of the list of VMs.
	listTimeout = 3 * time.Second
	// linesInterval is the time between two looks for lines of VMs that are gone.
	linesInterval = 30 * time.Second
	// registerPause is between two tries to write this VM's line.
	registerPause = time.Second
)

// vmLine is what a VM writes of itself to the store.
type vmLine struct {
	Peer   string `json:"peer"`
	Domain string `json:"failure_domain"`
}

// identified says who answers at an address.
type identified struct {
	VM string `json:"vm"`
}

// vmList lists the other VMs from the store, and from the seeds where the store
// does not answer. It implements member.List.
type vmList struct {
	store provider.Store
	peers *peer.Client
	seeds []string
	self  string
	log   *event.Logger
}

// VMs implements member.List.
func (l *vmList) VMs() (wire.VMList, error) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	page, err := l.store.List(ctx, provider.VMs)
	if err != nil {
		return l.fromSeeds(), nil
	}
	var list wire.VMList
	for _, row := range page.Rows {
		var line vmLine
		if err := json.Unmarshal(row.Value, &line); err != nil {
			l.log.Emit(event.EntryUnreadable{Endpoint: row.Key, Row: row.Version, Reason: err.Error()})
			continue
		}
		list.VMs = append(list.VMs, wire.VM{ID: row.Key, Peer: line.Peer, FailureDomain: line.Domain, State: wire.VMLive})
	}
	return list, nil
}

// fromSeeds asks the seeds who they are.
func (l *vmList) fromSeeds() wire.VMList {
	var list wire.VMList
	for _, address := range l.seeds {
		if address == l.self {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
		var answer identified
		_, err := l.peers.Call(ctx, address, methodIdentify, struct{}{}, &answer)
		cancel()
		if err == nil {
			list.VMs = append(list.VMs, wire.VM{ID: answer.VM, Peer: address, State: wire.VMLive})
		}
	}
	return list
}

// members is this VM's place among the others.
type members struct {
	entry    *Entry
	server   *peer.Server
	service  *member.Service
	identity peer.Identity
	cancel   context.CancelFunc
	// registered is closed when the line was written, or is not wanted any more.
	registered chan struct{}
}

// join answers the other VMs and begins to probe them.
func (e *Entry) join() (*members, error) {
	p := e.parts
	server, err := peer.Listen(e.settings.Peers, peer.Config{Self: p.Identity, Keys: []string{fleetKey}}, p.Mux, e.log, p.Metrics.Registry)
	if err != nil {
		return nil, err
	}
	peer.Register(p.Mux, methodIdentify, func(context.Context, peer.Identity, struct{}) (identified, error) {
		return identified{p.Identity.VM}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	m := &members{entry: e, server: server, identity: p.Identity, cancel: cancel, registered: make(chan struct{})}
	go m.register(ctx)
	m.service = member.Start(member.Config{
		Self: membership.Record{
			ID:            p.Identity.VM,
			Address:       e.settings.Peers,
			FailureDomain: e.settings.Domain,
			Region:        e.settings.Region,
			Incarnation:   p.Identity.Incarnation,
		},
		Caller:   p.Peers,
		List:     &vmList{e.platform.Store, p.Peers, e.settings.Seeds, e.settings.Peers, e.log},
		Log:      e.log,
		Observer: &observer{entry: e},
		Version:  p.Tables.version,
		Digest:   e.digest,
	}, p.Mux)
	go m.dropLines(ctx)
	return m, nil
}

// register writes this VM's line, so that those that start later find it.
func (m *members) register(ctx context.Context) {
	defer close(m.registered)
	line, err := json.Marshal(vmLine{m.entry.settings.Peers, m.entry.settings.Domain})
	for err == nil && ctx.Err() == nil {
		failure := m.entry.platform.Store.Put(ctx, provider.VMs, m.identity.VM, line)
		if failure == nil || ctx.Err() != nil {
			return
		}
		m.entry.log.Emit(event.RegistrationFailed{Reason: failure.Error()})
		select {
		case <-ctx.Done():
		case <-time.After(registerPause):
		}
	}
}

// dropLines removes the lines of VMs that are dead, where this VM is the one that
// does so for all. A VM that lives after all writes its line anew when it starts,
// and is known to the others until then.
func (m *members) dropLines(ctx context.Context) {
	ticker := time.NewTicker(linesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if m.entry.watchers.Watches(provider.VMs) {
			m.dropDead(ctx)
		}
	}
}

// dropDead removes the lines of the VMs that are dead now.
func (m *members) dropDead(ctx context.Context) {
	for _, r := range m.service.Records() {
		if r.Status != membership.StatusDead {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, listTimeout)
		err := m.entry.platform.Store.Remove(limited, provider.VMs, r.ID)
		cancel()
		if err != nil {
			m.entry.log.Emit(event.RegistrationFailed{Member: r.ID, Reason: err.Error()})
			continue
		}
		m.entry.log.Emit(event.LineDropped{Member: r.ID, Incarnation: r.Incarnation})
	}
}

// leave tells the others that this VM stops, and drops its line.
func (m *members) leave() {
	m.cancel()
	m.service.Leave()
	m.entry.tellMembers()
	<-m.registered
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	if err := m.entry.platform.Store.Remove(ctx, provider.VMs, m.identity.VM); err != nil {
		m.entry.log.Emit(event.RegistrationFailed{Reason: errors.Cause(err).Error()})
	}
}

func (m *members) stop() {
	m.cancel()
	m.service.Stop()
	m.server.Close()
	m.entry.parts.Peers.Close()
}
