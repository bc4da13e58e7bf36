// Package workcost learns from served requests how long a kind of request takes at an
// endpoint of usual speed, and how much slower than usual each endpoint is.
//
// The model is additive in log space: the logarithm of the time that a request takes is the
// cost of its kind plus the pace of its endpoint. Both are followed in steps. A residual is
// clipped, so that a single request that takes much longer moves neither; consecutive
// residuals to the same side are taken for a change and clipped less each time. Evidence
// decays with time, and with it the weight of what was learned.
//
// An Estimator reads no clock and is not safe for concurrent use. Its state is soft: without
// evidence it returns no estimate.
package workcost
