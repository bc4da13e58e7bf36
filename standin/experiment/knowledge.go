package experiment

import (
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// sampleAll remembers the engines' loads, so that they can be told late.
func (r *run) sampleAll() {
	for _, n := range r.nodes {
		if n.dead {
			continue
		}
		report := n.model.Load()
		report.AtMs = r.wall().UnixMilli()
		report.PrefillRate = n.nominal
		n.samples = append(n.samples, sample{r.now, report})
		for len(n.samples) > 1 && n.samples[1].at <= r.now-r.cell.Lag {
			n.samples = n.samples[1:]
		}
	}
}

// poll gives every VM the load reports.
func (r *run) poll() {
	for _, p := range r.vms {
		for _, n := range r.nodes {
			if !n.dead && len(n.samples) > 0 {
				p.report(r.wall(), n.index, n.samples[0].report)
			}
		}
	}
}

// pollCaches gives every VM the cache events, late and with gaps.
func (r *run) pollCaches() {
	delay := max(cacheDelay, r.cell.Lag)
	for _, p := range r.vms {
		for _, n := range r.nodes {
			if n.dead {
				continue
			}
			events := wire.CacheEvents{Events: n.model.CacheEvents(p.cacheSequence(n.index))}
			if k := len(events.Events); k > 0 && r.rng.Float64() < cacheGap {
				i := r.rng.IntN(k)
				events.Events = append(append([]wire.CacheEvent{}, events.Events[:i]...), events.Events[i+1:]...)
			}
			r.at(r.now+delay, func() { p.cacheEvents(r.wall(), n.index, events) })
		}
	}
}

// notify sends the VM's notices to its peers.
func (r *run) notify(vm int) {
	d := r.vms[vm].notices()
	if len(d) == 0 || r.cell.NoDigests || len(r.vms) == 1 {
		return
	}
	if r.cell.NoNotices {
		r.late[vm] = append(r.late[vm], d...)
		return
	}
	r.at(r.now+peerDelay, func() { r.tell(vm, d) })
}

// tell hands a digest to the VM's peers.
func (r *run) tell(from int, d []sentDigest) {
	for i, to := range r.vms {
		if i != from {
			to.peer(d)
		}
	}
}

// gossip hands the VMs' digests to their peers.
func (r *run) gossip() {
	for i, from := range r.vms {
		r.tell(i, append(from.digest(), r.late[i]...))
		r.late[i] = nil
	}
}
