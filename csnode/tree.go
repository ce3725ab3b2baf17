package csnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/cslog"
	"cowslipstream.example/cowslipstream/csmodel"
)

// Restarts of one child: after more than restartLimit failures within restartWindow the child is stopped.
const (
	restartLimit  = 100
	restartWindow = time.Minute
)

// Intervals of the ticks of the children.
const (
	rolloutTick  = 250 * time.Millisecond
	targetsTick  = 100 * time.Millisecond
	requestsTick = 100 * time.Millisecond
	deferredTick = 250 * time.Millisecond
	capacityTick = 250 * time.Millisecond
)

// tree holds the children of the root supervisor, which restarts each one on its own.
//
//	root
//	├── replication  one group actor for the global group and one for the region's group
//	├── rollout      the active configuration
//	├── targets      target records and slot leases of this home node
//	├── requests     request routing, idempotency keys, slots held
//	├── deferred     tasks on the targets of this home node
//	└── capacity     planner and scheduler, active on the region's leader
//
// Links and the operator interface are goroutines of net/http servers. They only pass messages to the children.
type tree struct {
	ready                                                chan struct{} // closed when the children below are set
	root, rollout, targets, requests, deferred, capacity *actor.PID
}

type tick struct{}

func (n *Node) startTree() error {
	quiet := n.log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))
	n.system = actor.NewActorSystem(cslog.Actors(quiet), actor.WithDeadLetterRequestLogging(false))
	ready := make(chan error, 1)
	strategy := actor.NewOneForOneStrategy(restartLimit, restartWindow, func(reason any) actor.Directive {
		n.metrics.restarts.Inc()
		n.log.Error("child restarted", zap.Any("reason", reason))
		return actor.RestartDirective
	})
	props := actor.PropsFromFunc(func(c actor.Context) {
		if _, ok := c.Message().(*actor.Started); ok {
			ready <- n.spawnChildren(c)
		}
	}, actor.WithSupervisor(strategy))
	n.tree.root = n.system.Root.Spawn(props)
	if err := <-ready; err != nil {
		return trace.Wrap(err)
	}
	return n.openLinks()
}

func (n *Node) spawnChildren(c actor.Context) error {
	if err := n.openGroups(c); err != nil {
		return trace.Wrap(err)
	}
	n.tree.rollout = n.spawn(c, "rollout", rolloutTick, func() actor.Actor { return newRolloutActor(n) })
	n.tree.targets = n.spawn(c, "targets", targetsTick, func() actor.Actor { return newTargetsActor(n) })
	n.tree.requests = n.spawn(c, "requests", requestsTick, func() actor.Actor { return newRequestsActor(n) })
	n.tree.deferred = n.spawn(c, "deferred", deferredTick, func() actor.Actor { return newDeferredActor(n) })
	n.tree.capacity = n.spawn(c, "capacity", capacityTick, func() actor.Actor { return newCapacityActor(n) })
	close(n.tree.ready)
	return nil
}

// spawn starts a child and sends it ticks. A child that is slower than its ticks gets no backlog of them. It handles its
// first message when all children are set.
func (n *Node) spawn(c actor.SpawnerContext, name string, interval time.Duration, produce actor.Producer) *actor.PID {
	pending := new(atomic.Bool)
	clearPending := func(next actor.ReceiverFunc) actor.ReceiverFunc {
		return func(c actor.ReceiverContext, e *actor.MessageEnvelope) {
			<-n.tree.ready
			if _, ok := e.Message.(tick); ok {
				pending.Store(false)
			}
			next(c, e)
		}
	}
	pid := c.SpawnPrefix(actor.PropsFromProducer(produce, actor.WithReceiverMiddleware(clearPending)), name)
	ticker := n.clock.NewTicker(interval)
	n.work.Go(func() {
		defer ticker.Stop()
		for {
			select {
			case <-n.closed:
				return
			case <-ticker.Chan():
				if pending.CompareAndSwap(false, true) {
					n.send(pid, tick{})
				}
			}
		}
	})
	return pid
}

func (n *Node) stopTree() {
	n.closeGroups()
	if l := n.links.Load(); l != nil {
		if err := l.Close(); err != nil {
			n.log.Warn("links closed", zap.Error(err))
		}
	}
	if n.system != nil {
		n.system.Root.StopFuture(n.tree.root).Wait() //nolint:errcheck // the tree ends with the process
		n.system.Shutdown()
	}
}

// send passes a message to a child.
func (n *Node) send(pid *actor.PID, message any) { n.system.Root.Send(pid, message) }

// treeReady tells whether the children can get messages. Hooks of the groups may run earlier; the children read the
// replicas when they start.
func (n *Node) treeReady() bool {
	select {
	case <-n.tree.ready:
		return true
	default:
		return false
	}
}

// ask sends a message that holds a reply channel and waits for the reply.
func ask[T any](ctx context.Context, n *Node, pid *actor.PID, message func(chan<- T) any) (T, error) {
	reply := make(chan T, 1)
	n.send(pid, message(reply))
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	case <-n.closed:
		var zero T
		return zero, ErrStopped
	}
}

// self tells whether a node id is this node's.
func (n *Node) self(id csmodel.NodeID) bool { return id == n.settings.Node }
