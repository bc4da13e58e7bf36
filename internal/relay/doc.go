// Package relay carries requests to endpoints through another VM, for VMs whose own paths to
// them are lost. The VM that has the caller (the client here) asks another VM (the server) to
// open a connection to an endpoint, and exchanges the request and its response over it byte for
// byte. There is one hop at most: a server opens connections of its own only.
package relay
