// Package experiment compares placement policies in virtual time: the decisions
// of core/placement and of simple baselines drive the same arrivals over the
// same engines, which are the stand-in's engine models. It is small on purpose:
// no network, no processes, one service. A run is a pure function of its Cell.
package experiment
