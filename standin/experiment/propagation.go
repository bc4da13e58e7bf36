package experiment

import (
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// sampleLoads records the engines' loads, so that they can be reported with a
// lag.
func (r *run) sampleLoads() {
	for _, n := range r.nodes {
		if n.dead {
			continue
		}
		report := n.model.Load()
		report.AtMs = r.wallTime().UnixMilli()
		report.PrefillRate = n.reportedRate
		n.samples = append(n.samples, sample{r.now, report})
		for len(n.samples) > 1 && n.samples[1].at <= r.now-r.cell.Lag {
			n.samples = n.samples[1:]
		}
	}
}

// deliverReports delivers the lagging load reports to every VM.
func (r *run) deliverReports() {
	for _, p := range r.vms {
		for _, n := range r.nodes {
			if !n.dead && len(n.samples) > 0 {
				p.applyReport(r.wallTime(), n.index, n.samples[0].report)
			}
		}
	}
}

// deliverCacheEvents delivers cache events to every VM, with a delay and with
// gaps.
func (r *run) deliverCacheEvents() {
	delay := max(minCacheEventDelay, r.cell.Lag)
	for _, p := range r.vms {
		for _, n := range r.nodes {
			if n.dead {
				continue
			}
			events := wire.CacheEvents{Events: n.model.CacheEvents(p.lastCacheSequence(n.index))}
			if k := len(events.Events); k > 0 && r.rng.Float64() < cacheEventLoss {
				i := r.rng.IntN(k)
				events.Events = append(append([]wire.CacheEvent{}, events.Events[:i]...), events.Events[i+1:]...)
			}
			r.schedule(r.now+delay, func() { p.applyCacheEvents(r.wallTime(), n.index, events) })
		}
	}
}

// sendNotices sends the VM's notices to its peers.
func (r *run) sendNotices(vm int) {
	d := r.vms[vm].takeNotices()
	if len(d) == 0 || r.cell.NoDigests || len(r.vms) == 1 {
		return
	}
	if r.cell.NoNotices {
		r.delayedNotices[vm] = append(r.delayedNotices[vm], d...)
		return
	}
	r.schedule(r.now+peerLatency, func() { r.deliverToPeers(vm, d) })
}

// deliverToPeers applies a VM's records at its peers.
func (r *run) deliverToPeers(from int, d []sendRecord) {
	for i, to := range r.vms {
		if i != from {
			to.applyPeerSends(d)
		}
	}
}

// exchangeDigests delivers each VM's digest to its peers.
func (r *run) exchangeDigests() {
	for i, from := range r.vms {
		r.deliverToPeers(i, append(from.takeDigest(), r.delayedNotices[i]...))
		r.delayedNotices[i] = nil
	}
}
