package csrun

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// demandSnapshot is the demand that the leader publishes for VM allocation.
type demandSnapshot struct {
	demand Demand
}

// schedule places waiting tasks on targets. The returned starts have to be committed before orders are sent.
func (r *runner) schedule(now time.Time, t *csjob.Table, silent csmodel.Set[csmodel.AvailabilityZone]) []csjob.Start {
	if t.Config() == nil {
		return nil
	}
	for _, p := range r.pools {
		p.reset()
	}
	r.collectWaiting(now, t)
	r.markReclaimed()
	r.collectSlots(now, t, silent)
	surplus := r.offered.update(now, t, &r.learned)
	r.stats.surplus += surplus
	r.options.Metrics.surplus.Add(float64(surplus))
	accounts, ids, pools := r.place(t)
	demand := Demand{}
	var starts []csjob.Start
	for i, p := range pools {
		d := r.waitingDemand(p.Work)
		for _, s := range p.Slots {
			d.Targets++
			d.Free += s.Free.CPU
		}
		demand[ids[i]] = d
	}
	long := r.longRuns(now, t)
	for i, p := range pools {
		starts = append(starts, r.startsFor(t, p.Placed)...)
		starts = append(starts, r.copyStarts(now, t, long[ids[i]], p, demand[ids[i]], accounts)...)
	}
	r.addRunning(demand)
	addLongRunning(t, demand, r.withhold(now, t, accounts, pools, ids, demand))
	r.leader.demand.Store(&demandSnapshot{demand: demand})
	r.publishAdmission(now, t)
	r.reportAccounts(now, t)
	return starts
}

// place places the waiting tasks of all pools with jobs, in the order of the pools' names.
func (r *runner) place(t *csjob.Table) (*csplan.Accounts, []csmodel.PoolID, []*csplan.Pool) {
	accounts, usedIn := r.accountsOf(t)
	var ids []csmodel.PoolID
	var pools []*csplan.Pool
	for _, id := range csmodel.SortedKeys(r.pools) {
		p := r.pools[id]
		if !p.hasJobs {
			continue
		}
		csplan.Sort(p.work)
		r.markSlow(id, p)
		ids = append(ids, id)
		pools = append(pools, &csplan.Pool{Work: p.work, Slots: p.slots, Capacity: p.capacity, Used: func() map[csmodel.AccountID]csjob.Resources { return usedIn(id) }})
	}
	accounts.Place(pools, r.isPending)
	return accounts, ids, pools
}

func (r *runner) isPending(k csjob.TaskKey) bool {
	_, ok := r.pendingStarts[k]
	return ok
}

// poolPlan is the planning state of a pool in one round. The next round reuses its slices.
type poolPlan struct {
	hasJobs     bool
	hasAccounts bool // client accounts own jobs of the pool
	work        []csplan.Work
	slots       []*csplan.Slot
	capacity    csjob.Resources  // of the targets of the slots
	longRunning csmodel.MilliCPU // used by long-running tasks on targets that stay in the pool
	timely      csmodel.MilliCPU // used there by batch runs whose job can meet its objective
}

func (p *poolPlan) reset() {
	clear(p.work)
	*p = poolPlan{work: p.work[:0], slots: p.slots[:0]}
}

// planFor returns the planning state of a pool.
func (r *runner) planFor(id csmodel.PoolID) *poolPlan {
	p := r.pools[id]
	if p == nil {
		p = &poolPlan{}
		r.pools[id] = p
	}
	return p
}

// collectWaiting collects the steps with tasks that are ready to start, by the pool of their job.
func (r *runner) collectWaiting(now time.Time, t *csjob.Table) {
	for _, j := range t.Active() {
		if !j.State.Final() {
			q := t.QueueSettings(j)
			p := r.planFor(q.Pool)
			p.hasJobs = true
			p.hasAccounts = p.hasAccounts || j.Submission.Account != ""
			p.work = csplan.AppendWaiting(p.work, now, &r.learned, q, j)
		}
	}
}

// markReclaimed marks the targets whose VMs are about to be reclaimed, and those whose VMs will be reclaimed soon.
func (r *runner) markReclaimed() {
	r.markRound++
	if r.options.Fleet == nil {
		return
	}
	for l := range r.options.Fleet.Evicting() {
		if w := r.currentTarget(l); w != nil {
			w.heldRound = r.markRound
		}
	}
	for l := range r.options.Fleet.EvictingSoon() {
		if w := r.currentTarget(l); w != nil {
			w.evictingSoonRound = r.markRound
		}
	}
}

// collectSlots collects, by pool, the free resources of usable targets and the load of targets that stay in their pools.
func (r *runner) collectSlots(now time.Time, t *csjob.Table, silent csmodel.Set[csmodel.AvailabilityZone]) {
	for _, w := range r.targetsByName() {
		if w.heldRound == r.markRound {
			continue
		}
		s := r.slotOf(now, t, w)
		p := r.planFor(w.record.Pool)
		p.longRunning += w.usage.longRunning
		p.timely += w.usage.timely
		if !w.usable(now, r.options.Timing.HeartbeatInterval) || w.quarantine.quarantined(now) || silent.Has(w.record.Zone) {
			continue
		}
		s.Starting = w.unconfirmedStarts(len(r.pendingByIncarnation[w.incarnation]))
		s.Preferred, s.EvictingSoon = w.failures == 0 && !w.quarantine.suspect() && !w.fullReturn(), w.evictingSoonRound == r.markRound
		s.Cost = w.costOf(now)
		p.slots = append(p.slots, s)
		p.capacity = p.capacity.Add(w.record.Resources)
	}
}

