package dispatch

import "time"

// Cold describes the time after a start during which an endpoint bears fewer requests.
type Cold struct {
	// For is how long an endpoint of the service is cold after its start; zero for never.
	For time.Duration
	// PerSecond is the number of requests that a cold endpoint bears in a second.
	PerSecond float64
}

// cool makes the endpoint cold until the time, unless it is cold for longer.
func (e *endpoint) cool(until time.Time) {
	if until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// cold reports whether the endpoint of a service is cold and bears fewer requests.
func (e *endpoint) cold(now time.Time, c Cold) bool {
	return c.PerSecond > 0 && now.Before(e.coldUntil)
}
