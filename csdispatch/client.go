// Package csdispatch sends attempts to targets over HTTP and verifies their responses.
package csdispatch

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrequest"
)

// HTTP headers of the requests that nodes send to targets and of the responses.
const (
	HeaderAttempt     = "Cowslip-Attempt"
	HeaderIncarnation = "Cowslip-Incarnation"
	HeaderJob         = "Cowslip-Job"
	HeaderTimeout     = "Cowslip-Timeout"
	HeaderStarted     = "Cowslip-Started"
	HeaderDigest      = "Content-Digest"
)

const (
	maxBodyBytes          = 1 << 20  // of a response body
	maxHeaderBytes        = 16 << 10 // of the response headers
	maxPeers              = 1024     // target incarnations whose connections are kept
	maxIdleConns          = 64       // idle connections to a target incarnation
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 10 * time.Second
	// An idle connection whose target stops acknowledging TCP keep-alives is closed after about 4 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Config holds the timeouts of a Client. A zero field selects its default.
type Config struct {
	// ConnectTimeout bounds the time to open a connection. The default is 1 s.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed. The default is 10 s.
	IdleTimeout time.Duration
}

// Client sends attempts to targets. It is safe for concurrent use.
type Client struct {
	config   Config
	mu       sync.Mutex
	peers    map[peerID]*peer
	sequence uint64
}

// peerID identifies one incarnation of a target. A rebooted target closes its connections. A request that is not idempotent
// and is sent on one of them before the close is noticed would end with an unknown outcome, so each incarnation has its own
// connections.
type peerID struct {
	address     string
	incarnation csmodel.Incarnation
}

// peer holds the connections to one incarnation of a target.
type peer struct {
	transport *http.Transport
	inFlight  int
	lastUse   uint64 // value of Client.sequence at the last use
}

// NewClient returns a Client. Connections are opened on demand.
func NewClient(c Config) *Client {
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	return &Client{config: c, peers: map[peerID]*peer{}}
}

// Do sends one attempt and returns its AttemptAnswered, AttemptRefused or AttemptFailed event. It returns no later than
// d.Limit after the call, or when ctx is done.
func (c *Client) Do(ctx context.Context, d csrequest.Dispatch, body []byte) csrequest.Event {
	ctx, cancel := context.WithTimeout(ctx, d.Limit)
	defer cancel()
	p := c.acquire(peerID{address: d.Address, incarnation: d.Incarnation})
	defer c.release(p)

	var used usedConns
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.add})
	r, err := newRequest(ctx, d, body)
	if err != nil {
		return csrequest.AttemptFailed{Attempt: d.Attempt}
	}
	resp, err := p.transport.RoundTrip(r)
	if err != nil {
		return c.attemptFailed(ctx, p, &used, d)
	}
	defer resp.Body.Close()
	event, ok := verifyResponse(d, resp)
	if !ok {
		return c.attemptFailed(ctx, p, &used, d)
	}
	return event
}

func newRequest(ctx context.Context, d csrequest.Dispatch, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Address+"/run", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(HeaderAttempt, string(d.Attempt))
	r.Header.Set(HeaderIncarnation, strconv.FormatUint(uint64(d.Incarnation), 10))
	r.Header.Set(HeaderJob, string(d.Job))
	r.Header.Set(HeaderTimeout, d.Timeout.String())
	r.Header.Set(HeaderDigest, Digest(body))
	return r, nil
}

// attemptFailed closes the connections of an attempt and reports whether any part of the request may have been sent. After
// a timeout it also closes the idle connections to the target, because an intermediary that lost the state of one
// connection may have lost the state of all of them.
func (c *Client) attemptFailed(ctx context.Context, p *peer, used *usedConns, d csrequest.Dispatch) csrequest.Event {
	sent := used.closeAll()
	if ctx.Err() == context.DeadlineExceeded && sent {
		p.transport.CloseIdleConnections()
	}
	return csrequest.AttemptFailed{Attempt: d.Attempt, Sent: sent}
}

// verifyResponse reads a response and checks its attempt id, length, incarnation and digest. It returns false if a check
// fails or the response is incomplete.
func verifyResponse(d csrequest.Dispatch, resp *http.Response) (csrequest.Event, bool) {
	if resp.Header.Get(HeaderAttempt) != string(d.Attempt) {
		return nil, false
	}
	if resp.ContentLength < 0 || resp.ContentLength > maxBodyBytes {
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil || int64(len(body)) != resp.ContentLength {
		return nil, false
	}
	if full, refused := parseRefusal(resp); refused {
		return csrequest.AttemptRefused{Attempt: d.Attempt, NoSlot: full}, true
	}
	if resp.Header.Get(HeaderIncarnation) != strconv.FormatUint(uint64(d.Incarnation), 10) {
		return nil, false
	}
	if !verifyDigest(resp.Header.Values(HeaderDigest), body) {
		return nil, false
	}
	answer := csrequest.Answer{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: body}
	return csrequest.AttemptAnswered{Attempt: d.Attempt, Answer: answer}, true
}

// parseRefusal reports whether the target refused the attempt before starting it, and whether it did so for lack of a slot.
func parseRefusal(resp *http.Response) (full, refused bool) {
	if resp.Header.Get(HeaderStarted) != "false" {
		return false, false
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return true, true
	case http.StatusConflict, http.StatusServiceUnavailable:
		return false, true
	default:
		return false, false
	}
}

func (c *Client) acquire(id peerID) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[id]
	if !ok {
		if len(c.peers) >= maxPeers {
			c.evict()
		}
		p = &peer{transport: c.newTransport()}
		c.peers[id] = p
	}
	c.sequence++
	p.lastUse = c.sequence
	p.inFlight++
	return p
}

func (c *Client) release(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.inFlight--
}

// evict removes the least recently used peer without attempts in flight.
func (c *Client) evict() {
	var oldest peerID
	for id, p := range c.peers {
		if p.inFlight == 0 && (oldest.address == "" || p.lastUse < c.peers[oldest].lastUse) {
			oldest = id
		}
	}
	if oldest.address != "" {
		c.peers[oldest].transport.CloseIdleConnections()
		delete(c.peers, oldest)
	}
}

// newTransport returns a transport for one peer. It sets no limit on connections: there are at most as many as attempts in
// flight, which the Router keeps within SlotLease.Connections.
func (c *Client) newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: c.config.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        c.config.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes all idle connections. Attempts in flight continue.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.transport.CloseIdleConnections()
	}
}
