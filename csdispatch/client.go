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

// Headers between nodes and targets.
const (
	HeaderAttempt     = "Cowslip-Attempt"
	HeaderIncarnation = "Cowslip-Incarnation"
	HeaderJob         = "Cowslip-Job"
	HeaderTimeout     = "Cowslip-Timeout"
	HeaderStarted     = "Cowslip-Started"
	HeaderDigest      = "Content-Digest"
)

const (
	maxBody        = 1 << 20 // bytes of a response body
	maxHeader      = 16 << 10
	maxPeers       = 1024 // lives of targets whose connections are kept
	maxIdle        = 64   // idle connections to an address
	defaultConnect = time.Second
	defaultIdle    = 10 * time.Second
	// An idle connection whose peer no longer acknowledges keep-alives is closed after about 4 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Config configures a Client. Zero fields take defaults.
type Config struct {
	// Connect is the limit for opening a connection.
	Connect time.Duration
	// Idle is the time after which an unused connection is closed.
	Idle time.Duration
}

// Client sends attempts to targets. It is safe for concurrent use.
type Client struct {
	config   Config
	mu       sync.Mutex
	peers    map[peerID]*peer
	sequence uint64
}

// peerID names one life of a target. A rebooted target closes its connections, and an order that is sent on one of them
// before the close is noticed would become unknown, so a new incarnation gets new connections.
type peerID struct {
	address     string
	incarnation csmodel.Incarnation
}

// peer holds the connections to one life of a target.
type peer struct {
	transport *http.Transport
	busy      int
	used      uint64 // sequence of the last use
}

// NewClient returns a client without connections.
func NewClient(c Config) *Client {
	if c.Connect == 0 {
		c.Connect = defaultConnect
	}
	if c.Idle == 0 {
		c.Idle = defaultIdle
	}
	return &Client{config: c, peers: map[peerID]*peer{}}
}

// Do sends one attempt and returns its AttemptAnswered, AttemptRefused or AttemptFailed event. It returns at the latest
// when the limit of the dispatch has passed or the context has ended.
func (c *Client) Do(ctx context.Context, d csrequest.Dispatch, body []byte) csrequest.Event {
	ctx, cancel := context.WithTimeout(ctx, d.Limit)
	defer cancel()
	p := c.acquire(peerID{address: d.Address, incarnation: d.Incarnation})
	defer c.release(p)

	var used connections
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.add})
	r, err := request(ctx, d, body)
	if err != nil {
		return csrequest.AttemptFailed{Attempt: d.Attempt}
	}
	resp, err := p.transport.RoundTrip(r)
	if err != nil {
		return c.failed(ctx, p, &used, d)
	}
	defer resp.Body.Close()
	event, ok := verify(d, resp)
	if !ok {
		return c.failed(ctx, p, &used, d)
	}
	return event
}

func request(ctx context.Context, d csrequest.Dispatch, body []byte) (*http.Request, error) {
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

// failed closes the connections of an attempt and tells whether any part of the request may have been sent. After a
// timeout the idle connections to the target are closed too, because an intermediary that lost the state of one
// connection may have lost that of all.
func (c *Client) failed(ctx context.Context, p *peer, used *connections, d csrequest.Dispatch) csrequest.Event {
	sent := used.seal()
	if ctx.Err() == context.DeadlineExceeded && sent {
		p.transport.CloseIdleConnections()
	}
	return csrequest.AttemptFailed{Attempt: d.Attempt, Sent: sent}
}

// verify reads and checks a response. A response that is not complete and verified is no answer.
func verify(d csrequest.Dispatch, resp *http.Response) (csrequest.Event, bool) {
	if resp.Header.Get(HeaderAttempt) != string(d.Attempt) {
		return nil, false
	}
	if resp.ContentLength < 0 || resp.ContentLength > maxBody {
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil || int64(len(body)) != resp.ContentLength {
		return nil, false
	}
	if full, refused := refusal(resp); refused {
		return csrequest.AttemptRefused{Attempt: d.Attempt, Full: full}, true
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

// refusal tells whether the target refused the attempt before starting it, and whether it had no slot.
func refusal(resp *http.Response) (full, refused bool) {
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
		p = &peer{transport: c.transport()}
		c.peers[id] = p
	}
	c.sequence++
	p.used = c.sequence
	p.busy++
	return p
}

func (c *Client) release(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.busy--
}

// evict drops the peer that was not used for the longest time.
func (c *Client) evict() {
	var oldest peerID
	for id, p := range c.peers {
		if p.busy == 0 && (oldest.address == "" || p.used < c.peers[oldest].used) {
			oldest = id
		}
	}
	if oldest.address != "" {
		c.peers[oldest].transport.CloseIdleConnections()
		delete(c.peers, oldest)
	}
}

// transport returns a transport for one peer. The number of connections is bounded by the attempts in flight, which the
// router keeps within the connections of its leases.
func (c *Client) transport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: c.config.Connect,
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
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        c.config.Idle,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// Close closes all connections that are not in use.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.transport.CloseIdleConnections()
	}
}
