package csproof

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Directions of a link, as seen from the node that dials.
const (
	outward = "upstream"
	inward  = "downstream"
)

// link carries the connections from one node to another. A listener with a fixed address hands each new connection to the
// current proxy, so that a proxy with silenced connections can be replaced while these stay open.
type link struct {
	t        testing.TB
	listener net.Listener
	upstream string
	server   *toxiproxy.ApiServer

	mu      sync.Mutex
	current *toxiproxy.Proxy
	all     []*toxiproxy.Proxy
}

func newLink(t testing.TB, upstream string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l := &link{t: t, listener: listener, upstream: upstream, server: server}
	l.replace()
	var done sync.WaitGroup
	done.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			done.Go(func() { l.join(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range l.all {
			p.Stop()
		}
		done.Wait()
	})
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// replace makes new connections use a new proxy.
func (l *link) replace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	proxy := toxiproxy.NewProxy(l.server, fmt.Sprintf("%s-%d", l.upstream, len(l.all)), "127.0.0.1:0", l.upstream)
	if err := proxy.Start(); err != nil {
		l.t.Error(err)
	}
	l.current = proxy
	l.all = append(l.all, proxy)
}

func (l *link) join(conn net.Conn) {
	defer conn.Close()
	l.mu.Lock()
	address := l.current.Listen
	l.mu.Unlock()
	proxied, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer proxied.Close()
	var copies sync.WaitGroup
	copies.Go(func() {
		_, _ = io.Copy(proxied, conn)
		_ = proxied.Close()
	})
	_, _ = io.Copy(conn, proxied)
	_ = conn.Close()
	copies.Wait()
}

// cut drops what flows in a direction, on open and on new connections, without closing any.
func (l *link) cut(direction string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	toxic := fmt.Sprintf(`{"name":%q,"type":"timeout","stream":%q,"attributes":{"timeout":0}}`, direction, direction)
	if _, err := l.current.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		l.t.Error(err)
	}
}

// heal ends a cut. The connections that it affected are closed.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current.Toxics.ResetToxics(context.Background())
}

// silence drops everything on the connections that are open now, while new ones work.
func (l *link) silence() {
	l.cut(outward)
	l.cut(inward)
	l.replace()
}
