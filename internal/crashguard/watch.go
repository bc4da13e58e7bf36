package crashguard

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/quarantine"
)

// Watch is what senders of requests need of a Guard.
type Watch interface {
	// Withheld returns for how long the request with the digest is withheld; zero if it is
	// not.
	Withheld(service, digest string) time.Duration
	// Sent records a request that is sent to its endpoint, Began the first event of its
	// answer, and Ended its end.
	Sent(r Request)
	Began(id string)
	Ended(id, service, digest string, end quarantine.End)
}

// None is a Watch that withholds nothing.
type None struct{}

// Withheld implements Watch.
func (None) Withheld(string, string) time.Duration { return 0 }

// Sent implements Watch.
func (None) Sent(Request) {}

// Began implements Watch.
func (None) Began(string) {}

// Ended implements Watch.
func (None) Ended(string, string, string, quarantine.End) {}
