package node

import (
	"slices"
	"sync/atomic"

	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/internal/assign"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/crashguard"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/health"
	"cornelsaddle.example/cornelsaddle/internal/member"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
	"cornelsaddle.example/cornelsaddle/internal/settings"
)

// observer passes membership changes and the peers' reports to the components that
// use them. It implements member.Observer.
type observer struct {
	self     string
	fleet    *fleet.Fleet
	view     *memberView
	follower *confsync.Follower
	health   *health.Health
	store    *platform.Client
	guard    *crashguard.Guard
	log      *event.Logger
}

// PeerVersion implements member.Observer.
func (o *observer) PeerVersion(address string, version int64) {
	o.follower.HandlePeerVersion(address, version)
}

// PeerDigest implements member.Observer.
func (o *observer) PeerDigest(vm string, digest []byte) { o.fleet.ApplyPeerDigest(vm, digest) }

// EndpointMarked implements member.Observer.
func (o *observer) EndpointMarked(mark membership.Mark) { o.health.Marked(mark) }

// NoteChanged implements member.Observer. It applies the verdict on a request that crashes
// endpoints.
func (o *observer) NoteChanged(n membership.Note) {
	if v, ok := member.ReadVerdict(n, o.log); ok {
		o.guard.Apply(v)
	}
}

// MembersChanged implements member.Observer.
func (o *observer) MembersChanged() {
	live := o.view.Live()
	ids := make([]string, 0, len(live))
	for _, m := range live {
		ids = append(ids, m.VM)
	}
	o.fleet.SetMembers(o.self, ids)
	o.store.SetVMs(len(o.view.liveIDs()))
}

// ListedLeaving implements member.Observer. The platform's list names VMs; one
// that is also an endpoint is reported to the health tracker as leaving.
func (o *observer) ListedLeaving(vm string) {
	if snap := o.follower.Current(); snap != nil {
		if _, ok := snap.Endpoints[vm]; ok {
			o.health.Listed(vm)
		}
	}
}

// startMembership starts the membership service and connects it with the components
// that exchange data with the other VMs: notices of long prefills, endpoint marks
// and the configuration follower, which it starts as well.
func (n *Node) startMembership() {
	p := n.components
	o := &observer{p.Identity.VM, p.Fleet, p.MemberView, p.Follower, p.Health, p.Store, p.Guard, n.log}
	n.components.MemberView.service.Store(member.Start(member.Config{
		Self: membership.Record{
			ID:            p.Identity.VM,
			Address:       n.peers.Addr(),
			FailureDomain: n.settings.VM.FailureDomain,
			Region:        n.settings.VM.Region,
			Incarnation:   p.Identity.Incarnation,
		},
		Caller:   p.Peers,
		List:     p.Store,
		Log:      n.log,
		Observer: o,
		Version:  p.Follower.NewestKnown,
		Digest:   p.Fleet.Digest,
	}, p.Mux))
	n.members = n.components.MemberView.service.Load()
	p.Guard.SetAnnounce(n.members.AnnounceVerdict)
	// Changes from before the view had the service were seen without other VMs.
	o.MembersChanged()
	n.cleaner = n.startEndpointCleaner()
	n.noticeSender = startNoticeSender(n.members, p.Mux, p.Fleet.ApplyPeerDigest)
	p.Fleet.SetNotify(n.noticeSender.enqueue)
	p.Health.SetNotify(n.members.MarkEndpoint)
	p.Fleet.SetHealth(p.Health)
	p.Follower.ConnectPeers(n.members, p.Mux)
	n.startComponent(p.Follower)
}

// memberView provides the membership to the accounting of reservations, the call
// runner and the leases. Until the membership service has started, the reservations
// and the call runner see only this VM.
type memberView struct {
	solo    reserve.SingleVM
	region  string
	service atomic.Pointer[member.Service]
}

func newMemberView(self peer.Identity, s settings.Settings) *memberView {
	return &memberView{solo: reserve.SingleVM{Self: self}, region: s.VM.Region}
}

// Live implements reserve.Members.
func (v *memberView) Live() []reserve.Member {
	service := v.service.Load()
	if service == nil {
		return v.solo.Live()
	}
	var live []reserve.Member
	for _, r := range service.Live() {
		if r.Region == v.region {
			live = append(live, reserve.Member{Identity: peer.Identity{VM: r.ID, Incarnation: r.Incarnation}, Address: r.Address})
		}
	}
	return live
}

// Members implements assign.Members.
func (v *memberView) Members() []assign.Member {
	service := v.service.Load()
	if service == nil {
		return nil
	}
	live := service.Live()
	list := make([]assign.Member, 0, len(live))
	for _, r := range live {
		list = append(list, assign.Member{VM: r.ID, Address: r.Address})
	}
	return list
}

// liveIDs returns the sorted IDs of the live entry VMs of all regions, nil until
// the membership service has started.
func (v *memberView) liveIDs() []string {
	service := v.service.Load()
	if service == nil {
		return nil
	}
	var ids []string
	for _, r := range service.Live() {
		ids = append(ids, r.ID)
	}
	slices.Sort(ids)
	return ids
}

// Life implements reserve.Members. A VM that stopped responding may only be
// paused, so an incarnation counts as dead only if a later one is known, or if it
// had announced that it was leaving before it was found dead.
func (v *memberView) Life(id peer.Identity) reserve.Life {
	life := v.solo.Life(id)
	service := v.service.Load()
	if life != reserve.Unknown || service == nil {
		return life
	}
	for _, r := range service.Records() {
		if r.ID != id.VM {
			continue
		}
		switch {
		case r.Incarnation > id.Incarnation, r.Incarnation == id.Incarnation && r.Leaving && r.Status == membership.StatusDead:
			return reserve.Dead
		case r.Incarnation == id.Incarnation && r.Status == membership.StatusAlive:
			return reserve.Alive
		}
	}
	return reserve.Unknown
}

// HasEnded implements call.Liveness.
func (v *memberView) HasEnded(vm string, incarnation int64) bool {
	return v.Life(peer.Identity{VM: vm, Incarnation: incarnation}) == reserve.Dead
}
