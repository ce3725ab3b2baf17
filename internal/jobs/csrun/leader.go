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
	// pulseDelay collects events before a round of decisions. It is small against the shortest objective of 600 ms.
	pulseDelay = 10 * time.Millisecond
	// idlePulse is the interval of rounds without events, for deadlines.
	idlePulse = 100 * time.Millisecond
	// lostEvery is the interval of searches for targets whose lease is over, small against the slack of leases of 500 ms.
	lostEvery = 50 * time.Millisecond
	// roundSpacing is the least time between the starts of two rounds, the same as for collecting events. A commit takes
	// about 8 ms, and without the spacing each one of several on their way would bring a round of its own.
	roundSpacing = 10 * time.Millisecond
	// restFactor is the rest after a round as a multiple of its duration. Rounds take a quarter of the time at most, so that
	// a burst of work leaves the larger part to the group and to the calls. A rest of nine times (plays of
	// oppl-breizh-grown quiet-1) left 12 rounds in a second, each with a hundred starts at once that delayed the commits.
	restFactor = 3
	// restMost bounds the rest, the same as between rounds without events. A round that was interrupted for a second must
	// not keep looks and leases waiting for three more.
	restMost = idlePulse
)

// State is the replicated state as a leader uses it.
type State interface {
	// View calls f with the local replica. f must only read and must not keep the table.
	View(f func(*csjob.Table))
	// Read calls f like View, after every command that was committed before.
	Read(ctx context.Context, f func(*csjob.Table)) error
	// Propose commits a command.
	Propose(context.Context, csjob.Command) (csjob.Verdict, error)
	// Leading tells whether this node leads and its lease is valid.
	Leading() bool
}

// Options configure a Leader.
type Options struct {
	State   State
	Workers Workers
	Clock   clockwork.Clock
	Log     *zap.Logger
	Metrics *Metrics
	Timing  Timing
	Spawner actor.SpawnerContext
	// Fleet is told of each round, for decisions about VMs. It may be nil.
	Fleet Fleet
}

// Fleet decides about the VMs that targets run on.
type Fleet interface {
	// Round is called on the leader in each round. It must not block, and must not keep the table.
	Round(Round)
	// Held returns the lives that must not get new tasks, because their VM is about to be taken away. Tasks that last are
	// stopped there, as far as their availability allows, and so are runs that can be started again in time or are late.
	Held() csmodel.Set[csjob.Life]
	// Due returns the lives whose VMs will be taken away soon. Tasks that last should run elsewhere.
	Due() csmodel.Set[csjob.Life]
	// Dead tells whether a VM order has ended a life.
	Dead(csjob.Life) bool
	// Reset is called when this node stops leading.
	Reset()
}

// Round is what a Fleet decides from.
type Round struct {
	Now    time.Time
	Table  *csjob.Table
	Fence  csmodel.Fence
	Demand Demand
	// Arrivals returns the jobs that the table still knows, for what is learned from them.
	Arrivals func() []Arrival
	Busy     func(csjob.Life) bool // something runs there or is on its way
	Load     func(csjob.Life) Load // what runs there
	Usable   func(csjob.Life) bool // the target answers
}

// Load is what runs on a target.
type Load struct {
	Timely  csmodel.MilliCPU // of runs whose job can meet its objective
	Lasting csmodel.MilliCPU // of tasks that last
	Lasts   bool             // a task that lasts runs there
	Clear   time.Duration    // until the other runs have ended or can have been stopped
}

// Demand is the work that waits and runs, by pool.
type Demand map[csmodel.PoolID]PoolDemand

// PoolDemand is the work of one pool.
type PoolDemand struct {
	Waiting csmodel.MilliCPU // of tasks that could start now and are not late
	Behind  csmodel.MilliCPU // of tasks that have missed their objective
	Running csmodel.MilliCPU // of tasks that end by themselves, whose job is not late, on VMs that stay in the pool
	Lasting csmodel.MilliCPU // of tasks that last, running or waiting
	Offered csmodel.MilliCPU // work that arrived lately, as the cores that it keeps busy
	Jobs    int              // that arrived in the same time
	Span    time.Duration    // usual time from the first start to the last end of a job that arrived
	Targets int              // that can take tasks now
	Free    csmodel.MilliCPU // of these, after what was placed
	// Width is the number of targets that the tasks of the widest step that lasts have to be spread over.
	Width int
	// Memory is the memory of the tasks that last, running or waiting.
	Memory csjob.MiB
}