// unconfirmedStarts returns the number of starts that the target has not confirmed, with those that are not committed yet. It counts
// only if there may be too many.
func (t *target) unconfirmedStarts(pending int) int {
	if len(t.list)+pending < csplan.MaxStarting {
		return pending
	}
	n := pending
	for _, u := range t.list {
		if !u.started && !u.stop && !u.ended {
			n++
		}
	}
	return n
}

// waitingDemand returns the CPU demand of the tasks that remain unplaced, without those that wait for the quota of their account.
func (r *runner) waitingDemand(work []csplan.Work) PoolDemand {
	var d PoolDemand
	for i := range work {
		w := &work[i]
		pending := r.pendingByJob[w.Key.Job] > 0
		withheld := w.Withheld()
		for n := range w.Idle() {
			key := csjob.TaskKey{Job: w.Key.Job, Occurrence: w.Key.Occurrence, Step: w.Key.Step, Index: n}
			switch {
			case pending && r.isPending(key):
			case withheld > 0:
				withheld--
			case w.Step.LongRunning:
				d.LongRunning += w.Step.Needs().CPU
			case w.Late():
				d.Late += w.Step.Resources.CPU
			default:
				d.Waiting += w.Step.Resources.CPU
			}
		}
	}
	return d
}

// addRunning adds the load of targets that stay in their pools, and the load offered by arriving jobs.
func (r *runner) addRunning(d Demand) {
	for id, p := range r.pools {
		if p.longRunning == 0 && p.timely == 0 {
			continue
		}
		sum := d[id]
		sum.LongRunning += p.longRunning
		sum.Running += p.timely
		d[id] = sum
	}
	for pool, span := range r.offered.makespans {
		p := d[pool]
		p.Offered, p.Jobs, p.CriticalPath = r.offered.rates[pool], r.offered.jobs[pool], span
		d[pool] = p
	}
}

// loadOf returns the load of a target.
func (r *runner) loadOf(now time.Time, t *csjob.Table, w *target) Load {
	var l Load
	for _, u := range w.list {
		j := u.job
		if j.Released() {
			continue
		}
		step := &j.Submission.Steps[u.key.task.Step]
		need := step.Needs().CPU
		if step.LongRunning {
			l.LongRunning += need
			l.HasLongRunning = true
			continue
		}
		if !r.missedObjective(now, t, j, u) {
			l.OnTime += need
		}
		left := u.remaining(now)
		if u.stop || r.evictable(now, t, j, u) {
			left = min(left, maxStopTime)
		}
		l.DrainTime = max(l.DrainTime, left)
	}
	return l
}

// missedObjective reports whether the job of a batch run has missed its objective.
func (r *runner) missedObjective(now time.Time, t *csjob.Table, j *csjob.Job, u *run) bool {
	if u.deadline.IsZero() {
		u.deadline, _ = csplan.Objective(&r.learned, t.QueueOf(j), j, u.key.task.Occurrence)
	}
	return now.After(u.deadline)
}

// addLongRunning adds the memory that long-running tasks need and the number of targets that their steps have to be spread
// over. withheld holds the number of tasks that wait for the quota of their account, which need nothing.
func addLongRunning(t *csjob.Table, d Demand, withheld map[csplan.StepKey]int) {
	for _, j := range t.LongRunning() {
		if j.State.Final() {
			continue
		}
		pool := t.QueueSettings(j).Pool
		p := d[pool]
		for i := range j.Submission.Steps {
			s := &j.Submission.Steps[i]
			if !s.LongRunning {
				continue
			}
			tasks := s.Tasks - withheld[csplan.StepKey{Job: j.Submission.ID, Step: i}]
			p.Memory += csjob.MiB(tasks) * s.Resources.Memory
			if s.MaxPerTarget > 0 {
				p.MinTargets = max(p.MinTargets, (tasks+s.MaxPerTarget-1)/s.MaxPerTarget)
			}
		}
		d[pool] = p
	}
}

// startsFor turns placements into starts and records them as pending.
func (r *runner) startsFor(t *csjob.Table, placed []csplan.Placement) []csjob.Start {
	out := make([]csjob.Start, 0, len(placed))
	for _, p := range placed {
		j := t.Job(p.Task.Job)
		attempt := j.Task(p.Task).Attempts + 1
		if j.Submission.Steps[p.Task.Step].Gang {
			for _, k := range j.Occurrence(p.Task.Occurrence).Tasks[p.Task.Step] {
				attempt = max(attempt, k.Attempts+1)
			}
		}
		r.addPending(p.Task, p.Slot.Incarnation)
		out = append(out, csjob.Start{Task: p.Task, Attempt: attempt, Incarnation: p.Slot.Incarnation})
	}
	r.logStarts(out)
	return out
}

// logStarts writes one line for all tasks of a step that a round has placed.
func (r *runner) logStarts(starts []csjob.Start) {
	for len(starts) > 0 {
		n := 1
		for n < len(starts) && stepOf(starts[n].Task) == stepOf(starts[0].Task) {
			n++
		}
		placed := make([]byte, 0, n*len("31/1@")+n*len(starts[0].Incarnation.Target))
		for _, s := range starts[:n] {
			if len(placed) > 0 {
				placed = append(placed, ' ')
			}
			placed = strconv.AppendInt(placed, int64(s.Task.Index), 10)
			placed = strconv.AppendInt(append(placed, '/'), int64(s.Attempt), 10)
			placed = append(append(placed, '@'), s.Incarnation.Target...)
		}
		k := starts[0].Task
		r.log.Info("start", zap.String("job", string(k.Job)), zap.Int("occurrence", k.Occurrence), zap.Int("step", k.Step),
			zap.ByteString("placed", placed))
		starts = starts[n:]
	}
}
