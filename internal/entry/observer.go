package entry

import (
	"context"
	"encoding/json"
	"time"

	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/internal/coordination"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/mirror"
)

// pullDelay is how long a VM waits for news on its usual way before it asks the
// VM that has them.
const pullDelay = 150 * time.Millisecond

// digest is what VMs tell each other with their probes: the newest versions of
// the rows that they know.
type digest struct {
	Configuration int64 `json:"c"`
	Endpoints     int64 `json:"e"`
}

func (e *Entry) digest() []byte {
	if !e.hasJoined() {
		return nil
	}
	b, err := json.Marshal(digest{e.configuration.Latest(), e.endpoints.Latest()})
	if err != nil {
		return nil
	}
	return b
}

// observer hands on what the probes bring.
type observer struct{ entry *Entry }

// PeerVersion implements member.Observer; the digest tells more.
func (o *observer) PeerVersion(string, int64) {}

// PeerDigest implements member.Observer.
func (o *observer) PeerDigest(vm string, b []byte) {
	var d digest
	if err := json.Unmarshal(b, &d); err != nil {
		o.entry.log.Emit(event.DigestUnreadable{Member: vm, Reason: err.Error()})
		return
	}
	if !o.entry.hasJoined() {
		return
	}
	o.pull(vm, o.entry.configuration, d.Configuration)
	o.pull(vm, o.entry.endpoints, d.Endpoints)
}

// pull asks a VM for rows that this one lacks, unless they come by themselves.
func (o *observer) pull(vm string, f *mirror.Follower, latest int64) {
	if latest <= f.Latest() {
		return
	}
	time.AfterFunc(pullDelay, func() {
		address, live := o.entry.addressOf(vm)
		if latest > f.Latest() && live {
			f.Pull(context.Background(), address)
		}
	})
}

// EndpointLeaves implements member.Observer; the registry tells it.
func (o *observer) EndpointLeaves(membership.Mark) {}

// ListedLeaving implements member.Observer; the store's list has none.
func (o *observer) ListedLeaving(string) {}

// MembersChanged implements member.Observer.
func (o *observer) MembersChanged() {
	if o.entry.hasJoined() {
		o.entry.tellMembers()
	}
}

// hasJoined reports whether the members and what follows them stand.
func (e *Entry) hasJoined() bool {
	select {
	case <-e.joined:
		return true
	default:
		return false
	}
}

// tellMembers hands on who lives, and who of them leaves.
func (e *Entry) tellMembers() {
	var live, staying []coordination.Member
	for _, r := range e.members.service.Records() {
		if r.Status == membership.StatusDead {
			continue
		}
		m := coordination.Member{VM: r.ID, Address: r.Address, Incarnation: r.Incarnation, Leaving: r.Leaving}
		live = append(live, m)
		if !m.Leaving {
			staying = append(staying, m)
		}
	}
	e.parts.Coordinator.SetMembers(live)
	e.watchers.set(staying)
}

func (e *Entry) addressOf(vm string) (string, bool) {
	for _, r := range e.members.service.Live() {
		if r.ID == vm {
			return r.Address, true
		}
	}
	return "", false
}
