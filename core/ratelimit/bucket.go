// Package ratelimit bounds the rate of the requests that an endpoint gets: as long as it is
// cold, or names a limit in its responses. The package is pure.
package ratelimit

import "time"

const (
	// burstShare is the share of a second's requests that an endpoint with a bounded rate
	// may get at once, beside the first one.
	burstShare = 0.25
	// MinPerSecond is the lowest rate, in requests per second, at which an endpoint gets
	// requests whatever limit it names: only its responses can tell that the limit has
	// ended.
	MinPerSecond = 0.1
	// maxTime bounds the times that follow from rates.
	maxTime = time.Hour
)

// Bucket is a token bucket that admits requests at a rate, which may be another one at each
// call. It is not safe for concurrent use.
type Bucket struct {
	// tokens is the number of requests that may be admitted at the time updated.
	tokens  float64
	updated time.Time
}

// refill adds the requests that have become admissible since the last call.
func (b *Bucket) refill(now time.Time, perSecond float64) {
	b.tokens = min(1+burstShare*perSecond, b.tokens+max(0, now.Sub(b.updated).Seconds())*perSecond)
	b.updated = now
}

// Admits reports whether a request may be admitted now.
func (b *Bucket) Admits(now time.Time, perSecond float64) bool {
	b.refill(now, perSecond)
	return b.tokens >= 1
}

// Take counts a request that is admitted.
func (b *Bucket) Take(now time.Time, perSecond float64) {
	b.refill(now, perSecond)
	b.tokens--
}

// Next returns the time until a request may be admitted.
func (b *Bucket) Next(now time.Time, perSecond float64) time.Duration {
	b.refill(now, perSecond)
	return TimeOf(max(0, 1-b.tokens), perSecond)
}

// Empty lets the next request be admitted only after the time of a whole one.
func (b *Bucket) Empty(now time.Time) {
	b.tokens, b.updated = min(0, b.tokens), now
}

// TimeOf returns the time in which so many requests are admitted at a rate.
func TimeOf(requests, perSecond float64) time.Duration {
	return time.Duration(min(requests/perSecond, maxTime.Seconds()) * float64(time.Second))
}
