package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csadmit"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

const (
	// backlogInterval is the time between two snapshots of the backlog. Rounds may follow each other every 10 ms, and a snapshot passes over
	// all open runs: 2.2 ms for 12,000 runs on 3,200 targets. It is the resolution of a backlog.
	backlogInterval = 100 * time.Millisecond
	// estimatorInterval is the time between two copies of the predicted run times for admission.
	estimatorInterval = 500 * time.Millisecond
)

// VMCapacity is the CPU of VMs by pool.
type VMCapacity struct {
	// ByPool holds all VMs that are in a pool or ordered to it, whether they run or not.
	ByPool map[csmodel.PoolID]csmodel.MilliCPU
	// Idle holds the part of ByPool on which nothing runs.
	Idle map[csmodel.PoolID]csmodel.MilliCPU
	// MoveTime is the time from the order to move a VM to its return.
	MoveTime time.Duration
}

// Admission is the input of admission control as the last round of the leader saw it. It is not modified after its publication.
type Admission struct {
	Backlogs  map[csmodel.PoolID]*csadmit.Backlog
	Estimator csplan.Estimator
}

// Backlog returns the backlog of a pool, or nil if it is not known.
func (a *Admission) Backlog(pool csmodel.PoolID) *csadmit.Backlog {
	if a == nil {
		return nil
	}
	return a.Backlogs[pool]
}

// Admission returns the input of admission control, or nil if no round of this term has ended.
func (l *Leader) Admission() *Admission { return l.admission.Load() }

// publishAdmission publishes the backlog of each pool after a round has placed its tasks.
func (r *runner) publishAdmission(now time.Time, t *csjob.Table) {
	last := r.leader.admission.Load()
	if last != nil && now.Sub(r.backlogAt) < backlogInterval {
		return
	}
	r.backlogAt = now
	a := &Admission{Backlogs: map[csmodel.PoolID]*csadmit.Backlog{}}
	if last != nil && now.Sub(r.estimatorAt) < estimatorInterval {
		a.Estimator = last.Estimator
	} else {
		r.estimatorAt, a.Estimator = now, r.learned.Freeze()
	}
	for _, p := range t.Config().Pools {
		a.Backlogs[p.ID] = &csadmit.Backlog{At: now}
	}
	for id, p := range r.pools {
		if b := a.Backlogs[id]; b != nil {
			r.addWaiting(b, p.work)
		}
	}
	longRunning := r.addRuns(now, a.Backlogs)
	r.addCapacity(t, a.Backlogs, longRunning)
	r.leader.admission.Store(a)
}

// addWaiting adds the tasks of a pool that wait and are not placed.
func (r *runner) addWaiting(b *csadmit.Backlog, work []csplan.Work) {
	for i := range work {
		w := &work[i]
		pending := r.pendingByJob[w.Key.Job] > 0
		n := 0
		for index := range w.Idle() {
			if !pending || !r.isPending(csjob.TaskKey{Job: w.Key.Job, Occurrence: w.Key.Occurrence, Step: w.Key.Step, Index: index}) {
				n++
			}
		}
		if n -= w.Withheld(); n > 0 {
			b.AddWaiting(w, csmodel.MilliCPU(n)*w.Step.Needs().CPU, r.learned.Duration(w.Job.Submission.Queue, *w.Step))
		}
	}
}

// addRuns adds the open batch runs of all targets, and returns the CPU of the long-running ones by pool.
func (r *runner) addRuns(now time.Time, backlogs map[csmodel.PoolID]*csadmit.Backlog) map[csmodel.PoolID]csmodel.MilliCPU {
	longRunning := map[csmodel.PoolID]csmodel.MilliCPU{}
	for _, w := range r.targetsByName() {
		b := backlogs[w.record.Pool]
		if b == nil || w.closed || w.record.Draining {
			continue
		}
		b.Now += w.record.Resources.CPU
		room := csadmit.Room{Free: w.record.Resources.CPU, Until: csadmit.Horizon}
		for _, u := range w.list {
			if u.job.Released() || u.stop || u.ended {
				continue
			}
			step := &u.job.Submission.Steps[u.key.task.Step]
			room.Free -= step.Needs().CPU
			if step.LongRunning {
				longRunning[w.record.Pool] += step.Needs().CPU
				continue
			}
			room.Until = min(room.Until, u.remaining(now))
			b.AddRunning(step.Needs().CPU, u.remaining(now))
		}
		if room.Free > 0 {
			b.Targets = append(b.Targets, room)
		}
	}
	return longRunning
}

// addCapacity sets the capacity that each pool can have: its targets or VMs, whichever are more, and VMs that can be moved to it.
func (r *runner) addCapacity(t *csjob.Table, backlogs map[csmodel.PoolID]*csadmit.Backlog, longRunning map[csmodel.PoolID]csmodel.MilliCPU) {
	var vms VMCapacity
	if r.options.Fleet != nil {
		vms = r.options.Fleet.Capacity()
	}
	var movable csmodel.MilliCPU
	for _, p := range t.Config().Pools {
		if p.Standby {
			movable += vms.ByPool[p.ID]
		} else {
			movable += vms.Idle[p.ID]
		}
	}
	for _, p := range t.Config().Pools {
		b := backlogs[p.ID]
		b.Now = max(b.Now, vms.ByPool[p.ID]) - longRunning[p.ID]
		b.Movable, b.MoveTime = movable, vms.MoveTime
		if !p.Standby {
			b.Movable -= vms.Idle[p.ID]
		}
	}
}
