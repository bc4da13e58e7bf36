package upstream

import (
	"sync"
	"time"
)

// maxIdlePerEndpoint bounds the idle connections to one address.
const maxIdlePerEndpoint = 16

// pool is a pool of idle connections, by address.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// take removes and returns the most recently used connection to the address
// that is still usable, or nil. It closes the unusable ones that it finds.
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

// put adds an idle connection, or closes it if the pool is closed or has too
// many for its address.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.path.Address]
	if p.closed || len(list) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	p.idle[c.path.Address] = append(list, c)
}

// closeExpired closes the connections whose idle time has expired.
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
