package cslink

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"
)

const (
	// maxStrangers bounds the connections that are not authenticated yet. 19 peers open 38 at once after a restart.
	maxStrangers = 64
	// maxHeader bounds the header of the upgrade request in bytes.
	maxHeader = 4 << 10
	// refusalLogs is the interval at which refused connections are logged.
	refusalLogs = time.Second
)

type connKey struct{}

// newServer returns the HTTP server that accepts the sockets of peers.
func (l *Links) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, l.accept)
	s := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: handshakeTimeout,
		ReadTimeout:       handshakeTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.SetKeepAlivesEnabled(false)
	return s
}

// accept authenticates a peer and uses its socket until it ends.
func (l *Links) accept(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || !l.enter() {
		http.Error(w, ErrClosed.Error(), http.StatusServiceUnavailable)
		return
	}
	defer l.running.Done()
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		l.refuse(c, err)
		return
	}
	defer func() { _ = ws.CloseNow() }()
	defer c.end()
	defer context.AfterFunc(l.ctx, c.end)()
	deadline := l.clock.AfterFunc(handshakeTimeout, c.end)
	defer deadline.Stop()
	ws.SetReadLimit(handshakeLimit)
	a, err := l.answer(l.ctx, ws)
	if err != nil {
		l.refuse(c, err)
		return
	}
	deadline.Stop()
	c.settle()
	a.link.serve(newSocket(ws, c), a)
}

// refuse counts and logs a connection that was not authenticated. Strangers must not fill the log.
func (l *Links) refuse(c *conn, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	l.refused.Add(1)
	l.refusals.Do(func() {
		l.log.Warn("link refused", zap.Stringer("remote", c.RemoteAddr()), zap.Error(err))
	})
}
