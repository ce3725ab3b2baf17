package cshttp

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"
)

// conn is a connection whose memory is accounted. Fields below share belong to the pool and its lock, except where stated.
type conn struct {
	net.Conn
	pool  *Pool
	share *share

	gone          bool // no longer accounted
	phase         phase
	since         time.Time
	before, after *conn
	reserved      int64
	large         bool // what is reserved is for a large body

	headerBytes, headerLines int64 // read for the header of this request
	headerReserved           int64 // part of reserved

	// Belong to the goroutine that reads the body.
	bodyEnd time.Time
	fresh   int // bytes since the last progress
}

// Read reads and accounts headers above the usual size. The bytes of a body that come with its header count too, which does no
// harm: they are at most one buffer of 4 KiB.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.account(b[:n]) {
		return 0, ErrNoMemory
	}
	return n, err
}

// account reports whether there is memory for a part of a header.
func (c *conn) account(b []byte) bool {
	p := c.pool
	p.mu.Lock()
	if c.phase != header && c.phase != idle {
		p.mu.Unlock()
		return true
	}
	c.headerBytes += int64(len(b))
	c.headerLines += int64(bytes.Count(b, []byte{'\n'}))
	cost := headerFactor*c.headerBytes + headerLineCost*c.headerLines
	enough := cost <= headerStep+c.headerReserved
	p.mu.Unlock()
	return enough || p.reserveHeader(c, cost/headerStep*headerStep) == nil
}

// Close closes the connection and returns what it has reserved.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	c.pool.forget(c)
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the answers, so that a client that has not sent all of its request sees them before the connection ends.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

type connKey struct{}

func withConn(ctx context.Context, n net.Conn) context.Context {
	if c, ok := n.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the connection of a request, nil if its server is not one of this package.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
