package csdispatch

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countingConn counts writes to a connection. httptrace.WroteHeaders is not precise enough for this: it is called when the
// headers are buffered, and not at all when a write fails partway through them.
type countingConn struct {
	net.Conn
	writes atomic.Int64 // writes that have begun
	closed atomic.Bool
}

// Write counts the write before it begins and uncounts it if nothing was written. After closeAndCount it writes nothing.
func (c *countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// closeAndCount closes the connection and returns the number of writes that may have taken place. A concurrent write is
// either counted or writes nothing.
func (c *countingConn) closeAndCount() int64 {
	c.closed.Store(true)
	writes := c.writes.Load()
	_ = c.Close()
	return writes
}

// usedConn is a connection that an attempt used.
type usedConn struct {
	conn         *countingConn
	writesBefore int64 // value of conn.writes before the attempt
}

// usedConns collects the connections that one attempt used. There can be several, because the transport retries on another
// connection when a reused one turns out to be closed before anything was written.
type usedConns struct {
	mu    sync.Mutex
	conns []usedConn
}

func (c *usedConns) add(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, usedConn{conn: conn, writesBefore: conn.writes.Load()})
}

// closeAll closes the connections and reports whether any part of the request may have been sent.
func (c *usedConns) closeAll() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := false
	for _, u := range c.conns {
		sent = u.conn.closeAndCount() > u.writesBefore || sent
	}
	return sent
}
