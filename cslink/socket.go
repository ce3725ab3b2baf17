package cslink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"
)

// conn counts the bytes of a connection and records when the last one arrived.
type conn struct {
	net.Conn
	clock   clockwork.Clock
	heard   atomic.Int64 // Unix time in nanoseconds
	in, out atomic.Int64
	release func() // called once, when the connection is authenticated or closed; may be nil
	once    sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(c.clock.Now().UnixNano())
		c.in.Add(int64(n))
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// Close also ends the accounting as an unauthenticated connection.
func (c *conn) Close() error {
	c.settle()
	return c.Conn.Close()
}

// end closes the connection. It may have been closed before.
func (c *conn) end() { _ = c.Close() }

// settle ends the accounting as an unauthenticated connection.
func (c *conn) settle() {
	if c.release != nil {
		c.once.Do(c.release)
	}
}

// listener limits the connections that have not proved knowledge of the secret, so that strangers use bounded memory.
type listener struct {
	net.Listener
	clock   clockwork.Clock
	limit   int64
	pending atomic.Int64
	refused atomic.Uint64
}

// Accept returns the next connection within the limit. Others are closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		// One goroutine accepts; the others only lower the count.
		if l.pending.Load() < l.limit {
			l.pending.Add(1)
			return &conn{Conn: c, clock: l.clock, release: func() { l.pending.Add(-1) }}, nil
		}
		l.refused.Add(1)
		c.Close()
	}
}

// socket is one established connection of a link.
type socket struct {
	ws   *websocket.Conn
	conn *conn
	wake chan struct{} // the writer has work
	done chan struct{} // closed by fail
	once sync.Once
	err  error // set before done is closed
}

func newSocket(ws *websocket.Conn, c *conn) *socket {
	return &socket{ws: ws, conn: c, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// fail ends the socket. The first error is kept.
func (s *socket) fail(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.done)
		s.conn.end()
	})
}

func (s *socket) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// heard returns when the last byte arrived.
func (s *socket) heard() time.Time { return time.Unix(0, s.conn.heard.Load()) }

// write sends frames until the socket ends.
func (s *socket) write(l *link) {
	for {
		f, ok := l.next(s)
		if !ok {
			return
		}
		if f == nil {
			select {
			case <-s.wake:
			case <-s.done:
				return
			}
			continue
		}
		data, err := encodeFrame(f)
		if err == nil {
			err = s.ws.Write(context.Background(), websocket.MessageBinary, data)
		}
		if err != nil {
			s.fail(err)
			return
		}
	}
}

// read receives frames until the socket ends.
func (s *socket) read(l *link) {
	s.ws.SetReadLimit(MaxFrame)
	for {
		_, data, err := s.ws.Read(context.Background())
		if err != nil {
			s.fail(err)
			return
		}
		f, err := decodeFrame(data)
		if err == nil {
			err = l.receive(s, f)
		}
		if err != nil {
			s.fail(err)
			return
		}
	}
}
