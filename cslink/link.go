package cslink

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
)

// maxInbox is the number of received payload bytes that wait for the handler before reading from the socket pauses.
const maxInbox = 1 << 20

var (
	errSilent   = errors.New("no byte from the peer before the deadline")
	errReplaced = errors.New("replaced by a newer connection")
)

// delivery is an entry of the inbox: a message, or the start or end of a socket of the control channel.
type delivery struct {
	event       deliveryEvent
	kind        Kind
	payload     []byte
	incarnation csmodel.Incarnation
}

type deliveryEvent uint8

const (
	deliverMessage deliveryEvent = iota
	deliverUp
	deliverDown
)

// link is one channel to one peer: the decision core, its current socket and the inbox of the handler.
type link struct {
	links   *Links
	peer    csmodel.NodeID
	channel Channel

	mu        sync.Mutex
	changed   *sync.Cond // inbox, socket or closed has changed
	core      core
	socket    *socket // nil while disconnected
	paused    bool    // the reader waits for room in the inbox
	inbox     []delivery
	inboxSize int
	closed    bool
	sockets   uint64
	in, out   int64 // of ended sockets
	err       string
}

func newLink(l *Links, peer csmodel.NodeID, channel Channel) *link {
	k := &link{links: l, peer: peer, channel: channel}
	k.changed = sync.NewCond(&k.mu)
	k.core = newCore(l.clock.Now(), l.options.Heartbeat, l.options.Silence)
	return k
}

func (l *link) now() time.Time { return l.links.clock.Now() }

func (l *link) admit(peer life) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.admit(peer)
}

func (l *link) receivedFrom(peer life) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.receivedFrom(peer)
}

// send queues a message.
func (l *link) send(kind Kind, payload []byte, key string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	if err := l.core.push(l.now(), kind, payload, key); err != nil {
		return err
	}
	if l.socket != nil {
		l.socket.notify()
	}
	return nil
}

// withdraw drops a queued message.
func (l *link) withdraw(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.queue.withdraw(key)
}

// next returns the frame to write, nil where there is none, and false where the socket is no longer current.
func (l *link) next(s *socket) (frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != s {
		return nil, false
	}
	return l.core.next(l.now()), true
}

// receive handles a frame of a socket. It waits while the inbox is full.
func (l *link) receive(s *socket, f frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.inboxSize >= maxInbox && l.socket == s && !l.closed {
		l.paused = true
		l.changed.Wait()
	}
	if l.socket != s {
		return errReplaced
	}
	l.paused = false
	now := l.now()
	fresh, err := l.core.receive(now, f)
	if err != nil {
		return err
	}
	if m, ok := f.(message); ok && fresh {
		l.deliver(delivery{kind: m.Kind, payload: m.Payload})
	}
	if l.core.due(now) {
		s.notify()
	}
	return nil
}

// deliver appends to the inbox. The caller holds the lock.
func (l *link) deliver(d delivery) {
	if d.event != deliverMessage && l.channel != Control {
		return
	}
	l.inbox = append(l.inbox, d)
	l.inboxSize += len(d.payload) + itemOverhead
	l.changed.Broadcast()
}

// dispatch calls the handlers until the link is closed.
func (l *link) dispatch() {
	for {
		d, ok := l.take()
		if !ok {
			return
		}
		l.handle(d)
	}
}

func (l *link) take() (delivery, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.inbox) == 0 && !l.closed {
		l.changed.Wait()
	}
	if l.closed {
		return delivery{}, false
	}
	d := l.inbox[0]
	l.inbox[0] = delivery{}
	l.inbox = l.inbox[1:]
	l.inboxSize -= len(d.payload) + itemOverhead
	l.changed.Broadcast()
	return d, true
}

