// Package upstream is an HTTP client for requests to endpoints, with its own
// connection pool. It never retries a request, never follows a redirect, adds no
// headers beyond Host and Content-Length, and states for each failure whether the
// request may have reached the endpoint.
package upstream
