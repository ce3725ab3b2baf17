package csfake

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// Proxy forwards TCP connections on loopback and can cut or silence them.
type Proxy struct {
	listener net.Listener
	target   string

	mutex  sync.Mutex
	cut    bool
	conns  map[*proxyConn]struct{}
	closed bool
	done   sync.WaitGroup
}

type proxyConn struct {
	client, server net.Conn
	silent         chan struct{} // closed when nothing is forwarded any more
	once           sync.Once
}

func (c *proxyConn) silence() { c.once.Do(func() { close(c.silent) }) }

func (c *proxyConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// NewProxy starts a proxy on 127.0.0.1 with a port chosen by the system.
func NewProxy(target string) (*Proxy, error) {
	listen := net.ListenConfig{}
	listener, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Proxy{listener: listener, target: target, conns: map[*proxyConn]struct{}{}}
	p.done.Go(p.accept)
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Cut stops forwarding on open connections without closing them and refuses new ones, as a partition does.
func (p *Proxy) Cut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = true
	for c := range p.conns {
		c.silence()
	}
}

// Heal admits new connections. Connections from before a cut stay silent.
func (p *Proxy) Heal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = false
}

// Silence stops forwarding on the connections that are open now, while new ones work.
func (p *Proxy) Silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		c.silence()
	}
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	p.mutex.Lock()
	p.closed = true
	for c := range p.conns {
		c.close()
	}
	p.mutex.Unlock()
	_ = p.listener.Close()
	p.done.Wait()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.done.Go(func() { p.connect(client) })
	}
}

func (p *Proxy) connect(client net.Conn) {
	dialer := net.Dialer{}
	server, err := dialer.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxyConn{client: client, server: server, silent: make(chan struct{})}
	if !p.admit(c) {
		c.close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.copy(server, client) })
	both.Go(func() { c.copy(client, server) })
	both.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) admit(c *proxyConn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.cut {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// copy forwards until an end closes. A silent connection reads and drops, so that it stays open.
func (c *proxyConn) copy(to, from net.Conn) {
	defer c.close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silent:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