// handle calls a function of the embedding program, whose panics must not end the process.
func (l *link) handle(d delivery) {
	defer func() {
		if r := recover(); r != nil {
			l.links.log.Error("link handler panicked", zap.String("peer", string(l.peer)),
				zap.Uint8("kind", uint8(d.kind)), zap.Any("panic", r), zap.Stack("stack"))
		}
	}()
	o := &l.links.options
	switch d.event {
	case deliverMessage:
		o.Handle(l.peer, d.kind, d.payload)
	case deliverUp:
		if o.Up != nil {
			o.Up(l.peer, d.incarnation)
		}
	case deliverDown:
		if o.Down != nil {
			o.Down(l.peer)
		}
	}
}

// serve uses a socket until it ends, and returns how long that took.
func (l *link) serve(s *socket, a agreement) time.Duration {
	start := l.now()
	if err := l.attach(s, a); err != nil {
		s.fail(err)
		l.failed(err)
	} else {
		var writer sync.WaitGroup
		writer.Go(func() { s.write(l) })
		s.read(l)
		writer.Wait()
	}
	// The connection is closed already; this ends the goroutines of the library.
	_ = s.ws.CloseNow()
	l.detach(s)
	return l.now().Sub(start)
}

// attach makes a socket the current one.
func (l *link) attach(s *socket, a agreement) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	if err := l.core.admit(a.peer); err != nil {
		return err
	}
	now := l.now()
	if l.socket != nil {
		l.socket.fail(errReplaced)
		l.lose(now)
	}
	if err := l.core.attach(now, a.peer, a.received); err != nil {
		return err
	}
	l.socket = s
	l.sockets++
	l.err = ""
	l.deliver(delivery{event: deliverUp, incarnation: a.peer.incarnation})
	l.links.log.Info("link up", zap.String("peer", string(l.peer)), zap.Stringer("channel", l.channel),
		zap.Uint64("incarnation", uint64(a.peer.incarnation)))
	return nil
}

// lose ends the current socket. The caller holds the lock.
func (l *link) lose(now time.Time) {
	l.socket = nil
	l.paused = false
	l.core.detach(now)
	l.deliver(delivery{event: deliverDown})
	l.changed.Broadcast()
}

// detach accounts for a socket that has ended.
func (l *link) detach(s *socket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.in += s.conn.in.Load()
	l.out += s.conn.out.Load()
	if l.socket != s {
		return
	}
	l.lose(l.now())
	l.err = s.err.Error()
	l.links.log.Info("link down", zap.String("peer", string(l.peer)), zap.Stringer("channel", l.channel),
		zap.String("reason", l.err))
}

// failed records why a connection was not established. A reason is logged when it changes.
func (l *link) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.err == err.Error() {
		return
	}
	l.err = err.Error()
	l.links.log.Warn("link not established", zap.String("peer", string(l.peer)),
		zap.Stringer("channel", l.channel), zap.String("reason", l.err))
}

// pace ends a silent socket and wakes the writer when a heartbeat is due.
func (l *link) pace(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.socket
	if s == nil {
		return
	}
	heard := s.heard()
	if l.paused {
		heard = now
	}
	l.core.listen(heard)
	if l.core.silent(now) {
		s.fail(errSilent)
		return
	}
	if l.core.due(now) {
		s.notify()
	}
}

// close ends the link for good.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.socket != nil {
		l.socket.fail(ErrClosed)
	}
	l.changed.Broadcast()
}

func (l *link) status() ChannelStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := ChannelStatus{
		Channel:    l.channel.String(),
		Connected:  l.socket != nil,
		Heard:      l.core.heard,
		RTT:        l.core.rtt,
		Queued:     csmodel.Bytes(l.core.queue.bytes),
		Sockets:    l.sockets,
		Resent:     l.core.resent,
		Dropped:    l.core.dropped,
		Superseded: l.core.superseded,
		Duplicates: l.core.duplicates,
		In:         csmodel.Bytes(l.in),
		Out:        csmodel.Bytes(l.out),
		Error:      l.err,
	}
	if l.socket != nil {
		s.In += csmodel.Bytes(l.socket.conn.in.Load())
		s.Out += csmodel.Bytes(l.socket.conn.out.Load())
	}
	return s
}

func (l *link) incarnation() csmodel.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.peer.incarnation
}
