package csrun

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
)

const (
	// batchDelay is how long a round of decisions is delayed after an event, so that it handles several events at once. It is
	// small compared to the shortest job objective, 600 ms.
	batchDelay = 10 * time.Millisecond
	// idleRoundInterval is the interval between rounds without events. These rounds handle deadlines.
	idleRoundInterval = 100 * time.Millisecond
	// lostCheckInterval is the interval between checks for targets whose lease has expired. It is small compared to
	// leaseMargin, 500 ms.
	lostCheckInterval = 50 * time.Millisecond
	// minRoundInterval is the minimum time between the starts of two rounds, the same as batchDelay. A commit takes about
	// 8 ms, and without this limit each of several concurrent commits would trigger a round of its own.
	minRoundInterval = 10 * time.Millisecond
	// pauseFactor is the pause after a round as a multiple of the round's duration. With 3, rounds take at most a quarter of
	// the time and leave the rest to consensus and to calls to targets. A factor of 9 allowed only 12 rounds per second, each
	// with about a hundred starts at once, which delayed the commits.
	pauseFactor = 3
	// maxPause is the upper bound of the pause after a round. Without it, a round that was interrupted for one second would
	// delay polls and lease extensions by three more.
	maxPause = idleRoundInterval
)

// State gives a leader access to the replicated state.
type State interface {
	// View calls f with the local replica. f must not modify or retain the table.
	View(f func(*csjob.Table))
	// Read calls f like View once the replica has applied every command that was committed before the call.
	Read(ctx context.Context, f func(*csjob.Table)) error
	// Propose commits a command and returns the verdict of the table. After an error it is unknown whether the command will
	// be applied.
	Propose(context.Context, csjob.Command) (csjob.Verdict, error)
	// Leading reports whether this node is the leader and its leader lease is valid.
	Leading() bool
}

// Options configure a Leader.
type Options struct {
	State   State
	Workers TargetClient
	Clock   clockwork.Clock
	Log     *zap.Logger
	Metrics *Metrics
	Timing  Timing
	Spawner actor.SpawnerContext
	Actor   []actor.PropsOption // further properties of the actor, for example a dispatcher
	// Fleet is called in each round and decides about VMs. It may be nil.
	Fleet Fleet
}

// Fleet manages the VMs that targets run on.
type Fleet interface {
	// Round is called on the leader in each round. It must not block and must not retain the table.
	Round(Round)
	// Evicting returns the incarnations whose VM is about to be reclaimed. They get no new tasks. Long-running tasks on them are stopped as
	// far as the availability of their step allows, as are runs that can be restarted in time or are late. The caller must not
	// modify the set.
	Evicting() csmodel.Set[csjob.Incarnation]
	// EvictingSoon returns the incarnations whose VMs will be reclaimed soon. Long-running tasks should be placed elsewhere. The
	// caller must not modify the set.
	EvictingSoon() csmodel.Set[csjob.Incarnation]
	// MaintenanceDue returns the incarnations whose VMs have to begin their maintenance now to meet the deadline of a wave. Runs of late
	// jobs there are stopped. The caller must not modify the set.
	MaintenanceDue() csmodel.Set[csjob.Incarnation]
	// Capacity returns the CPU of the VMs. The caller may modify it.
	Capacity() VMCapacity
	// Ended reports whether a VM order has ended the incarnation.
	Ended(csjob.Incarnation) bool
	// Reset is called when this node loses leadership.
	Reset()
}

// Round is the input of a Fleet's decisions in one round.
type Round struct {
	Now    time.Time
	Table  *csjob.Table
	Fence  csmodel.Fence
	Demand Demand
	// Arrivals returns the accepted jobs that are still in the table, as input for demand forecasts.
	Arrivals func() []Arrival
	Busy     func(csjob.Incarnation) bool // a run is open there or a start is pending
	Load     func(csjob.Incarnation) Load // the load of the runs there
	Usable   func(csjob.Incarnation) bool // the target answers calls and can take tasks
}

// Load summarizes the runs on a target.
type Load struct {
	OnTime         csmodel.MilliCPU // CPU of runs whose job can still meet its objective
	LongRunning    csmodel.MilliCPU // CPU of long-running tasks
	HasLongRunning bool             // a long-running task runs there
	DrainTime      time.Duration    // time until all other runs have ended or can be stopped
}

// Demand is the waiting and running work by pool.
type Demand map[csmodel.PoolID]PoolDemand

// PoolDemand is the waiting and running work of one pool, and the capacity that is left for it.
type PoolDemand struct {
	Waiting      csmodel.MilliCPU // CPU of tasks that could start now and are not late
	Late         csmodel.MilliCPU // CPU of waiting tasks that have missed their objective
	Running      csmodel.MilliCPU // CPU of batch tasks whose job is not late, on VMs that stay in the pool
	LongRunning  csmodel.MilliCPU // CPU of long-running tasks, running or waiting
	Offered      csmodel.MilliCPU // CPU that recently arrived work keeps busy on average
	Jobs         int              // number of jobs that arrived in the same period
	CriticalPath time.Duration    // typical time from the first start to the last end of a job
	Targets      int              // number of targets that can take tasks now
	Free         csmodel.MilliCPU // free CPU of these targets after placement
	// MinTargets is the minimum number of targets that the long-running step with the widest spread needs.
	MinTargets int
	// Memory is the memory of the long-running tasks, running or waiting, in MiB.
	Memory csjob.MiB
}

