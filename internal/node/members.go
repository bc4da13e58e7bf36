package node

import (
	"slices"
	"sync/atomic"

	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/health"
	"cornelsaddle.example/cornelsaddle/internal/member"
	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/internal/reserve"
	"cornelsaddle.example/cornelsaddle/internal/settings"
)

// observer hands what the probes bring to the parts that need it.
type observer struct {
	self     string
	fleet    *fleet.Fleet
	view     *view
	follower *confsync.Follower
	health   *health.Health
	store    *platform.Client
}

// PeerVersion implements member.Observer.
func (o *observer) PeerVersion(address string, version int64) { o.follower.Heard(address, version) }

// PeerDigest implements member.Observer.
func (o *observer) PeerDigest(vm string, digest []byte) { o.fleet.PeerDigest(vm, digest) }

// EndpointMarked implements member.Observer.
func (o *observer) EndpointMarked(mark membership.Mark) { o.health.Marked(mark) }

// MembersChanged implements member.Observer.
func (o *observer) MembersChanged() {
	live := o.view.Live()
	ids := make([]string, 0, len(live))
	for _, m := range live {
		ids = append(ids, m.VM)
	}
	o.fleet.SetMembers(o.self, ids)
	o.store.SetVMs(len(o.view.ids()))
}

// ListedLeaving implements member.Observer. The list names VMs; those that are
// endpoints get no new work.
func (o *observer) ListedLeaving(vm string) {
	if snap := o.follower.Current(); snap != nil {
		if _, ok := snap.Endpoints[vm]; ok {
			o.health.Listed(vm)
		}
	}
}

// join begins to probe the other VMs, and to follow the configuration with
// them.
func (n *Node) join() {
	p := n.parts
	n.parts.View.service.Store(member.Start(member.Config{
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
		Observer: &observer{p.Identity.VM, p.Fleet, p.View, p.Follower, p.Health, p.Store},
		Version:  p.Follower.Known,
		Digest:   p.Fleet.Digest,
	}, p.Mux))
	n.members = n.parts.View.service.Load()
	n.keeper = n.startKeeper()
	n.notices = startNotices(n.members, p.Mux, p.Fleet.PeerDigest)
	p.Fleet.SetNotify(n.notices.send)
	p.Health.Tell(n.members.MarkEndpoint)
	p.Fleet.SetHealth(p.Health)
	p.Follower.Join(n.members, p.Mux)
	n.run(p.Follower)
}

// view is what the accounting of reservations sees of the members. It knows only
// this VM until the membership has started.
type view struct {
	solo    reserve.Solo
	region  string
	service atomic.Pointer[member.Service]
}

func newView(self peer.Identity, s settings.Settings) *view {
	return &view{solo: reserve.Solo{Self: self}, region: s.VM.Region}
}

// Live implements reserve.Members.
func (v *view) Live() []reserve.Member {
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

// ids lists the entry VMs that live, of all regions.
func (v *view) ids() []string {
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

// Life implements reserve.Members. A VM that only went silent may be paused, so
// it is dead for certain only where a later incarnation is known, or where it
// said before that it leaves.
func (v *view) Life(id peer.Identity) reserve.Life {
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

// Gone implements call.Liveness.
func (v *view) Gone(vm string, incarnation int64) bool {
	return v.Life(peer.Identity{VM: vm, Incarnation: incarnation}) == reserve.Dead
}
