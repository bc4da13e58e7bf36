package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// linkFault is a way in which the link behind a proxy misbehaves.
type linkFault struct {
	// Delay is added to each read in both directions.
	Delay time.Duration
	// Silent drops all bytes in both directions, without a reset; OneWay those to the
	// caller only.
	Silent, OneWay bool
	// Reset resets the open connections and all new ones.
	Reset bool
}

// proxy passes connections to a target over loopback, with faults.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f.Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// close ends all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(near net.Conn) {
	if p.currentFault().Reset {
		reset(near)
		return
	}
	far, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	p.track(near, far)
	defer p.untrack(near, far)
	done := make(chan struct{}, 2)
	go p.copy(far, near, false, done)
	go p.copy(near, far, true, done)
	<-done
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// copy passes bytes in one direction until an end of the connection closes.
func (p *proxy) copy(to io.Writer, from io.Reader, toCaller bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		f := p.currentFault()
		time.Sleep(f.Delay)
		if n > 0 && !f.Silent && (!f.OneWay || !toCaller) {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset closes a connection without delivering what was written to it.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
