// Package routing indexes one version of a deployment's configuration for
// request handling: which route a host and path select, which service serves a
// request, and which organisation an API key belongs to.
//
// A Table is immutable. The package is pure.
package routing
