// Package csnode is one entry node: it runs the decision packages in actors and connects them to HTTP, to the links
// between nodes, to the disk and to metrics.
package csnode

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csdisk"
	"cowslipstream.example/cowslipstream/csdispatch"
	"cowslipstream.example/cowslipstream/csgroup"
	"cowslipstream.example/cowslipstream/cslink"
	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csrollout"
	"cowslipstream.example/cowslipstream/cssettings"
)

// ErrStopped is returned by calls to a node that is closed.
var ErrStopped = errors.New("csnode: node is closed")

// Options configure a node.
type Options struct {
	Settings cssettings.Settings
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	Log   *zap.Logger
	// Platform defaults to HTTP calls to the target on the VM.
	Platform Platform
	// HTTP and Link are the listeners. Nil listens on the addresses of the settings.
	HTTP net.Listener
	Link net.Listener
	// Peers replaces the link addresses of peers, for tests behind a proxy.
	Peers map[csmodel.NodeID]string
	// Disk opens a folder below the data folder. Nil opens real files.
	Disk func(folder string) (csdisk.Disk, error)
}

// Node is one entry node.
type Node struct {
	settings    cssettings.Settings
	clock       clockwork.Clock
	log         *zap.Logger
	platform    Platform
	options     Options
	incarnation csmodel.Incarnation
	metrics     *metrics
	dispatcher  *csdispatch.Client
	waiters     *waiters
	attempts    *attempts
	journal     *journal
	config      csdisk.Disk // holds the active configuration; nil without a disk
	disks       []io.Closer
	started     time.Time

	system *actor.ActorSystem
	tree   tree
	links  atomic.Pointer[cslink.Links]
	global *csgroup.Group
	region *csgroup.Group
	active atomic.Pointer[csrollout.Head]
	web    *webServer

	draining atomic.Bool
	closing  sync.Once
	closed   chan struct{}
	life     context.Context //nolint:containedctx // ends with Close, for the goroutines that the node starts
	end      context.CancelFunc
	starting sync.RWMutex // held while the end of life is decided, so that no goroutine starts after it
	work     sync.WaitGroup
}

// New starts a node.
func New(o Options) (*Node, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	n := &Node{
		settings:    o.Settings,
		clock:       o.Clock,
		log:         o.Log.With(zap.String("node", string(o.Settings.Node))),
		options:     o,
		platform:    o.Platform,
		started:     o.Clock.Now(),
		incarnation: csmodel.Incarnation(o.Clock.Now().UnixMicro()),
		metrics:     newMetrics(),
		dispatcher:  csdispatch.NewClient(csdispatch.Config{}),
		waiters:     newWaiters(),
		attempts:    newAttempts(),
		closed:      make(chan struct{}),
		tree:        tree{ready: make(chan struct{})},
	}
	if n.platform == nil {
		n.platform = newTargetPlatform()
	}
	n.life, n.end = context.WithCancel(context.Background())
	n.active.Store(&csrollout.Head{})
	if err := n.start(); err != nil {
		n.Close()
		return nil, trace.Wrap(err)
	}
	return n, nil
}

func (n *Node) start() error {
	if err := n.openJournal(); err != nil {
		return trace.Wrap(err)
	}
	config, err := n.openDisk("config")
	if err != nil {
		return trace.Wrap(err)
	}
	n.config = config
	n.restoreActive()
	web, err := n.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	n.web = web
	if err := n.startTree(); err != nil {
		return trace.Wrap(err)
	}
	n.web.serve()
	n.log.Info("node started", zap.Uint64("incarnation", uint64(n.incarnation)), zap.String("listen", n.Address()))
	return nil
}

// Address returns the address of the HTTP interface.
func (n *Node) Address() string { return n.web.address() }

// Drain refuses new requests as not run and waits until nothing is in flight, so that a planned stop interrupts no
// request. It lasts at least drainNotice.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	n.send(n.tree.requests, beginDrain{})
	noticed := n.clock.Now().Add(drainNotice)
	tick := n.clock.NewTicker(drainPoll)
	defer tick.Stop()
	for {
		idle, err := ask(ctx, n, n.tree.requests, func(c chan<- bool) any { return drainState{reply: c} })
		if err != nil {
			return trace.Wrap(err)
		}
		if idle && n.waiters.count() == 0 && !n.clock.Now().Before(noticed) {
			// Nothing is in flight, so the others can use this node's slots at once.
			n.broadcast(kindLeaving, nil, "leaving")
			n.log.Info("node drained")
			return nil
		}
		select {
		case <-tick.Chan():
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// Close stops the node without waiting for requests in flight. Their callers are told `unknown` where something was sent.
func (n *Node) Close() {
	n.closing.Do(func() {
		n.starting.Lock()
		n.end()
		close(n.closed)
		n.starting.Unlock()
		n.waiters.failAll()
		if n.web != nil {
			n.web.close()
		}
		n.stopTree()
		n.dispatcher.Close()
		n.work.Wait()
		n.closeDisks()
		n.log.Info("node stopped")
	})
}

const (
	drainPoll = 20 * time.Millisecond
	// drainNotice is the time for which a draining node still answers. Without it, 10 of 320 requests under load were
	// on a kept-alive connection while it was closed, and got no response. It is shorter than the Retry-After of 1 s
	// that refused callers are given, so that they return after the listener is closed.
	drainNotice = 500 * time.Millisecond
)

// Active returns the active configuration with its revision.
func (n *Node) Active() csrollout.Head { return *n.active.Load() }

// background runs f in a goroutine that Close waits for. The context ends with the node.
func (n *Node) background(limit time.Duration, f func(ctx context.Context)) {
	n.starting.RLock()
	defer n.starting.RUnlock()
	if n.life.Err() != nil {
		return
	}
	n.work.Go(func() {
		ctx, cancel := context.WithTimeout(n.life, limit)
		defer cancel()
		f(ctx)
	})
}

// peers returns the other nodes of the installation, or of a region where one is given.
func (n *Node) peers(region csmodel.Region) []csmodel.NodeID {
	var out []csmodel.NodeID
	for _, p := range n.settings.Nodes {
		if p.Name != n.settings.Node && (region == "" || p.Region == region) {
			out = append(out, p.Name)
		}
	}
	slices.Sort(out)
	return out
}
