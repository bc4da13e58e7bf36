// Package breaker implements circuit breakers, which exclude endpoints after
// failures.
//
// Each Breaker tracks one endpoint by the state chart endpoint.json.
// Consecutive failures open the breaker for a jittered time that doubles with
// each trip. Then a small share of the requests may send one probe at a time,
// so that many VMs don't return to the endpoint simultaneously; each success
// doubles the share until all requests are admitted.
package breaker
