// Package shutdown decides the times of a planned stop of a VM.
package shutdown

import "time"

const (
	// unreadyDetection is how long the balancer takes to stop sending connections to a VM
	// that is not ready: it checks once a second and acts on the second failed check.
	unreadyDetection = 2200 * time.Millisecond
	// MaxAccept is how long connections are accepted after that, at most.
	MaxAccept = 300 * time.Millisecond
	// lateMargin is the time after that in which requests on the connections that were
	// accepted last are still taken.
	lateMargin = 250 * time.Millisecond
	// answerMargin, breakMargin and exitMargin are the times before the end of the grace
	// period. The requests without a response are answered first, while the process surely
	// still runs; responses in progress are left as much of the time as possible.
	answerMargin = 250 * time.Millisecond
	breakMargin  = 120 * time.Millisecond
	exitMargin   = 100 * time.Millisecond
	// fullGrace is the shortest grace period that has room for these times. They are scaled
	// down for a shorter one.
	fullGrace = 4 * time.Second
)

// Plan has the times of a planned stop, in their order.
type Plan struct {
	// Began is the begin of the stop.
	Began time.Time
	// Unready is when the balancer is expected to send no more connections. Until then the VM
	// accepts them; afterwards it closes the idle ones.
	Unready time.Time
	// Late is when the VM ceases to take requests that must not be cut: streams, and calls
	// that may run only once. No forecast rules out that an endpoint takes longer than usual.
	Late time.Time
	// Answer is when the requests without a response are answered by a failure.
	Answer time.Time
	// Break is when the responses in progress are broken off.
	Break time.Time
	// Exit is when the process ends.
	Exit time.Time
}

// NewPlan returns the plan of a stop that begins now, for the grace period.
func NewPlan(now time.Time, grace time.Duration) Plan {
	scale := min(1, float64(grace)/float64(fullGrace))
	after := func(d time.Duration) time.Time { return now.Add(time.Duration(scale * float64(d))) }
	before := func(d time.Duration) time.Time { return now.Add(grace - time.Duration(scale*float64(d))) }
	return Plan{
		Began:   now,
		Unready: after(unreadyDetection),
		Late:    after(unreadyDetection + MaxAccept + lateMargin),
		Answer:  before(answerMargin),
		Break:   before(breakMargin),
		Exit:    before(exitMargin),
	}
}
