package reach

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRelays bounds the VMs that are asked to relay one request.
	maxRelays = 3
	// minRelayBackoff is how long a VM is asked last that could not relay; it doubles with
	// each further time, up to maxRelayBackoff.
	minRelayBackoff = 500 * time.Millisecond
	maxRelayBackoff = 8 * time.Second
)

// Relay is a VM that may relay requests to endpoints.
type Relay struct {
	VM      string
	Address string
	Domain  string
}

// relayState is what is known of a VM as a relay.
type relayState struct {
	backoff time.Duration
	until   time.Time
}

// Relays chooses the VMs that relay this VM's requests. It is not safe for concurrent use.
type Relays struct {
	domain string
	vms    []Relay
	states map[string]relayState
	// cutOff are the VMs that say that their own paths to endpoints are lost.
	cutOff map[string]bool
}

// NewRelays returns Relays without VMs, for a VM of the failure domain.
func NewRelays(domain string) *Relays {
	return &Relays{domain: domain, states: make(map[string]relayState), cutOff: make(map[string]bool)}
}

// Set replaces the VMs that may relay.
func (r *Relays) Set(vms []Relay) {
	r.vms = vms
	known := make(map[string]bool, len(vms))
	for _, vm := range vms {
		known[vm.VM] = true
	}
	for vm := range r.states {
		if !known[vm] {
			delete(r.states, vm)
		}
	}
	for vm := range r.cutOff {
		if !known[vm] {
			delete(r.cutOff, vm)
		}
	}
}

// SetCutOff records whether a VM says that its own paths to endpoints are lost.
func (r *Relays) SetCutOff(vm string, cutOff bool) {
	if !cutOff {
		delete(r.cutOff, vm)
		return
	}
	r.cutOff[vm] = true
}

// Choose returns the VMs to ask for a request to an endpoint of the failure domain, best
// first. Those that could not relay lately, or are cut off themselves, come last; else those of this VM's
// or of the endpoint's failure domain come first, so that the bytes pass between failure domains only once. random
// returns random numbers from 0 to 1, which spread the requests over equal VMs.
func (r *Relays) Choose(now time.Time, endpointDomain string, random func() float64) []Relay {
	type candidate struct {
		Relay
		rank   int
		random float64
	}
	candidates := make([]candidate, 0, len(r.vms))
	for _, vm := range r.vms {
		c := candidate{Relay: vm, random: random()}
		if vm.Domain != r.domain && vm.Domain != endpointDomain {
			c.rank++
		}
		if r.cutOff[vm.VM] || now.Before(r.states[vm.VM].until) {
			c.rank += 2
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.random, b.random))
	})
	chosen := make([]Relay, 0, maxRelays)
	for _, c := range candidates[:min(len(candidates), maxRelays)] {
		chosen = append(chosen, c.Relay)
	}
	return chosen
}

// Succeeded records that a VM has relayed a request.
func (r *Relays) Succeeded(vm string) { delete(r.states, vm) }

// Failed records that a VM could not relay a request.
func (r *Relays) Failed(now time.Time, vm string) {
	s := r.states[vm]
	if now.Before(s.until) {
		return
	}
	s.backoff = min(max(minRelayBackoff, 2*s.backoff), maxRelayBackoff)
	s.until = now.Add(s.backoff)
	r.states[vm] = s
}
