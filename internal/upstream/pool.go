package upstream

import (
	"sync"
	"time"
)

// maxIdlePerEndpoint bounds the connections that are kept to one address.
const maxIdlePerEndpoint = 16

// pool keeps idle connections by address.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// take returns the connection to the address that was used last and is still
// good, or nil.
func (p *pool) take(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.idleUntil) && c.usable() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection until it may not be used any more.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// closeExpired closes the connections that may not be used any more.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}
