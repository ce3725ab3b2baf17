//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards the connections from one process to another until it is cut. Connections that were open during a cut stay silent
// for good, and those that are opened during a cut get no answer.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	off   bool
	pairs []*pair
}

// pair is a connection with its continuation.
type pair struct {
	mu     sync.Mutex
	silent bool
	ends   []net.Conn
}

func newProxy(at, to string) (*proxy, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		s := &pair{silent: p.off, ends: []net.Conn{c}}
		p.pairs = append(p.pairs, s)
		p.mu.Unlock()
		if s.silent {
			continue
		}
		d, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		s.mu.Lock()
		s.ends = append(s.ends, d)
		s.mu.Unlock()
		go s.copy(c, d)
		go s.copy(d, c)
	}
}

func (s *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// cut silences all connections and those to come.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.off = true
	for _, s := range p.pairs {
		s.mu.Lock()
		s.silent = true
		s.mu.Unlock()
	}
}

// heal lets new connections work. Connections to a store that were open during the cut stay silent, so that the end of the cut resets
// none of its connections; those that never reached it are closed.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.off = false
	for _, s := range p.pairs {
		s.mu.Lock()
		if s.silent && len(s.ends) == 1 {
			_ = s.ends[0].Close()
		}
		s.mu.Unlock()
	}
}

func (p *proxy) closePairs() {
	for _, s := range p.pairs {
		s.mu.Lock()
		for _, c := range s.ends {
			_ = c.Close()
		}
		s.mu.Unlock()
	}
	p.pairs = nil
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closePairs()
}
