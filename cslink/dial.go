package cslink

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"
)

const (
	// path is the HTTP path of the link listener.
	path = "/link"
	// handshakeTimeout bounds the time from the start of a connection until both sides are authenticated.
	handshakeTimeout = time.Second
	// connectTimeout bounds the wait for the peer's machine to accept a connection, which takes one round trip. A lost opening
	// packet is sent again after a second only, so an attempt that meets a machine without power would last until long after
	// the machine is back.
	connectTimeout = 300 * time.Millisecond
	// The waits between attempts grow from firstRetry to maxRetry, each with a jitter of half its length. A store
	// that starts again is needed at once, for the election of a leader and for the requests that wait.
	firstRetry  = 50 * time.Millisecond
	maxRetry    = 300 * time.Millisecond
	retryJitter = 0.5
	retryGrowth = 1.5
	// settled is the lifetime of a socket after which its loss is followed by an immediate attempt. Sockets that end
	// sooner must not be replaced in a tight loop.
	settled = time.Second
	// httpBuffer is the size of the buffers of the HTTP client in bytes. They carry the upgrade request only.
	httpBuffer = 1 << 10
)

// dial keeps a socket to the peer until the links are closed.
func (l *link) dial() {
	policy := &backoff.ExponentialBackOff{
		InitialInterval:     firstRetry,
		RandomizationFactor: retryJitter,
		Multiplier:          retryGrowth,
		MaxInterval:         maxRetry,
	}
	for l.links.ctx.Err() == nil {
		lifetime, err := l.connect()
		if err != nil {
			l.failed(err)
		} else {
			policy.Reset()
		}
		if lifetime < settled {
			l.links.sleep(policy.NextBackOff())
		}
	}
}

// connect establishes a socket and uses it until it ends. It returns how long the socket was in use, or why none was
// established.
func (l *link) connect() (time.Duration, error) {
	ctx, cancel := context.WithCancel(l.links.ctx)
	defer cancel()
	deadline := l.links.clock.AfterFunc(handshakeTimeout, cancel)
	defer deadline.Stop()
	ws, c, err := l.open(ctx)
	if err != nil {
		return 0, err
	}
	ws.SetReadLimit(handshakeLimit)
	a, err := l.introduce(ctx, ws)
	if err != nil {
		_ = ws.CloseNow()
		c.end()
		return 0, err
	}
	deadline.Stop()
	return l.serve(newSocket(ws, c), a), nil
}

// open connects to the peer's address and upgrades the connection.
func (l *link) open(ctx context.Context) (*websocket.Conn, *conn, error) {
	address := l.links.address(l.peer)
	var c *conn
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			d := net.Dialer{Timeout: connectTimeout}
			n, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c = &conn{Conn: n, clock: l.links.clock}
			return c, nil
		},
		DisableKeepAlives: true,
		ReadBufferSize:    httpBuffer,
		WriteBufferSize:   httpBuffer,
	}
	defer transport.CloseIdleConnections()
	ws, response, err := websocket.Dial(ctx, "ws://"+address+path, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
	})
	if response != nil && response.Body != nil {
		response.Body.Close()
	}
	if err != nil {
		return nil, nil, err
	}
	return ws, c, nil
}
