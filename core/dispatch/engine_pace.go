package dispatch

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/engine"
	"cornelsaddle.example/cornelsaddle/core/workcost"
)

const (
	// slowStep is the step by which the cost model of a slow engine is scaled. There is just one, as
	// each change rebuilds the engine's model, in which pending prefills start over. An engine is slow
	// from the pace slowFrom until it falls below slowUntil. With even engines near their capacity the
	// errors of the model are read as paces of up to 2.3; from 3, engines that are five times slower
	// are noticed too late to gain anything.
	slowStep            = 4
	slowFrom, slowUntil = 2.5, 1.5
	// slowEvidence is the evidence from which an engine counts as slow.
	slowEvidence = 3
	// minFirstEvent is added to a time to the first event and to its prediction: a pass more or
	// less says nothing of the pace.
	minFirstEvent = 50 * time.Millisecond
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
	predicted := p.predicted.Sub(p.placedAt)/time.Duration(max(1, p.engineStep)) + minFirstEvent
	ratio := float64(now.Sub(p.placedAt)+minFirstEvent) / float64(predicted)
	d.costs.Observe(now, workcost.Observation{
		Kind: workcost.Kind{Service: p.Service}, Endpoint: e.ID, Incarnation: e.Started, Took: time.Duration(ratio * float64(time.Second)),
	})
	d.setStep(now, e)
}

// setStep sets the step of an engine's pace, and rebuilds its model if that has changed.
func (d *Dispatcher) setStep(now time.Time, e *endpoint) {
	pace, step := d.costs.Pace(now, e.ID), max(1, e.slowStep)
	switch {
	case step == 1 && pace.Factor >= slowFrom && pace.Evidence >= slowEvidence:
		e.slowStep = slowStep
		d.costs.slow[e.ID] = true
	case step > 1 && pace.Factor < slowUntil:
		e.slowStep = 1
	default:
		return
	}
	d.setEngine(now, e)
}

// refreshSteps reads the paces of slow engines again, as they change with time.
func (d *Dispatcher) refreshSteps(now time.Time) {
	if len(d.costs.slow) == 0 || now.Sub(d.costs.stepsAt) < paceInterval {
		return
	}
	d.costs.stepsAt = now
	for id := range d.costs.slow {
		e := d.endpoints[id]
		if e != nil {
			d.setStep(now, e)
		}
		if e == nil || e.slowStep <= 1 {
			delete(d.costs.slow, id)
		}
	}
}

// engineOf returns the cost model of an endpoint: that of its service, scaled by the step of its
// pace; nil for a plain service.
func (d *Dispatcher) engineOf(e *endpoint) *engine.CostModel {
	f := d.services[e.Service]
	if f == nil || e.slowStep <= 1 {
		return f
	}
	scaled := *f
	factor := float64(e.slowStep)
	scaled.StepMs *= factor
	scaled.PerSequenceMs *= factor
	scaled.ContextPer1kMs *= factor
	scaled.PairsPerMillionMs *= factor
	scaled.PrefillTokensPerMs /= factor
	return &scaled
}