// backlogShare is the part of the waiting work for which capacity is wanted at once. The rest starts as runs end: the
// objective leaves a task about as long to wait as it takes.
const backlogShare = 1.0

// Need returns the capacity that the pool could use after some time.
func (d PoolDemand) Need(after time.Duration) csmodel.MilliCPU {
	present := d.Running + csmodel.MilliCPU(backlogShare*float64(d.Waiting))
	return d.Lasting + present + d.Ramped(after, max(0, d.Offered-present))
}

// Ramped returns the part of newly arriving work that runs after some time. The cores that it keeps busy in the long run
// are reached only after the span of its jobs: later steps start when earlier ones have ended.
func (d PoolDemand) Ramped(after time.Duration, work csmodel.MilliCPU) csmodel.MilliCPU {
	if d.Span <= after {
		return work
	}
	return csmodel.MilliCPU(float64(work) * float64(after) / float64(d.Span))
}

// Timing holds the durations that a leader works with.
type Timing struct {
	Lease        time.Duration // granted to what runs on a target
	LongestLease time.Duration // that any leader can have granted
	Beat         time.Duration // interval of heartbeats
	CallTimeout  time.Duration // of one call to a target
	LookSpacing  time.Duration // least time between two looks at a target
	LookWait     time.Duration // how long a look waits for an end
}

// Leader runs tasks while its node leads the group.
type Leader struct {
	options Options
	root    *actor.RootContext
	pid     *actor.PID
	poked   atomic.Bool // a round is due after pulseDelay
	idle    atomic.Bool // a round is due after idlePulse
	rest    atomic.Bool // a round is due when the next one may begin
	outlook atomic.Pointer[outlook]
}

// Messages of the actor.
type (
	pulse   struct{ at time.Time }
	leading struct{ term csmodel.Term }
	caught  struct{ term csmodel.Term }
	stopped struct{}
	beaten  struct {
		beat Beat
		done chan error
	}
	left struct {
		life csjob.Life
		done chan error
	}
	looked struct {
		term    csmodel.Term
		life    csjob.Life
		order   LookOrder
		started time.Time
		arrived time.Time // when the answer arrived, which may be long before it is handled
		look    Look
		err     error
	}
	ordered struct {
		term  csmodel.Term
		life  csjob.Life
		fence csmodel.Fence
		key   runKey
		kind  orderKind
		began time.Time
		// arrived is when the answer arrived, which may be long before it is handled.
		arrived time.Time
		reply   Reply
		err     error
	}
	fenced struct {
		term csmodel.Term
		beat Beat
		ends []Ended
		err  error
	}
	committed struct {
		term    csmodel.Term
		command csjob.Command
		noted   map[csjob.Life]int64
		waiters []chan error
		began   time.Time
		err     error
	}
)

// New starts the actor.
func New(o Options) *Leader {
	l := &Leader{options: o, root: o.Spawner.ActorSystem().Root}
	l.outlook.Store(&outlook{})
	l.pid = o.Spawner.Spawn(actor.PropsFromProducer(func() actor.Actor { return newRunner(l) }))
	return l
}

// Changed tells that the replicated state has changed. It does not block.
func (l *Leader) Changed() { l.poke() }

// poke schedules a round soon, unless one is due.
func (l *Leader) poke() { l.schedule(&l.poked, pulseDelay) }

func (l *Leader) schedule(due *atomic.Bool, d time.Duration) {
	if due.CompareAndSwap(false, true) {
		l.options.Clock.AfterFunc(d, func() {
			due.Store(false)
			l.root.Send(l.pid, &pulse{l.options.Clock.Now()})
		})
	}
}

// Lead tells that this node leads in a term.
func (l *Leader) Lead(t csmodel.Term) { l.root.Send(l.pid, &leading{t}) }

// Follow tells that this node does not lead.
func (l *Leader) Follow() { l.root.Send(l.pid, &stopped{}) }

// Beat takes in a heartbeat. It returns when what the heartbeat changes is committed.
func (l *Leader) Beat(ctx context.Context, b Beat) error {
	done := make(chan error, 1)
	l.root.Send(l.pid, &beaten{b, done})
	return wait(ctx, done)
}

// Leave takes in the announcement of a target's end.
func (l *Leader) Leave(ctx context.Context, life csjob.Life) error {
	done := make(chan error, 1)
	l.root.Send(l.pid, &left{life, done})
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
