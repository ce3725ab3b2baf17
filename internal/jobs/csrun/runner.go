package csrun

import (
	"context"
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// ErrNotLeading reports that this node does not lead the group.
var ErrNotLeading = errors.New("csrun: not leading")

const (
	proposeTimeout = 3 * time.Second // longer than the timeouts of the operator and of targets
	catchUpTimeout = time.Second
	// unknownPoolLogInterval is the minimum time between two log lines about heartbeats with an unknown pool.
	unknownPoolLogInterval = 10 * time.Second
)

// runner is the actor that makes the leader's decisions. All its state is volatile: a new leader rebuilds it from the table
// and by polling the targets.
type runner struct {
	leader  *Leader
	options Options
	log     *zap.Logger
	termState
	learned csplan.LearnedEstimator
	offered offeredLoad
	// unknownPools limits the log lines about heartbeats with an unknown pool.
	unknownPools rate.Sometimes
}

// termState is the runner's state for the term in which its node leads.
type termState struct {
	ctx            context.Context // cancelled at the end of the term
	cancel         context.CancelFunc
	term           csmodel.Term
	active         bool // this node leads and its replica has every committed entry
	tableLoaded    bool // the table was read at least once
	syncingAll     bool // the whole table is being read
	since          time.Time
	appliedChanges uint64
	issuedFences   int // number of fences issued in this term

	targets       map[csjob.TargetID]*target
	sorted        []*target // by name; nil if it has to be rebuilt
	addresses     addressIndex
	pendingStarts map[csjob.TaskKey]csjob.Incarnation // starts that are proposed and not committed yet
	// pendingByIncarnation and pendingByJob index the same starts: the tasks by incarnation, and their number by job.
	pendingByIncarnation map[csjob.Incarnation][]csjob.TaskKey
	pendingByJob         map[csjob.ID]int
	pools                map[csmodel.PoolID]*poolPlan
	initialPolls         []*target // targets that wait for their first poll, the most urgent first
	proposedEnds         []csjob.End
	endNumbers           map[csjob.Incarnation]int64 // highest number of the ends to propose, by incarnation
	targetChanges        []targetChange
	begun                csmodel.Set[csjob.ID] // jobs of which a target confirmed a start that the table may not have recorded
	inDoubt              inDoubtCommands
	quotas               quotaWaits
	stats                leaderStats
	waits                taskWaits
	endsReadAt           time.Time // when the first end was read that is not proposed yet; zero if there is none
	endsCommittedAt      time.Time // when the first end was committed after the last round; zero if there is none
	speeds               map[speedGroup]*speed
	slow                 map[csmodel.PoolID][]*target // that counted as slow in the last round
	runTimesReportedAt   time.Time
	copiesCheckedAt      time.Time // when runs were last checked for copies

	markRound     int       // number of the round that marked targets last
	lostCheckedAt time.Time // when targets were last checked for lost ones
	earliestRound time.Time // earliest time of the next round
	backlogAt     time.Time // time of the last snapshot of the backlog
	estimatorAt   time.Time // time of the last copy of the predicted run times
	syncedTasks   int       // number of times a task on a target was compared with the table
	summedTargets int       // number of times the runs of a target were summed up
}

func newRunner(l *Leader) *runner {
	return &runner{
		leader: l, options: l.options, log: l.options.Log,
		unknownPools: rate.Sometimes{First: 1, Interval: unknownPoolLogInterval},
	}
}

// Receive implements actor.Actor.
func (r *runner) Receive(ctx actor.Context) { r.handle(ctx.Message()) }

func (r *runner) handle(message any) {
	switch m := message.(type) {
	case *actor.Stopping, *actor.Restarting, *leadershipLost:
		r.resign("another node leads")
	case *termStarted:
		r.beginTerm(m.term)
	case *replicaReady:
		r.onReplicaReady(m.term)
	case *roundDue:
		r.observeDelay(m.at)
		r.roundOrDefer()
	case *heartbeatReceived:
		r.onHeartbeat(m)
	case *signsOfLifeReceived:
		r.onSignsOfLife(m)
	case *leaveReceived:
		r.onLeave(m)
	case *pollResult:
		r.handlePollResult(m)
	case *orderResult:
		r.handleOrderResult(m)
	case *restartFenced:
		r.onRestartFenced(m)
	case *addressChecked:
		r.onAddressChecked(m)
	case *commitResult:
		r.handleCommitResult(m)
	}
}

func (r *runner) now() time.Time { return r.options.Clock.Now() }

func (r *runner) send(m any) { r.leader.root.Send(r.leader.pid, m) }

// beginTerm prepares to lead. Decisions start once the replica has every entry of earlier terms.
func (r *runner) beginTerm(t csmodel.Term) {
	r.resign("a new term")
	r.term = t
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.since = r.now()
	r.targets = map[csjob.TargetID]*target{}
	r.pendingStarts = map[csjob.TaskKey]csjob.Incarnation{}
	r.endNumbers = map[csjob.Incarnation]int64{}
	r.pendingByIncarnation = map[csjob.Incarnation][]csjob.TaskKey{}
	r.pendingByJob = map[csjob.ID]int{}
	r.pools = map[csmodel.PoolID]*poolPlan{}
	r.begun = csmodel.NewSet[csjob.ID]()
	r.speeds = map[speedGroup]*speed{}
	r.log.Info("leading", zap.Uint64("term", uint64(t)))
	r.catchUp(r.ctx, t)
}

func (r *runner) catchUp(ctx context.Context, t csmodel.Term) {
	go func() {
		for ctx.Err() == nil {
			limited, cancel := context.WithTimeout(ctx, catchUpTimeout)
			err := r.options.State.Read(limited, func(*csjob.Table) {})
			cancel()
			if err == nil {
				r.send(&replicaReady{t})
				return
			}
			r.log.Warn("replica not caught up", zap.Uint64("term", uint64(t)), zap.Error(err))
		}
	}()
}

func (r *runner) onReplicaReady(t csmodel.Term) {
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
	for _, c := range r.targetChanges {
		if c.done != nil {
			c.done <- ErrNotLeading
		}
	}
	r.termState = termState{}
	r.leader.demand.Store(&demandSnapshot{})
	r.leader.admission.Store(nil)
	if r.options.Fleet != nil {
		r.options.Fleet.Reset()
	}
}

func (r *runner) answerAll(waiters []chan error, err error) {
	for _, w := range waiters {
		w <- err
	}
}

// roundOrDefer runs a round, or schedules one if the last round was too recent.
func (r *runner) roundOrDefer() {
	if d := r.earliestRound.Sub(r.now()); r.active && d > 0 {
		r.leader.scheduleRound(&r.leader.deferredRoundDue, d)
		return
	}
	r.round()
}

// round runs one round of decisions: it reads the table, schedules tasks, evicts runs and sends orders and polls.
func (r *runner) round() {
	if !r.active {
		return
	}
	defer r.leader.scheduleRound(&r.leader.idleRoundDue, idleRoundInterval)
	if !r.options.State.Leading() {
		return
	}
	now := r.now()
	r.stats.beginRound(now)
	if !r.endsCommittedAt.IsZero() {
		r.recordWait(waitNextRound, now.Sub(r.endsCommittedAt), 1)
		r.endsCommittedAt = time.Time{}
	}
	defer func() { r.roundEnded(now, r.now()) }()
	var starts []csjob.Start
	var begun []csjob.ID
	r.options.State.View(func(t *csjob.Table) {
		r.learned.Use(t.RunTimes())
		r.learned.SetDelays(r.waits.delays())
		r.sync(t, now)
		r.reportRunTimes(now, t)
		begun = r.takeBegun(t)
		if now.Sub(r.lostCheckedAt) >= lostCheckInterval {
			r.lostCheckedAt = now
			r.endLostTargets(now, t)
		}
		r.endPhase(phaseSync)
		silent := r.silentZones()
		starts = r.schedule(now, t, silent)
		r.endPhase(phaseSchedule)
		if r.options.Fleet != nil {
			r.options.Fleet.Round(Round{
				Now: now, Table: t, Fence: csmodel.Fence(r.term), Demand: r.leader.demand.Load().demand,
				Arrivals: func() []Arrival { return acceptedArrivals(t, &r.learned) },
				Busy:     func(l csjob.Incarnation) bool { return r.occupied(t, l) },
				Load: func(l csjob.Incarnation) Load {
					if w := r.currentTarget(l); w != nil {
						return r.loadOf(now, t, w)
					}
					return Load{}
				},
				Usable: func(l csjob.Incarnation) bool {
					w := r.currentTarget(l)
					return w != nil && w.usable(now, r.options.Timing.HeartbeatInterval) && !silent.Has(w.record.Zone)
				},
			})
		}
		r.endPhase(phaseFleet)
		r.evict(now, t)
		r.endPhase(phaseEvict)
		r.sendOrders(now, t)
	})
	r.propose(starts, begun)
	r.endPhase(phaseOrders)
	r.sendPolls(now)
	r.endPhase(phasePolls)
}

// roundEnded sets the earliest time of the next round after a round has ended.
func (r *runner) roundEnded(startedAt, now time.Time) {
	r.earliestRound = laterOf(startedAt.Add(minRoundInterval), now.Add(min(maxPause, pauseFactor*now.Sub(startedAt))))
	r.stats.report(now, r.log, len(r.targets))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *runner) endPhase(p phase) { r.stats.endPhase(p, r.now(), r.options.Metrics) }

// observeDelay records how long a due round has waited behind earlier messages.
func (r *runner) observeDelay(at time.Time) {
	if !r.active {
		return
	}
	d := r.now().Sub(at)
	r.stats.maxDelay = max(r.stats.maxDelay, d)
	r.options.Metrics.roundDelay.Observe(d.Seconds())
}

// occupied reports whether an incarnation has open runs or pending starts.
func (r *runner) occupied(t *csjob.Table, l csjob.Incarnation) bool {
	return t.Busy(l) || len(r.pendingByIncarnation[l]) > 0
}

// takeBegun returns the jobs with a confirmed start that the table does not show as running yet, and forgets them.
func (r *runner) takeBegun(t *csjob.Table) []csjob.ID {
	var out []csjob.ID
	for _, id := range csmodel.SortedKeys(r.begun) {
		if j := t.Job(id); j != nil && j.State == csjob.Queued {
			out = append(out, id)
		}
	}
	clear(r.begun)
	return out
}

// confirmStart records that the target has started a run.
func (r *runner) confirmStart(u *run) {
	if !u.started {
		u.started = true
		r.begun.Add(u.key.task.Job)
	}
}

// propose proposes the decisions of the round, one command after the other.
func (r *runner) propose(starts []csjob.Start, begun []csjob.ID) {
	d := decisions{ends: r.proposedEnds, endNumbers: r.endNumbers, targets: r.targetChanges, starts: starts, begun: begun}
	if d.empty() && !r.inDoubt.needsResolving() {
		return
	}
	r.inDoubt.resolving = true
	now := r.now()
	if !r.endsReadAt.IsZero() {
		r.recordWait(waitEndRound, now.Sub(r.endsReadAt), len(r.proposedEnds))
		r.endsReadAt = time.Time{}
	}
	r.proposedEnds, r.targetChanges = nil, nil
	r.endNumbers = map[csjob.Incarnation]int64{}
	ctx, term, batches := r.ctx, r.term, d.batches()
	go func() {
		for _, b := range batches {
			b.command.Term = term
			m := r.commit(ctx, b)
			m.decidedAt = now
			r.send(m)
		}
	}()
}

// commit proposes a batch and returns the outcome. It doesn't touch the runner's state.
func (r *runner) commit(ctx context.Context, b *batch) *commitResult {
	m := &commitResult{term: b.command.Term, command: b.command, endNumbers: b.endNumbers, waiters: b.waiters, proposedAt: r.now()}
	limited, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	v, err := r.options.State.Propose(limited, b.command)
	if err == nil && v == csjob.Refused {
		err = ErrNotLeading // the ends are not recorded, so they must not be acknowledged to targets
	}
	m.err = err
	return m
}

func (r *runner) handleCommitResult(m *commitResult) {
	r.answerAll(m.waiters, m.err)
	if !r.active || m.term != r.term {
		return
	}
	now := r.now()
	r.stats.slowestCommit = max(r.stats.slowestCommit, now.Sub(m.proposedAt))
	r.resolve(m)
	if m.err != nil {
		r.log.Warn("decisions not committed", zap.Int("starts", len(m.command.Starts)), zap.Int("ends", len(m.command.Ends)),
			zap.Error(m.err))
		for incarnation := range m.endNumbers {
			if t := r.targets[incarnation.Target]; t != nil && t.incarnation == incarnation {
				t.receivedEnd = t.committedEnd // the target lists the ends again
			}
		}
		r.reproposeNotStartedEnds(m.command.Ends)
		for _, id := range m.command.Begun {
			r.begun.Add(id)
		}
		return
	}
	r.recordWait(waitStartCommit, now.Sub(m.decidedAt), len(m.command.Starts))
	r.recordWait(waitEndCommit, now.Sub(m.decidedAt), len(m.command.Ends))
	if len(m.command.Ends) > 0 && r.endsCommittedAt.IsZero() {
		r.endsCommittedAt = now
	}
	for incarnation, n := range m.endNumbers {
		if t := r.targets[incarnation.Target]; t != nil && t.incarnation == incarnation {
			t.committedEnd = max(t.committedEnd, n)
		}
	}
	r.roundOrDefer()
}

// reproposeNotStartedEnds proposes again the ends of runs that never started, after the proposal of their command failed. No
// target lists such an end, and the run gets no further order. The table ignores an end that was applied before.
func (r *runner) reproposeNotStartedEnds(ends []csjob.End) {
	for _, e := range ends {
		if e.Outcome != csjob.OutcomeNotStarted {
			continue
		}
		if w := r.currentTarget(e.Incarnation); w != nil && w.runs[runKey{e.Task, e.Attempt}] != nil {
			r.proposedEnds = append(r.proposedEnds, e)
		}
	}
}
