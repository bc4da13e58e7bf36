package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/core/reach"
	"cornelsaddle.example/cornelsaddle/internal/coordination"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/member"
	"cornelsaddle.example/cornelsaddle/internal/mirror"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// pullDelay is how long a VM waits for rows to arrive through its follower before
// it pulls them from the VM that announced them.
const pullDelay = 150 * time.Millisecond

// markSweepInterval is the time between two removals of marks that are not needed.
const markSweepInterval = 30 * time.Second

// digest is the data that VMs attach to their membership probes: for each topic's
// copy, the version and the epoch of its newest row, and the number of rows that it
// keeps from earlier epochs, and whether the VM is cut off. VMs that don't know epochs send the versions only.
type digest struct {
	Configuration      int64 `json:"c"`
	Endpoints          int64 `json:"e"`
	ConfigurationEpoch int64 `json:"ce,omitempty"`
	EndpointsEpoch     int64 `json:"ee,omitempty"`
	ConfigurationKept  int   `json:"ck,omitempty"`
	EndpointsKept      int   `json:"ek,omitempty"`
	// CutOff is set if the VM reaches no endpoint, so that it can't relay requests of others.
	CutOff bool `json:"x,omitempty"`
}

// digest returns this VM's encoded digest, or nil before it has joined.
func (v *VM) digest() []byte {
	if !v.hasJoined() {
		return nil
	}
	configuration, endpoints := v.configuration.Latest(), v.endpoints.Latest()
	b, err := json.Marshal(digest{
		Configuration: configuration.Version, ConfigurationEpoch: configuration.Epoch, ConfigurationKept: v.configuration.Kept(),
		Endpoints: endpoints.Version, EndpointsEpoch: endpoints.Epoch, EndpointsKept: v.endpoints.Kept(),
		CutOff: v.components.Transport.CutOff(),
	})
	if err != nil {
		return nil
	}
	return b
}

// observer handles the events of the membership service.
type observer struct{ vm *VM }

// PeerVersion implements member.Observer. It does nothing, because the digest has
// the versions of both topics.
func (o *observer) PeerVersion(string, int64) {}

// PeerDigest implements member.Observer. It pulls the rows that the other VM has
// and this one lacks.
func (o *observer) PeerDigest(vm string, b []byte) {
	var d digest
	if err := json.Unmarshal(b, &d); err != nil {
		o.vm.log.Emit(event.DigestUnreadable{Member: vm, Reason: err.Error()})
		return
	}
	if !o.vm.hasJoined() {
		return
	}
	o.vm.components.Relays.SetCutOff(vm, d.CutOff)
	o.pull(vm, o.vm.configuration, provider.Revision{Epoch: d.ConfigurationEpoch, Version: d.Configuration}, d.ConfigurationKept)
	o.pull(vm, o.vm.endpoints, provider.Revision{Epoch: d.EndpointsEpoch, Version: d.Endpoints}, d.EndpointsKept)
}

// pull fetches rows from a VM that has newer ones, or keeps more of earlier epochs,
// unless they arrive within pullDelay.
func (o *observer) pull(vm string, f *mirror.Follower, latest provider.Revision, kept int) {
	behind := func() bool { return latest.Compare(f.Latest()) > 0 || kept > f.Kept() }
	if !behind() {
		return
	}
	time.AfterFunc(pullDelay, func() {
		address, live := o.vm.addressOf(vm)
		if live && behind() {
			f.Pull(context.Background(), address)
		}
	})
}

// EndpointMarked implements member.Observer. It stops the use of an endpoint that has
// told another VM that it leaves.
func (o *observer) EndpointMarked(m membership.Mark) {
	i, err := markedIncarnation(m)
	if err != nil {
		o.vm.log.Emit(event.EntryUnreadable{Endpoint: m.Endpoint, Reason: err.Error()})
		return
	}
	o.vm.components.Registry.markLeaving(i, sourcePeer)
}

// announceLeaving tells the other VMs that an endpoint leaves.
func (v *VM) announceLeaving(i directory.Incarnation) {
	if v.hasJoined() {
		v.members.service.MarkEndpoint(mark(i))
	}
}

// mark returns the mark by which VMs tell each other that the incarnation leaves.
func mark(i directory.Incarnation) membership.Mark {
	return membership.Mark{Endpoint: i.ID, Incarnation: strconv.FormatInt(i.Started, 10)}
}

// markedIncarnation is the inverse of mark.
func markedIncarnation(m membership.Mark) (directory.Incarnation, error) {
	started, err := strconv.ParseInt(m.Incarnation, 10, 64)
	return directory.Incarnation{ID: m.Endpoint, Started: started}, errors.WithStack(err)
}

// dropMarks drops the marks of endpoints that are no longer listed.
func (v *VM) dropMarks() {
	v.members.service.RetainMarks(func(m membership.Mark) bool {
		i, err := markedIncarnation(m)
		return err == nil && v.components.Registry.lists(i)
	})
}

// NoteChanged implements member.Observer. It applies a verdict.
func (o *observer) NoteChanged(n membership.Note) {
	if v, ok := member.ReadVerdict(n, o.vm.log); ok {
		o.vm.components.Coordinator.ApplyVerdict(v)
	}
}

// ListedLeaving implements member.Observer. It does nothing, because the store's
// list marks no VM as leaving.
func (o *observer) ListedLeaving(string) {}

// MembersChanged implements member.Observer. It passes the new members on.
func (o *observer) MembersChanged() {
	if o.vm.hasJoined() {
		o.vm.updateMembers()
	}
}

// hasJoined reports whether members, configuration and endpoints are set.
func (v *VM) hasJoined() bool {
	select {
	case <-v.joined:
		return true
	default:
		return false
	}
}

// updateMembers passes the live VMs to the coordinator, which needs the leaving ones
// as well, and those that are not leaving to the watchers. Soon after the start, listed
// VMs of which nothing else is known count as live. If this VM was taken for dead, its jobs
// are sent to their holders again.
func (v *VM) updateMembers() {
	var live []coordination.Member
	var staying []liveVM
	complete := v.listed.read()
	known := make(map[string]bool)
	for _, r := range v.members.service.Records() {
		known[r.ID] = true
		if r.ID == v.settings.VM && v.members.refuted(r.Refutations) {
			defer v.components.Coordinator.Resend()
		}
		if r.Status == membership.StatusDead {
			continue
		}
		m := coordination.Member{VM: r.ID, Address: r.Address, Incarnation: r.Incarnation, Leaving: r.Leaving}
		live = append(live, m)
		if !m.Leaving {
			staying = append(staying, liveVM{r.ID, r.Address, r.FailureDomain})
		}
	}
	for _, m := range v.listed.trusted(known) {
		live = append(live, coordination.Member{VM: m.name, Address: m.address})
		staying = append(staying, m)
	}
	v.components.Coordinator.SetMembers(live)
	v.watchers.set(staying, complete)
	v.components.Relays.SetVMs(relaysAmong(staying, v.settings.VM))
}

// relaysAmong returns the VMs that may relay requests of the VM self.
func relaysAmong(vms []liveVM, self string) []reach.Relay {
	relays := make([]reach.Relay, 0, len(vms))
	for _, m := range vms {
		if m.name != self {
			relays = append(relays, reach.Relay{VM: m.name, Address: m.address, Domain: m.domain})
		}
	}
	return relays
}

// addressOf returns the peer address of a live VM.
func (v *VM) addressOf(vm string) (string, bool) {
	for _, r := range v.members.service.Live() {
		if r.ID == vm {
			return r.Address, true
		}
	}
	return "", false
}
