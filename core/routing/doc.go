// Package routing holds one version of a deployment's configuration in the
// form in which requests are judged by it: which route a host and path select,
// which service serves it, and which organisation holds a key.
//
// A Table is immutable. The package is pure.
package routing
