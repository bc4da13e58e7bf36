package node

import (
	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/health"
	"cornelsaddle.example/cornelsaddle/internal/member"
)

// observer hands what the probes bring to the parts that need it.
type observer struct {
	follower *confsync.Follower
	health   *health.Health
}

// PeerVersion implements member.Observer.
func (o *observer) PeerVersion(address string, version int64) { o.follower.Heard(address, version) }

// PeerDigest implements member.Observer.
func (o *observer) PeerDigest(string, []byte) {}

// EndpointLeaves implements member.Observer.
func (o *observer) EndpointLeaves(mark membership.Mark) { o.health.Marked(mark) }

// MembersChanged implements member.Observer.
func (o *observer) MembersChanged() {}

// join begins to probe the other VMs, and to follow the configuration with
// them.
func (n *Node) join() {
	p := n.parts
	n.members = member.Start(member.Config{
		Self: membership.Record{
			ID:            p.Identity.VM,
			Address:       n.peers.Addr(),
			FailureDomain: n.settings.VM.FailureDomain,
			Incarnation:   p.Identity.Incarnation,
		},
		Caller:   p.Peers,
		List:     p.Store,
		Log:      n.log,
		Observer: &observer{p.Follower, p.Health},
		Version:  p.Follower.Known,
	}, p.Mux)
	p.Health.Tell(n.members.MarkEndpoint)
	p.Follower.Join(n.members, p.Mux)
	p.Follower.Start()
}
