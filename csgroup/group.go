package csgroup

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/csraft"
)

// Defaults of Options.
const (
	DefaultSnapshotBytes   = 4 * csmodel.MiB
	DefaultSnapshotEntries = 10_000
	DefaultTick            = 50 * time.Millisecond
	DefaultResend          = 500 * time.Millisecond
)

// maxCommandBytes limits a machine command, so that its entry fits into one frame of a link.
const maxCommandBytes = csmodel.MiB + 64*csmodel.KiB

// maxQueuedMessages limits the messages of other nodes that wait for the actor; more are dropped.
const maxQueuedMessages = 8192

// maxWaitingCalls limits the proposals and reads that wait for an outcome.
const maxWaitingCalls = 1 << 16

// Group is one replicated group on this node.
type Group struct {
	options   Options
	system    *actor.ActorSystem // own system, where no spawner is given
	root      *actor.RootContext
	pid       *actor.PID
	replica   replica
	queued    atomic.Int64
	waiting   atomic.Int64
	closed    atomic.Bool
	stop      chan struct{}
	closeOnce sync.Once // of Close
	stopOnce  sync.Once // closes stop
	status    statusSource
}

// Defaults returns the options with the default for each zero value.
func (o Options) Defaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.Resend == 0 {
		o.Resend = DefaultResend
	}
	o.Config = o.Config.Defaults()
	o.Config.Volatile = o.Disk == nil
	return o
}

// Validate reports why the options cannot be used.
func (o Options) Validate() error {
	if o.Machine == nil || o.Send == nil {
		return fmt.Errorf("%w: Machine and Send are required", csraft.ErrConfig)
	}
	return o.Config.Validate()
}

// New starts the actor, which opens the folder, and returns the group. A folder that cannot be opened is no error of New:
// the node follows as a non-voter, reports the error in Status and retries.
func New(o Options) (*Group, error) {
	o = o.Defaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	initial, err := o.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	g := &Group{options: o, stop: make(chan struct{})}
	g.replica = replica{machine: o.Machine, initialState: initial}
	spawner := o.Spawner
	if spawner == nil {
		g.system = actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
		spawner = g.system.Root
	}
	g.root = spawner.ActorSystem().Root
	props := actor.PropsFromProducer(func() actor.Actor { return newRunner(g) })
	g.pid = spawner.Spawn(props)
	if !o.manualTicks {
		go g.runTicker()
	}
	return g, nil
}

func discardLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

// runTicker sends a tick to the actor at each interval, unless the last one still waits.
func (g *Group) runTicker() {
	ticker := g.options.Clock.NewTicker(g.options.Tick)
	defer ticker.Stop()
	var waiting atomic.Bool
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.Chan():
			if waiting.CompareAndSwap(false, true) {
				g.root.Send(g.pid, &tick{done: func() { waiting.Store(false) }})
			}
		}
	}
}

// Receive hands in a message that the link of a node delivered. It does not block.
func (g *Group) Receive(from csmodel.NodeID, m csraft.Message) {
	if g.closed.Load() {
		return
	}
	if g.queued.Add(1) > maxQueuedMessages {
		g.queued.Add(-1)
		return
	}
	m.From = from
	g.root.Send(g.pid, &received{message: m})
}

// Propose replicates a machine command and returns the result of Apply. It may be called on any node: the proposal is
// forwarded to the leader and sent again under the same id until the context ends. The local replica may apply the entry
// a little later than Propose returns.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if csmodel.Bytes(len(data)) > maxCommandBytes {
		return nil, fmt.Errorf("%w: command of %d bytes", ErrRefused, len(data))
	}
	return g.execute(newCall(ctx, callPropose, csraft.Proposal{Data: slices.Clone(data)}))
}

// Read calls f with a machine that includes every proposal that had finished before the call (linearizable). On a node
// that is not the leader it asks the leader for the index to wait for. It returns ErrNoLeader where no leader answered
// until the context ended. f must only read and must not keep the machine.
func (g *Group) Read(ctx context.Context, f func(csraft.Machine)) error {
	if _, err := g.execute(newCall(ctx, callRead, csraft.Proposal{})); err != nil {
		return err
	}
	g.View(f)
	return nil
}

// View calls f with the local replica, which may be behind. f must only read and must not keep the machine.
func (g *Group) View(f func(csraft.Machine)) { g.replica.view(f) }

// ChangeMember adds, promotes, demotes or removes one member and returns when the change is committed. An incarnation of
// zero is the one that the group knows. ErrRefused tells that the leader refused the latest attempt.
func (g *Group) ChangeMember(ctx context.Context, c csraft.Change) error {
	_, err := g.execute(newCall(ctx, callChange, csraft.Proposal{Change: &c}))
	return err
}

// Transfer hands the leadership to a voter that is caught up. It returns when this node does not lead or no other voter
// is reachable.
func (g *Group) Transfer(ctx context.Context) error {
	_, err := g.execute(newCall(ctx, callTransfer, csraft.Proposal{}))
	return err
}

// execute sends the call to the actor and waits for its outcome.
func (g *Group) execute(c *call) ([]byte, error) {
	if g.closed.Load() {
		return nil, ErrClosed
	}
	if c.expired() {
		return nil, c.unsentError()
	}
	defer g.waiting.Add(-1)
	if g.waiting.Add(1) > maxWaitingCalls {
		return nil, fmt.Errorf("%w: too many calls wait", ErrRefused)
	}
	g.root.Send(g.pid, c)
	select {
	case o := <-c.done:
		return o.result, o.err
	case <-c.ctx.Done():
	case <-g.stop:
	}
	select {
	case o := <-c.done: // finished at the same time
		return o.result, o.err
	default:
	}
	if c.stage.CompareAndSwap(stageWaiting, stageAbandoned) {
		if g.closed.Load() {
			return nil, ErrClosed
		}
		return nil, c.unsentError()
	}
	return nil, ErrTimeout
}

// Close transfers the leadership where this node leads, stops the actor and ends waiting calls. It takes at most one
// election timeout.
func (g *Group) Close() error {
	g.closeOnce.Do(func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), g.options.Clock, g.options.Config.Election)
		defer cancel()
		_ = g.Transfer(ctx) // the election timeout of the others does the same later
		g.stopActor()
	})
	return nil
}

// stopCalls ends waiting calls and the ticks, also where the supervisor stops the actor.
func (g *Group) stopCalls() {
	g.closed.Store(true)
	g.stopOnce.Do(func() { close(g.stop) })
}

// stopActor stops the actor without a transfer.
func (g *Group) stopActor() {
	g.stopCalls()
	_ = g.root.StopFuture(g.pid).Wait() // the actor always stops; Wait reports a disk that takes longer than its limit
	if g.system != nil {
		g.system.Shutdown()
	}
}
