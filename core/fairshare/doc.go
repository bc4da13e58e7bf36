// Package fairshare counts the work that organisations have received from a service in a
// decaying window, and tells which of them have received more than their share of it. It
// has no clock of its own and does no I/O.
package fairshare
