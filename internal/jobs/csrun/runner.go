package csrun

import (
	"context"
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// ErrNotLeading reports that this node does not lead the group.
var ErrNotLeading = errors.New("csrun: not leading")

const (
	proposeTimeout = 3 * time.Second // the operator and targets give up earlier
	catchUpTimeout = time.Second
)

// runner is the actor that decides for the leader. All its state is volatile: a new leader derives it from the table and
// from looks at the targets.
type runner struct {
	leader *Leader
	o      Options
	log    *zap.Logger
	tenure
	learned csplan.Learned
	offered offered
}

// tenure is what the runner knows while its node leads in one term.
type tenure struct {
	ctx     context.Context // ends with the term
	cancel  context.CancelFunc
	term    csmodel.Term
	active  bool // leads and has every committed entry
	loaded  bool // has taken over the table
	since   time.Time
	changes uint64
	fences  int // fences of targets that were used

	targets map[csjob.TargetID]*target
	sorted  []*target                    // by name; nil where it has to be sorted anew
	pending map[csjob.TaskKey]csjob.Life // starts on their way to being committed
	// pendingOn and pendingOf are the same starts by life and counted by job.
	pendingOn map[csjob.Life][]csjob.TaskKey
	pendingOf map[csjob.ID]int
	pools     map[csmodel.PoolID]*pool
	ends      []csjob.End
	noted     map[csjob.Life]int64 // numbers of the ends that wait to be committed
	events    []csjob.TargetEvent
	waiters   []chan error
	unknown   undecided
	work      workload

	marks     int       // rounds that have marked targets
	lostAt    time.Time // when targets were last searched for lost ones
	nextRound time.Time // no round begins earlier
	synced    int       // tasks on targets that were compared with the table
	tallied   int       // targets whose runs were added up
}

func newRunner(l *Leader) *runner {
	return &runner{leader: l, o: l.options, log: l.options.Log}
}

// Receive implements actor.Actor.
func (r *runner) Receive(ctx actor.Context) { r.handle(ctx.Message()) }

func (r *runner) handle(message any) {
	switch m := message.(type) {
	case *actor.Stopping, *actor.Restarting, *stopped:
		r.resign("another node leads")
	case *leading:
		r.begin(m.term)
	case *caught:
		r.caughtUp(m.term)
	case *pulse:
		r.due(m.at)
		r.paced()
	case *beaten:
		r.beat(m)
	case *signs:
		r.signed(m)
	case *left:
		r.leave(m)
	case *looked:
		r.looked(m)
	case *ordered:
		r.ordered(m)
	case *fenced:
		r.fenced(m)
	case *committed:
		r.committed(m)
	}
}

func (r *runner) now() time.Time { return r.o.Clock.Now() }

func (r *runner) send(m any) { r.leader.root.Send(r.leader.pid, m) }

// begin prepares for leading: decisions start when the replica has every entry of earlier terms.
func (r *runner) begin(t csmodel.Term) {
	r.resign("a new term")
	r.term = t
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.since = r.now()
	r.targets = map[csjob.TargetID]*target{}
	r.pending = map[csjob.TaskKey]csjob.Life{}
	r.noted = map[csjob.Life]int64{}
	r.pendingOn = map[csjob.Life][]csjob.TaskKey{}
	r.pendingOf = map[csjob.ID]int{}
	r.pools = map[csmodel.PoolID]*pool{}
	r.log.Info("leading", zap.Uint64("term", uint64(t)))
	r.catchUp(r.ctx, t)
}

func (r *runner) catchUp(ctx context.Context, t csmodel.Term) {
	go func() {
		for ctx.Err() == nil {
			limited, cancel := context.WithTimeout(ctx, catchUpTimeout)
			err := r.o.State.Read(limited, func(*csjob.Table) {})
			cancel()
			if err == nil {
				r.send(&caught{t})
				return
			}
			r.log.Warn("replica not caught up", zap.Uint64("term", uint64(t)), zap.Error(err))
		}
	}()
}

func (r *runner) caughtUp(t csmodel.Term) {
	if t != r.term || r.ctx == nil {
		return
	}
	r.active = true
	r.log.Info("deciding", zap.Uint64("term", uint64(t)), zap.Duration("after", r.now().Sub(r.since)))
	r.round()
}

func (r *runner) resign(why string) {
	if r.ctx == nil {
		return
	}
	r.log.Info("resigned", zap.Uint64("term", uint64(r.term)), zap.String("reason", why))
	r.cancel()
	r.answer(r.waiters, ErrNotLeading)
	r.tenure = tenure{}
	r.leader.outlook.Store(&outlook{})
	if r.o.Fleet != nil {
		r.o.Fleet.Reset()
	}
}

func (r *runner) answer(waiters []chan error, err error) {
	for _, w := range waiters {
		w <- err
	}
}

// paced begins a round, or schedules it where the last one was too recent.
func (r *runner) paced() {
	if d := r.nextRound.Sub(r.now()); r.active && d > 0 {
		r.leader.schedule(&r.leader.rest, d)
		return
	}
	r.round()
}

// round makes all decisions that are due.
func (r *runner) round() {
	if !r.active {
		return
	}
	defer r.leader.schedule(&r.leader.idle, idlePulse)
	if !r.o.State.Leading() {
		return
	}
	now := r.now()
	r.work.begin(now)
	defer func() { r.ended(now, r.now()) }()
	var starts []csjob.Start
	r.o.State.View(func(t *csjob.Table) {
		r.sync(t, now)
		if now.Sub(r.lostAt) >= lostEvery {
			r.lostAt = now
			r.closeLost(now, t)
		}
		r.lap(partSync)
		silent := r.silentZones()
		starts = r.schedule(now, t, silent)
		r.lap(partSchedule)
		if r.o.Fleet != nil {
			r.o.Fleet.Round(Round{
				Now: now, Table: t, Fence: csmodel.Fence(r.term), Demand: r.leader.outlook.Load().demand,
				Arrivals: func() []Arrival { return arrivals(t, &r.learned) },
				Busy:     func(l csjob.Life) bool { return r.occupied(t, l) },
				Load: func(l csjob.Life) Load {
					if w := r.target(l); w != nil {
						return r.load(now, t, w)
					}
					return Load{}
				},
				Usable: func(l csjob.Life) bool {
					w := r.target(l)
					return w != nil && w.usable(now, r.o.Timing.Beat) && !silent.Has(w.record.Zone)
				},
			})
		}
		r.lap(partFleet)
		r.evict(now, t)
		r.lap(partEvict)
		r.sendOrders(now, t)
	})
	r.propose(starts)
	r.lap(partOrders)
	r.sendLooks(now)
	r.lap(partLooks)
}

// ended notes that a round has ended, and when the next one may begin.
func (r *runner) ended(began, now time.Time) {
	r.nextRound = later(began.Add(roundSpacing), now.Add(min(restMost, restFactor*now.Sub(began))))
	r.work.report(now, r.log, len(r.targets))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *runner) lap(p part) { r.work.lap(p, r.now(), r.o.Metrics) }

// due notes how long a round that was due at a time has waited for earlier messages.
func (r *runner) due(at time.Time) {
	if !r.active {
		return
	}
	d := r.now().Sub(at)
	r.work.delay = max(r.work.delay, d)
	r.o.Metrics.mailDelay.Observe(d.Seconds())
}

// occupied tells whether something runs on a life or is on its way there.
func (r *runner) occupied(t *csjob.Table, l csjob.Life) bool {
	return t.Busy(l) || len(r.pendingOn[l]) > 0
}

// propose commits what the round has decided.
func (r *runner) propose(starts []csjob.Start) {
	c := csjob.Command{Ends: r.ends, Targets: r.events, Starts: starts, Term: r.term}
	if len(c.Ends) == 0 && len(c.Targets) == 0 && len(c.Starts) == 0 && !r.unknown.askable() {
		return
	}
	r.unknown.asking = true
	m := &committed{term: r.term, command: c, noted: r.noted, waiters: r.waiters, began: r.now()}
	r.ends, r.events, r.waiters = nil, nil, nil
	r.noted = map[csjob.Life]int64{}
	ctx := r.ctx
	go func() {
		limited, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		v, err := r.o.State.Propose(limited, m.command)
		if err == nil && v == csjob.Refused {
			err = ErrNotLeading // its ends are not recorded, so no target may forget them
		}
		m.err = err
		r.send(m)
	}()
}

func (r *runner) committed(m *committed) {
	r.answer(m.waiters, m.err)
	if !r.active || m.term != r.term {
		return
	}
	r.work.slowest = max(r.work.slowest, r.now().Sub(m.began))
	r.decide(m)
	if m.err != nil {
		r.log.Warn("decisions not committed", zap.Int("starts", len(m.command.Starts)), zap.Int("ends", len(m.command.Ends)),
			zap.Error(m.err))
		for life := range m.noted {
			if t := r.targets[life.Target]; t != nil && t.life == life {
				t.taken = t.noted // the ends are listed again
			}
		}
		r.keepUnrun(m.command.Ends)
		return
	}
	for life, n := range m.noted {
		if t := r.targets[life.Target]; t != nil && t.life == life {
			t.noted = max(t.noted, n)
		}
	}
	r.paced()
}

// keepUnrun proposes the ends of runs that never started again, after their command was left without an outcome. No target
// lists such an end, and the run gets no further order. The table ignores an end that has been applied before.
func (r *runner) keepUnrun(ends []csjob.End) {
	for _, e := range ends {
		if e.Outcome != csjob.OutcomeUnrun {
			continue
		}
		if w := r.target(e.Life); w != nil && w.runs[runKey{e.Task, e.Attempt}] != nil {
			r.ends = append(r.ends, e)
		}
	}
}
