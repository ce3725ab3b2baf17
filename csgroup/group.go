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

// Defaults of the fields of Options with the same names.
const (
	DefaultSnapshotBytes   = 4 * csmodel.MiB
	DefaultSnapshotEntries = 10_000
	DefaultTick            = 50 * time.Millisecond
	DefaultResend          = 500 * time.Millisecond
)

// maxCommandBytes limits a command of the state machine, so that its entry fits into one frame of a link.
const maxCommandBytes = csmodel.MiB + 64*csmodel.KiB

// maxQueuedMessages limits the messages of other nodes in the mailbox of the actor; further ones are dropped.
const maxQueuedMessages = 8192

// maxWaitingCalls limits the calls that wait for an outcome; further ones fail with ErrRefused.
const maxWaitingCalls = 1 << 16

// Group is the local member of one replicated group. Its methods may be called concurrently.
type Group struct {
	options   Options
	system    *actor.ActorSystem // nil if Options.Spawner is set
	root      *actor.RootContext
	pid       *actor.PID
	replica   replica
	queued    atomic.Int64
	waiting   atomic.Int64
	closed    atomic.Bool
	stop      chan struct{}
	closeOnce sync.Once // runs Close once
	stopOnce  sync.Once // closes stop
	status    statusSource
}

// Defaults returns a copy of the options in which zero values are replaced by their defaults.
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

// Validate returns an error that wraps csraft.ErrConfig if Machine or Send is nil, or the error of Config.Validate.
func (o Options) Validate() error {
	if o.Machine == nil || o.Send == nil {
		return fmt.Errorf("%w: Machine and Send are required", csraft.ErrConfig)
	}
	return o.Config.Validate()
}

// New starts the actor, which opens the folder, and returns the group. It fails if the options are invalid or Machine.Snapshot
// fails. If the folder cannot be opened, New succeeds: the node follows without a vote, reports the error in Status and
// retries.
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
	props := actor.PropsFromProducer(func() actor.Actor { return newRunner(g) }, o.Actor...)
	g.pid = spawner.Spawn(props)
	if !o.manualTicks {
		go g.runTicker()
	}
	return g, nil
}

func discardLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

// runTicker sends a tick to the actor at each interval, unless the previous one is still in its mailbox.
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

// Receive passes a message from the link of a node to the actor. It does not block; the message is dropped if the group is
// closed or too many messages are queued.
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

// Propose replicates a command and returns the result of Machine.Apply. It may be called on any node: the proposal is
// forwarded to the leader and resent with the same ID until the context ends. The local replica may apply the entry after
// Propose has returned. The errors are ErrNoLeader, ErrTimeout, ErrRefused and ErrClosed; only after ErrTimeout may the command
// have run or still run.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if csmodel.Bytes(len(data)) > maxCommandBytes {
		return nil, fmt.Errorf("%w: command of %d bytes exceeds the limit of %d", ErrRefused, len(data), maxCommandBytes)
	}
	return g.execute(newCall(ctx, callPropose, csraft.Proposal{Data: slices.Clone(data)}))
}

// Read is a linearizable read: it calls f when the local machine includes every proposal that finished before the call.
// A node that is not the leader asks the leader for the index to wait for. Read returns ErrNoLeader if no leader answered
// before the context ended. f must not modify or retain the machine.
func (g *Group) Read(ctx context.Context, f func(csraft.Machine)) error {
	if _, err := g.execute(newCall(ctx, callRead, csraft.Proposal{})); err != nil {
		return err
	}
	g.View(f)
	return nil
}

// View calls f with the machine of the local replica, which may be stale. f must not modify or retain the machine.
func (g *Group) View(f func(csraft.Machine)) { g.replica.view(f) }

// ChangeMember adds, promotes, demotes or removes one member and returns when the change is committed. Incarnation zero
// stands for the one that the group knows. ErrRefused reports that the leader refused the latest attempt.
func (g *Group) ChangeMember(ctx context.Context, c csraft.Change) error {
	_, err := g.execute(newCall(ctx, callChange, csraft.Proposal{Change: &c}))
	return err
}

// Transfer transfers the leadership to a voter whose log is up to date. It returns when this node does not lead or no other
// voter is reachable.
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
		return nil, fmt.Errorf("%w: too many waiting calls", ErrRefused)
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

// Close transfers the leadership if this node leads, stops the actor and ends waiting calls. The transfer takes at most one
// election timeout. Close always returns nil.
func (g *Group) Close() error {
	g.closeOnce.Do(func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), g.options.Clock, g.options.Config.Election)
		defer cancel()
		_ = g.Transfer(ctx) // otherwise the others elect a leader after their election timeout
		g.stopActor()
	})
	return nil
}

// stopCalls ends waiting calls and the ticker. It also runs when a supervisor stops the actor.
func (g *Group) stopCalls() {
	g.closed.Store(true)
	g.stopOnce.Do(func() { close(g.stop) })
}

// stopActor stops the actor without transferring the leadership.
func (g *Group) stopActor() {
	g.stopCalls()
	_ = g.root.StopFuture(g.pid).Wait() // Wait times out on a slow disk, but the actor still stops
	if g.system != nil {
		g.system.Shutdown()
	}
}
