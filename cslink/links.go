package cslink

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cowslipstream.example/cowslipstream/csmodel"
)

const (
	defaultHeartbeat = 500 * time.Millisecond
	defaultSilence   = 1500 * time.Millisecond
	// paceInterval is the precision of heartbeats and deadlines.
	paceInterval = 100 * time.Millisecond
	// minSecret is the smallest length of the cluster key in bytes.
	minSecret = 32
)

// Links are the links of one node to its peers.
type Links struct {
	options  Options
	clock    clockwork.Clock
	log      *zap.Logger
	instance uint64
	known    sync.RWMutex // peers
	peers    map[csmodel.NodeID]*peer
	listener *listener
	server   *http.Server
	refused  atomic.Uint64
	refusals rate.Sometimes

	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex // closed, addresses, and additions to running
	closed  bool
	running sync.WaitGroup
}

// peer is one other node.
type peer struct {
	address string
	listed  bool        // by the options or by AddPeer, not admitted
	dials   atomic.Bool // this node opens the sockets
	links   [channels]*link
}

// Validate tells what is missing or wrong.
func (o Options) Validate() error {
	switch {
	case o.Self == "":
		return errors.New("links need the name of the node")
	case len(o.Secret) < minSecret:
		return fmt.Errorf("the cluster secret has %d bytes, at least %d are needed", len(o.Secret), minSecret)
	case o.Listener == nil:
		return errors.New("links need a listener")
	case o.Handle == nil:
		return errors.New("links need a handler")
	case slices.ContainsFunc(o.Dials, func(c Channel) bool { return c >= channels }):
		return ErrChannel
	case o.Heartbeat <= 0 || o.Silence <= o.Heartbeat:
		return errors.New("the silence deadline must exceed the heartbeat interval")
	}
	return nil
}

// Defaults fills in what is not set.
func (o Options) Defaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = defaultHeartbeat
	}
	if o.Silence == 0 {
		o.Silence = defaultSilence
	}
	if o.Dials == nil {
		o.Dials = []Channel{Control, Data, Calls}
	}
	return o
}

// New starts the links: it accepts the connections of peers and dials the peers with greater names.
func New(o Options) (*Links, error) {
	o = o.Defaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	l := build(o)
	l.start()
	return l, nil
}

// build returns links that are not started.
func build(o Options) *Links {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // does not fail: crypto/rand ends the process where the system has no randomness
	l := &Links{
		options:  o,
		clock:    o.Clock,
		log:      o.Log,
		instance: binary.BigEndian.Uint64(seed[:]),
		peers:    make(map[csmodel.NodeID]*peer),
		listener: &listener{Listener: o.Listener, clock: o.Clock, limit: maxStrangers},
		refusals: rate.Sometimes{First: 1, Interval: refusalLogs},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for _, p := range o.Peers {
		if p.Node != o.Self {
			l.add(p, o.Self < p.Node).listed = true
		}
	}
	l.server = l.newServer()
	return l
}

func (l *Links) add(p Peer, dials bool) *peer {
	n := &peer{address: p.Address}
	n.dials.Store(dials)
	for c := range n.links {
		n.links[c] = newLink(l, p.Node, Channel(c))
	}
	l.peers[p.Node] = n
	return n
}

// AddPeer adds a peer that this node dials, whichever name is smaller. It does nothing where the peer is known.
func (l *Links) AddPeer(p Peer) error {
	if p.Node == l.options.Self {
		return ErrUnknownPeer
	}
	return l.join(p, true)
}

// Redial makes this node dial a listed peer whatever its name. It is for a node that the peer does not list.
func (l *Links) Redial(node csmodel.NodeID) error {
	if !l.enter() {
		return ErrClosed
	}
	defer l.running.Done()
	l.known.Lock()
	defer l.known.Unlock()
	p := l.peers[node]
	if p == nil {
		return ErrUnknownPeer
	}
	if p.dials.Swap(true) {
		return nil
	}
	l.dial(p)
	return nil
}

// dial starts the goroutines that open the channels to a peer.
func (l *Links) dial(p *peer) {
	for _, c := range l.options.Dials {
		l.running.Go(p.links[c].dial)
	}
}

// join adds a peer while the links run.
func (l *Links) join(p Peer, dials bool) error {
	if !l.enter() {
		return ErrClosed
	}
	defer l.running.Done()
	l.known.Lock()
	defer l.known.Unlock()
	if l.peers[p.Node] == nil {
		added := l.add(p, dials)
		added.listed = dials
		l.run(added)
	}
	return nil
}

// run starts the goroutines of a peer.
func (l *Links) run(p *peer) {
	for _, k := range p.links {
		l.running.Go(k.dispatch)
	}
	if p.dials.Load() {
		l.dial(p)
	}
}

// peer returns a peer, or nil where it is not known.
func (l *Links) peer(name csmodel.NodeID) *peer {
	l.known.RLock()
	defer l.known.RUnlock()
	return l.peers[name]
}

func (l *Links) start() {
	for _, p := range l.peers {
		l.run(p)
	}
	ticker := l.clock.NewTicker(paceInterval)
	l.running.Go(func() { l.pace(ticker) })
	l.running.Go(func() { _ = l.server.Serve(l.listener) }) // always an error; Close ends it
}

// pace drives the heartbeats and deadlines of all links.
func (l *Links) pace(t clockwork.Ticker) {
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-t.Chan():
			l.sweep(l.clock.Now())
		}
	}
}

