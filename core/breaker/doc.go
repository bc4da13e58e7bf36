// Package breaker decides which endpoints get no work after failures.
//
// One Breaker follows one endpoint through the chart endpoint.json. Consecutive
// failures open it for a time that doubles with each trip and is jittered.
// Then one probe at a time goes there, from a small share of the requests only,
// so that many VMs don't all come back at once; each success doubles the share
// until all may go.
package breaker
