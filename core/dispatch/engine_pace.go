package dispatch

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
	"cornelsaddle.example/cornelsaddle/core/workcost"
)

const (
	// slowModelScale is the factor by which the cost model of a slow engine is scaled. There is just
	// one, as each change rebuilds the engine's model, in which pending prefills start over.
	slowModelScale = 4
	// An engine counts as slow from the pace slowFrom until it falls below slowUntil. Errors of the
	// model near the capacity look like paces of up to 2.3, and from 3 slow engines are detected too
	// late.
	slowFrom, slowUntil = 2.5, 1.5
	// slowEvidence is the evidence from which an engine counts as slow.
	slowEvidence = 3
	// firstEventMargin is added to the time to a first event and to its prediction before their ratio
	// is taken, so that one decode pass more or less hardly changes it.
	firstEventMargin = 50 * time.Millisecond
	// maxAdoptionAge is the time since the placement up to which the prediction of an adopted
	// job holds.
	maxAdoptionAge = 50 * time.Millisecond
)

// observeFirstEvent learns the pace of an engine from the time to the first event of a prompt that it
// has prefilled alone, against its prediction.
func (d *Dispatcher) observeFirstEvent(now time.Time, p *placedJob) {
	if d.costs == nil || p.ageUnknown || d.services[p.Service] == nil || len(p.Helpers) > 0 {
		return
	}
	e := d.endpoints[p.Endpoint]
	if e == nil || p.Predicted <= 0 {
		return
	}
	predicted := p.predicted.Sub(p.placedAt)/time.Duration(max(1, p.modelScale)) + firstEventMargin
	ratio := float64(now.Sub(p.placedAt)+firstEventMargin) / float64(predicted)
	d.costs.Observe(now, workcost.Observation{
		Kind: workcost.Kind{Service: p.Service}, Endpoint: e.ID, Incarnation: e.Started, Took: time.Duration(ratio * float64(time.Second)),
		VM: d.otherVM(p.Owner),
	})
	d.updateModelScale(now, e)
}

// updateModelScale sets the factor by which an engine's cost model is scaled from its pace, and rebuilds the
// model if that has changed.
func (d *Dispatcher) updateModelScale(now time.Time, e *endpoint) {
	pace, scale := d.costs.Pace(now, e.ID), max(1, e.modelScale)
	switch {
	case scale == 1 && pace.Factor >= slowFrom && pace.Evidence >= slowEvidence:
		e.modelScale = slowModelScale
		d.costs.slow[e.ID] = true
	case scale > 1 && pace.Factor < slowUntil:
		e.modelScale = 1
	default:
		return
	}
	d.setEngine(now, e)
}

// refreshModelScales reads the paces of slow engines again, as they change with time.
func (d *Dispatcher) refreshModelScales(now time.Time) {
	if len(d.costs.slow) == 0 || now.Sub(d.costs.scalesReadAt) < paceInterval {
		return
	}
	d.costs.scalesReadAt = now
	for id := range d.costs.slow {
		e := d.endpoints[id]
		if e != nil {
			d.updateModelScale(now, e)
		}
		if e == nil || e.modelScale <= 1 {
			delete(d.costs.slow, id)
		}
	}
}

// engineOf returns the cost model of an endpoint: that of its service, with its times scaled
// if the engine is slow; nil for a plain service.
func (d *Dispatcher) engineOf(e *endpoint) *engine.CostModel {
	f := d.services[e.Service]
	if f == nil || e.modelScale <= 1 {
		return f
	}
	scaled := *f
	factor := float64(e.modelScale)
	scaled.StepMs *= factor
	scaled.PerSequenceMs *= factor
	scaled.ContextPer1kMs *= factor
	scaled.PairsPerMillionMs *= factor
	scaled.PrefillTokensPerMs /= factor
	return &scaled
}
