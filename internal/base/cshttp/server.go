// Package cshttp stops HTTP servers without losing requests, and bounds what clients may take of a process: memory, connections and time.
package cshttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// openPoll is the interval at which Shutdown looks for open connections.
const openPoll = 5 * time.Millisecond

// Server serves HTTP and answers what it has read when it stops. The Shutdown of net/http doesn't: it drops requests that arrive on
// connections that were new or idle when it began, and their clients can't tell whether they were carried out. Use New.
type Server struct {
	http     *http.Server
	clock    clockwork.Clock
	stopping atomic.Bool
	pool     *Pool
	share    *share

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]http.ConnState
}

// New returns a server without bounds, with the settings of s, whose Handler must be set. It takes over s.Handler and s.ConnState.
func New(s *http.Server, c clockwork.Clock) *Server {
	return NewPool(PoolOptions{Clock: c}).server(s, c, 0)
}

// Server returns a server like New that takes its memory from the pool. It has at most the given number of connections; with 0 it
// shares those of the pool. Its handlers read bodies with ReadBody: a body that nobody reads is cut after some seconds.
func (p *Pool) Server(s *http.Server, c clockwork.Clock, connections int) *Server {
	v := p.server(s, c, connections)
	s.ConnContext = withConn
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil {
			c.startRequest(r)
			defer p.finish(c)
		}
		next.ServeHTTP(w, r)
	})
	return v
}

func (p *Pool) server(s *http.Server, c clockwork.Clock, connections int) *Server {
	v := &Server{http: s, clock: c, pool: p, share: &p.shared, open: map[net.Conn]http.ConnState{}}
	if connections > 0 {
		v.share = &share{limit: connections}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	s.ConnState = v.connState
	return v
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	if a, ok := c.(*conn); ok {
		s.pool.connState(a, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.open, c)
		return
	}
	s.open[c] = state
}

// Serve accepts connections until Shutdown, and returns http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	if s.stopping.Load() {
		_ = l.Close()
		return http.ErrServerClosed
	}
	err := s.http.Serve(&listener{Listener: l, pool: s.pool, share: s.share})
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown closes the listener at once, and each connection after its next answer. It returns when none is open, or none is busy and the
// others have had the linger time to send a request. If the context ends before, it cuts the requests in progress and returns its error.
func (s *Server) Shutdown(ctx context.Context, linger time.Duration) error {
	s.stopping.Store(true)
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close() // closed already, or nothing that could be done about it
	}
	s.mu.Unlock()
	defer func() { _ = s.http.Close() }() // the listener is closed already
	lingerEnd := s.clock.Now().Add(linger)
	tick := s.clock.NewTicker(openPoll)
	defer tick.Stop()
	for {
		if open, busy := s.connections(); open == 0 || (busy == 0 && !s.clock.Now().Before(lingerEnd)) {
			return nil
		}
		select {
		case <-tick.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// connections returns the number of open connections, and of those with a request in progress.
func (s *Server) connections() (open, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.open {
		if state == http.StateActive {
			busy++
		}
	}
	return len(s.open), busy
}
