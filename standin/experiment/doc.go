// Package experiment compares placement policies in a discrete-event
// simulation. The decisions of core/placement and of simple baselines handle
// the same arrivals on the same engines, which use the stand-in's engine model.
// The simulation is deliberately small: no network, no processes, one service.
// A run's result depends only on its Cell.
package experiment
