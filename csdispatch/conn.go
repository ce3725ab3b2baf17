package csdispatch

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts its writes. httptrace.WroteHeaders is not precise enough: it is called when headers are buffered and
// not at all when a write fails in their middle.
type countedConn struct {
	net.Conn
	writes atomic.Int64 // begun
	sealed atomic.Bool
}

// Write counts a write before it begins, unless nothing could be written. After seal nothing is written.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// seal closes the connection and returns the number of writes that may have taken place. A write that begins at the same
// time either is counted or writes nothing.
func (c *countedConn) seal() int64 {
	c.sealed.Store(true)
	writes := c.writes.Load()
	_ = c.Close()
	return writes
}

type usedConn struct {
	conn   *countedConn
	before int64 // writes before the attempt
}

// connections are those that one attempt used. The transport tries another one when a reused connection turns out to be
// closed before anything was written.
type connections struct {
	mu   sync.Mutex
	used []usedConn
}

func (c *connections) add(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = append(c.used, usedConn{conn: conn, before: conn.writes.Load()})
}

// seal closes the connections and tells whether any part of the request may have been sent.
func (c *connections) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := false
	for _, u := range c.used {
		sent = u.conn.seal() > u.before || sent
	}
	return sent
}
