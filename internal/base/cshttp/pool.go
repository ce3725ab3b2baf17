package cshttp

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Reason tells why a request was refused or a connection closed.
type Reason uint8

// Reasons.
const (
	ReasonSize        Reason = iota // the body is larger than the limit
	ReasonMemory                    // no free memory for the body
	ReasonTime                      // the body made no progress, or took too long
	ReasonBody                      // an unfinished body without progress was closed for the sake of others
	ReasonHeader                    // a connection without a complete request was closed for the sake of others
	ReasonIdle                      // an idle connection was closed for the sake of others
	ReasonConnections               // no connection could be closed for the sake of a new one
	reasons
)

var reasonNames = [reasons]string{"size", "memory", "time", "stalled_body", "header", "idle", "connections"}

func (r Reason) String() string { return reasonNames[r] }

// Log lines about refusals: the first one tells of all within a short time, and a crowd of clients writes few.
const (
	logDelay    = time.Second
	logInterval = 10 * time.Second
)

// PoolOptions are the options of a pool.
type PoolOptions struct {
	Limits   Limits
	Clock    clockwork.Clock
	Log      *zap.Logger           // may be nil
	Registry prometheus.Registerer // may be nil
}

// Pool holds what the servers of a process share: memory for bodies, and connections. Use NewPool.
type Pool struct {
	clock clockwork.Clock
	log   *zap.Logger

	bodyIdle, bodyTime, drainTime time.Duration // constants, except in tests

	mu      sync.Mutex
	budget  budget
	shared  share
	refused [reasons]uint64
	logged  [reasons]uint64             // refused at the last log line
	waiting bool                        // a log line is due
	counter [reasons]prometheus.Counter // nil without a registry
}

// share is a number of connections that one or more servers may have open.
type share struct {
	limit int // 0 means no bound
	open  int
	order order
}

// NewPool returns a pool.
func NewPool(o PoolOptions) *Pool {
	p := &Pool{clock: o.Clock, log: o.Log, bodyIdle: bodyIdle, bodyTime: bodyTime, drainTime: drainTime, budget: budget{limits: o.Limits}}
	p.shared.limit = o.Limits.Connections
	if p.log == nil {
		p.log = zap.NewNop()
	}
	if o.Registry == nil {
		return p
	}
	counters := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cowslipstream_http_refused_total", Help: "Requests refused and connections closed to stay within the process's limits, by reason.",
	}, []string{"reason"})
	for r := range reasons {
		p.counter[r] = counters.WithLabelValues(r.String())
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return value()
		})
	}
	o.Registry.MustRegister(counters,
		gauge("cowslipstream_http_body_bytes", "Memory reserved for bodies of requests.", func() float64 { return float64(p.budget.used) }),
		gauge("cowslipstream_http_body_limit_bytes", "Most memory that is reserved for bodies of requests, 0 without a bound.",
			func() float64 { return float64(p.budget.limits.Bodies) }),
		gauge("cowslipstream_http_connections", "Open connections of client accounts, targets and operators.",
			func() float64 { return float64(p.shared.open) }),
		gauge("cowslipstream_http_connections_limit", "Most such connections, 0 without a bound.",
			func() float64 { return float64(p.shared.limit) }))
	return p
}

// count records a refusal. The caller holds the lock.
func (p *Pool) count(r Reason) {
	p.refused[r]++
	if c := p.counter[r]; c != nil {
		c.Inc()
	}
	if !p.waiting {
		p.waiting = true
		p.clock.AfterFunc(logDelay, p.report)
	}
}

// report logs what was refused since the last line, and goes on until nothing is.
func (p *Pool) report() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refused == p.logged {
		p.waiting = false
		return
	}
	p.clock.AfterFunc(logInterval, p.report)
	fields := make([]zap.Field, 0, int(reasons)+3)
	for r := range reasons {
		if n := p.refused[r] - p.logged[r]; n > 0 {
			fields = append(fields, zap.Uint64(r.String(), n))
		}
	}
	fields = append(fields, zap.Int64("body_bytes", p.budget.used), zap.Int64("of", p.budget.limits.Bodies), zap.Int("connections", p.shared.open))
	p.logged = p.refused
	p.log.Warn("clients refused", fields...)
}

// evict takes everything from a connection but its descriptor. The caller holds the lock and closes it afterwards.
func (p *Pool) evict(c *conn, r Reason) {
	p.count(r)
	p.forget(c)
}

// forget takes a connection out of all accounts. The caller holds the lock.
func (p *Pool) forget(c *conn) {
	if c.gone {
		return
	}
	c.gone = true
	c.share.order.remove(c)
	c.share.open--
	p.release(c)
}

// release returns what a connection has reserved. The caller holds the lock.
func (p *Pool) release(c *conn) {
	p.budget.release(c.reserved, c.large)
	c.reserved, c.large = 0, false
}

// admit accounts a new connection. It returns one that has to be closed, which is the new one if no other one can go.
func (p *Pool) admit(c *conn) (closing *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if c.share.limit > 0 && c.share.open >= c.share.limit {
		victim, reason := c.share.order.victim(now)
		if victim == nil {
			c.gone = true
			p.count(ReasonConnections)
			return c
		}
		p.evict(victim, reason)
		closing = victim
	}
	c.share.open++
	c.share.order.move(c, header, now)
	return closing
}

// reserve raises what the body of a connection's request has reserved to n bytes. Bodies that have made no progress are closed for it.
func (p *Pool) reserve(c *conn, n int64, large bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserveTotal(c, n+c.headerReserved, large || c.headerReserved > 0)
}

// reserveHeader raises what the header of a connection's request has reserved to n bytes.
func (p *Pool) reserveHeader(c *conn, n int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.reserveTotal(c, n, true)
	if err == nil {
		c.headerReserved = n
	}
	return err
}

// reserveTotal sets what a connection has reserved. The caller holds the lock.
func (p *Pool) reserveTotal(c *conn, n int64, large bool) error {
	if c.gone {
		return ErrClosed
	}
	if !p.budget.possible(n, large) {
		p.count(ReasonSize)
		return ErrTooLarge
	}
	before, wasLarge := c.reserved, c.large
	p.release(c)
	for !p.budget.reserve(n, large) {
		victim := c.share.order.stalled(p.clock.Now(), large && p.budget.largeFull(n))
		if victim == nil || victim == c {
			p.budget.force(before, wasLarge)
			c.reserved, c.large = before, wasLarge
			p.count(ReasonMemory)
			return ErrNoMemory
		}
		p.evict(victim, ReasonBody)
		_ = victim.Conn.Close() // ends the read of its body
	}
	c.reserved, c.large = n, large
	return nil
}

// move notes what a connection waits for.
func (p *Pool) move(c *conn, to phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.gone {
		c.share.order.move(c, to, p.clock.Now())
	}
}

// finish ends a request whose handler has returned. Where it has not read the body, net/http reads on, so the body still counts as
// unfinished.
func (p *Pool) finish(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(c)
	c.headerBytes, c.headerLines, c.headerReserved = 0, 0, 0
}

// listener accounts the connections of a server.
type listener struct {
	net.Listener
	pool  *Pool
	share *share
}

// Accept returns the next connection that was admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: n, pool: l.pool, share: l.share}
		closing := l.pool.admit(c)
		if closing != nil {
			_ = closing.Conn.Close()
		}
		if closing != c {
			return c, nil
		}
	}
}

// connState follows the state of a connection as net/http sees it.
func (p *Pool) connState(c *conn, state http.ConnState) {
	if state == http.StateIdle {
		p.move(c, idle)
	}
}
