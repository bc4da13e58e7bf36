// Package upstream sends requests to endpoints over connections of its own. It
// never sends a request twice by itself, never follows a redirect, adds no
// header, and says of each failure whether the request may have reached the
// endpoint.
package upstream
