// Package csclient is the client for callers and operators of an installation.
package csclient

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Options configure a client. Only Nodes is required.
type Options struct {
	// Nodes lists entry nodes by IP address and port, or the address of the load balancer before them.
	Nodes []string
	// Team is the team of a caller.
	Team csmodel.TeamID
	// Token is the bearer token of an operator.
	Token string
	// Attempt limits one attempt of a request, so that a connection that went silent does not use up the deadline. 0
	// means no limit but the deadline: a low limit repeats idempotent work that is merely slow.
	Attempt time.Duration
	// Batch is the number of idempotency keys fetched in one call. 0 means DefaultBatch.
	Batch int
	// Transport replaces the HTTP transport, for tests.
	Transport http.RoundTripper
	// Clock replaces the system clock, for tests. Delays between retries do not depend on it.
	Clock clockwork.Clock
	// Backoff returns the delays between the retries of one call. Nil means exponential from 20 ms to 1 s.
	Backoff func() backoff.BackOff
}

const (
	// DefaultBatch is the default number of idempotency keys fetched in one call.
	DefaultBatch = 32
	// DefaultTimeout limits calls whose context has no deadline.
	DefaultTimeout = 30 * time.Second

	firstDelay = 20 * time.Millisecond
	lastDelay  = time.Second
	// keyLifetime is below the 24 h after which nodes refuse a key.
	keyLifetime = 12 * time.Hour
	// dialTimeout moves a call on to the next node while its deadline still allows another attempt.
	dialTimeout = time.Second
	// attemptTimeout limits calls other than requests, so that a silent node does not use up the whole deadline.
	attemptTimeout = 5 * time.Second
)

// Client sends requests to the entry nodes of an installation. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	mu   sync.Mutex
	next int
	keys keyBatch
}

// New returns a client.
func New(o Options) *Client {
	if o.Batch == 0 {
		o.Batch = DefaultBatch
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Backoff == nil {
		o.Backoff = defaultBackoff
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	return &Client{
		options: o,
		http:    &http.Client{Transport: o.Transport, CheckRedirect: noRedirect},
		keys:    keyBatch{lock: make(chan struct{}, 1)},
	}
}

// newTransport keeps bodies as the target sent them, because the digest covers those bytes.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func defaultBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstDelay
	b.MaxInterval = lastDelay
	return b
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// firstNode returns the index of the node that a new call starts with. Calls take turns over the nodes.
func (c *Client) firstNode() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next
}

func (c *Client) address(i int) string {
	return c.options.Nodes[i%len(c.options.Nodes)]
}