// backlogShare is the fraction of the waiting work for which capacity is needed immediately. The remainder can start when
// other runs end, because the objective lets a task wait about as long as it runs.
const backlogShare = 1.0

// CapacityNeeded returns the CPU capacity that the pool could use when the given time has passed.
func (d PoolDemand) CapacityNeeded(after time.Duration) csmodel.MilliCPU {
	present := d.Running + csmodel.MilliCPU(backlogShare*float64(d.Waiting))
	return d.LongRunning + present + d.RampedUp(after, max(0, d.Offered-present))
}

// RampedUp returns the part of newly arriving work that is running when the given time has passed. Demand grows linearly over
// the span of a job, because later steps start only when earlier ones have ended.
func (d PoolDemand) RampedUp(after time.Duration, work csmodel.MilliCPU) csmodel.MilliCPU {
	if d.CriticalPath <= after {
		return work
	}
	return csmodel.MilliCPU(float64(work) * float64(after) / float64(d.CriticalPath))
}

// Timing holds the durations that configure a leader.
type Timing struct {
	Lease             time.Duration // lease granted to the runs on a target
	LongestLease      time.Duration // longest lease that any leader, past or present, may have granted
	HeartbeatInterval time.Duration // heartbeat interval
	CallTimeout       time.Duration // timeout of one call to a target
	MinPollInterval   time.Duration // minimum time between two polls of a target
	PollWait          time.Duration // how long a poll waits for a run to end
}

// Leader schedules tasks on targets while its node leads the group. Its methods are safe for concurrent use.
type Leader struct {
	options          Options
	root             *actor.RootContext
	pid              *actor.PID
	eventRoundDue    atomic.Bool // a round is scheduled after batchDelay
	idleRoundDue     atomic.Bool // a round is scheduled after idleRoundInterval
	deferredRoundDue atomic.Bool // a round is scheduled for the earliest permitted time
	demand           atomic.Pointer[demandSnapshot]
	admission        atomic.Pointer[Admission] // nil until a round of the term has ended
}

// Messages of the actor.
type (
	roundDue          struct{ at time.Time }
	termStarted       struct{ term csmodel.Term }
	replicaReady      struct{ term csmodel.Term }
	leadershipLost    struct{}
	heartbeatReceived struct {
		heartbeat Heartbeat
		done      chan error
	}
	leaveReceived struct {
		incarnation csjob.Incarnation
		done        chan error
	}
	pollResult struct {
		term        csmodel.Term
		incarnation csjob.Incarnation
		order       PollRequest
		sentAt      time.Time
		arrivedAt   time.Time // when the answer arrived, possibly long before it is handled
		response    PollResponse
		err         error
	}
	orderResult struct {
		term        csmodel.Term
		incarnation csjob.Incarnation
		fence       csmodel.Fence
		key         runKey
		kind        orderKind
		sentAt      time.Time
		// arrivedAt is when the answer arrived, possibly long before it is handled.
		arrivedAt time.Time
		reply     Reply
		err       error
	}
	restartFenced struct {
		term      csmodel.Term
		heartbeat Heartbeat
		ends      []RunEnd
		err       error
	}
	addressChecked struct {
		term        csmodel.Term
		incarnation csjob.Incarnation
		fence       csmodel.Fence
		response    PollResponse
		err         error
	}
	commitResult struct {
		term       csmodel.Term
		command    csjob.Command
		endNumbers map[csjob.Incarnation]int64
		waiters    []chan error
		decidedAt  time.Time // when the round ended that made the decisions
		proposedAt time.Time
		err        error
	}
)

// New starts the actor of a Leader. It decides nothing until Lead is called.
func New(o Options) *Leader {
	l := &Leader{options: o, root: o.Spawner.ActorSystem().Root}
	l.demand.Store(&demandSnapshot{})
	l.pid = o.Spawner.Spawn(actor.PropsFromProducer(func() actor.Actor { return newRunner(l) }, o.Actor...))
	return l
}

// Changed notifies the leader that the replicated state has changed. It does not block.
func (l *Leader) Changed() { l.requestRound() }

// requestRound schedules a round after batchDelay unless one is already scheduled.
func (l *Leader) requestRound() { l.scheduleRound(&l.eventRoundDue, batchDelay) }

func (l *Leader) scheduleRound(due *atomic.Bool, d time.Duration) {
	if due.CompareAndSwap(false, true) {
		l.options.Clock.AfterFunc(d, func() {
			due.Store(false)
			l.root.Send(l.pid, &roundDue{l.options.Clock.Now()})
		})
	}
}

// Lead notifies the leader that this node leads in the given term.
func (l *Leader) Lead(t csmodel.Term) { l.root.Send(l.pid, &termStarted{t}) }

// Follow notifies the leader that this node does not lead.
func (l *Leader) Follow() { l.root.Send(l.pid, &leadershipLost{}) }

// Heartbeat handles a heartbeat and returns once the changes it reports are committed. It returns ErrNotLeading if this node
// doesn't lead, the error of the commit, or the error of ctx.
func (l *Leader) Heartbeat(ctx context.Context, b Heartbeat) error {
	done := make(chan error, 1)
	l.root.Send(l.pid, &heartbeatReceived{b, done})
	return wait(ctx, done)
}

// Leave handles a target's announcement that it is leaving and returns once that is committed. Errors are those of Heartbeat.
func (l *Leader) Leave(ctx context.Context, incarnation csjob.Incarnation) error {
	done := make(chan error, 1)
	l.root.Send(l.pid, &leaveReceived{incarnation, done})
	return wait(ctx, done)
}

func wait(ctx context.Context, done chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