func (l *Links) sweep(now time.Time) {
	l.known.RLock()
	defer l.known.RUnlock()
	for _, p := range l.peers {
		for _, k := range p.links {
			k.pace(now)
		}
	}
}

// enter registers a running handler of a connection, unless the links are closed.
func (l *Links) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.running.Add(1)
	return true
}

// sleep waits until the time has passed or the links are closed.
func (l *Links) sleep(d time.Duration) {
	t := l.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.ctx.Done():
	case <-t.Chan():
	}
}

// Send queues a message for a peer and returns at once. The payload must not be modified afterwards. A message with a
// non-empty supersede key takes the place of a queued one with the same key, which is then never delivered, unless it
// has already been written to the current socket.
func (l *Links) Send(to csmodel.NodeID, channel Channel, kind Kind, payload []byte, supersede string) error {
	p := l.peer(to)
	switch {
	case p == nil:
		return ErrUnknownPeer
	case channel >= channels:
		return ErrChannel
	case len(payload) > MaxPayload:
		return ErrTooLarge
	}
	return p.links[channel].send(kind, payload, supersede)
}

// Withdraw drops the queued message with a supersede key, unless it has already been written to the current socket. It is not written to
// a later one then.
func (l *Links) Withdraw(to csmodel.NodeID, channel Channel, supersede string) {
	if p := l.peer(to); p != nil && channel < channels {
		p.links[channel].withdraw(supersede)
	}
}

// Peers returns the state of each peer in ascending order of names.
func (l *Links) Peers() []PeerStatus {
	l.known.RLock()
	defer l.known.RUnlock()
	out := make([]PeerStatus, 0, len(l.peers))
	for _, name := range csmodel.SortedKeys(l.peers) {
		out = append(out, l.status(name))
	}
	return out
}

func (l *Links) status(name csmodel.NodeID) PeerStatus {
	p := l.peers[name]
	l.mu.Lock()
	address := p.address
	l.mu.Unlock()
	s := PeerStatus{Node: name, Address: address, Incarnation: p.links[Control].incarnation()}
	for c, k := range p.links {
		status := k.status()
		if Channel(c) == Control {
			s.ChannelStatus = status
		} else {
			s.add(status)
		}
		if l.uses(p, Channel(c)) || status.Sockets > 0 || status.Queued > 0 {
			s.Channels = append(s.Channels, status)
		}
	}
	return s
}

// uses tells whether this node expects a channel to a peer to be open. Listed nodes name the same channels; what an
// admitted one opens is its own choice.
func (l *Links) uses(p *peer, c Channel) bool { return p.listed && slices.Contains(l.options.Dials, c) }

// add sums the counters.
func (s *ChannelStatus) add(t ChannelStatus) {
	s.Queued += t.Queued
	s.Sockets += t.Sockets
	s.Resent += t.Resent
	s.Dropped += t.Dropped
	s.Superseded += t.Superseded
	s.Duplicates += t.Duplicates
	s.In += t.In
	s.Out += t.Out
}

// Refused returns the number of incoming connections that were not authenticated.
func (l *Links) Refused() uint64 { return l.refused.Load() + l.listener.refused.Load() }

func (l *Links) address(node csmodel.NodeID) string {
	p := l.peer(node)
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.address
}

// SetAddress changes where a peer is dialed from the next connection on.
func (l *Links) SetAddress(node csmodel.NodeID, address string) error {
	p := l.peer(node)
	if p == nil {
		return ErrUnknownPeer
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p.address = address
	return nil
}

func (l *Links) closeLinks() {
	l.known.RLock()
	defer l.known.RUnlock()
	for _, p := range l.peers {
		for _, k := range p.links {
			k.close()
		}
	}
}

// Close closes all sockets and the listener and waits until no handler runs.
func (l *Links) Close() error {
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	l.mu.Unlock()
	if !first {
		return ErrClosed
	}
	l.cancel()
	err := l.server.Close()
	l.closeLinks()
	l.running.Wait()
	return err
}
