package main

import (
	"io"
	"net/http"
	"sync"

	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

// links are the paths of one VM to the endpoints.
type links struct {
	mu        sync.Mutex
	byAddress map[string]*platformtest.Link
	// cut has the states of the links that are not up, by the endpoints' addresses; all is that
	// of the others.
	cut map[string]platformtest.LinkState
	all platformtest.LinkState
}

func newLinks() *links {
	return &links{byAddress: make(map[string]*platformtest.Link), cut: make(map[string]platformtest.LinkState)}
}

// ServeHTTP implements http.Handler: it answers with the address of the link to an endpoint.
func (l *links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get("address")
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.byAddress[address]
	if link == nil {
		var err error
		if link, err = platformtest.NewLink(address); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		l.byAddress[address] = link
		if link.Set(l.stateOf(address)) != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	// The VM is gone if this fails.
	_, _ = io.WriteString(w, link.Address())
}

func (l *links) stateOf(address string) platformtest.LinkState {
	if state, found := l.cut[address]; found {
		return state
	}
	return l.all
}

// set changes the state of the links to the endpoints at the addresses, or of all if there are
// none, also of those to endpoints that join later.
func (l *links) set(state platformtest.LinkState, addresses []string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(addresses) == 0 {
		l.all = state
	}
	for _, a := range addresses {
		l.cut[a] = state
	}
	return l.apply()
}

// heal makes all links work.
func (l *links) heal() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = platformtest.LinkUp
	clear(l.cut)
	return l.apply()
}

func (l *links) apply() error {
	for address, link := range l.byAddress {
		if err := link.Set(l.stateOf(address)); err != nil {
			return err //nolint:wrapcheck // it has a stack
		}
	}
	return nil
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.byAddress {
		link.Close()
	}
}
