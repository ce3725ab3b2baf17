package csrun

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// sync updates the targets and open runs that have changed in the table since the last round.
func (r *runner) sync(t *csjob.Table, now time.Time) {
	r.tableLoaded = true
	if t.Changes() == r.appliedChanges {
		return
	}
	changed, known := t.ChangedSince(r.appliedChanges)
	known = known && r.appliedChanges > 0 // a new leader reads the whole table
	r.appliedChanges = t.Changes()
	if !known {
		r.syncAll(t, now)
		return
	}
	for _, j := range changed.Ended {
		r.onJobEnded(t, j, now)
	}
	for id := range changed.Targets {
		r.syncTarget(t, id, now)
	}
	for o := range changed.Runs {
		if w := r.targets[o.Incarnation.Target]; w != nil && w.incarnation == o.Incarnation {
			r.syncTask(t, w, o.Task)
		}
	}
}

// syncAll updates all targets and open runs from the table.
func (r *runner) syncAll(t *csjob.Table, now time.Time) {
	r.syncingAll = true
	defer func() { r.syncingAll = false }()
	for id := range r.targets {
		if _, known := t.Target(id); !known {
			r.removeTarget(id)
		}
	}
	for _, record := range t.Targets() {
		r.syncTarget(t, record.Incarnation.Target, now)
	}
}

// syncTarget updates a target and its open runs from the table.
func (r *runner) syncTarget(t *csjob.Table, id csjob.TargetID, now time.Time) {
	record, known := t.Target(id)
	if !known {
		r.removeTarget(id)
		return
	}
	w := r.targets[id]
	if w == nil || w.incarnation != record.Incarnation {
		w = r.newTarget(record, now)
		r.targets[id] = w
		r.sorted = nil
	}
	w.record = record
	r.addresses.set(id, record.Address)
	r.syncRuns(t, w)
}

func (r *runner) removeTarget(id csjob.TargetID) {
	delete(r.targets, id)
	r.addresses.set(id, "")
	r.sorted = nil
}

// targetsByName returns the targets sorted by name.
func (r *runner) targetsByName() []*target {
	if r.sorted == nil {
		r.sorted = make([]*target, 0, len(r.targets))
		for _, id := range csmodel.SortedKeys(r.targets) {
			r.sorted = append(r.sorted, r.targets[id])
		}
	}
	return r.sorted
}

// targetsOf returns the targets with the given incarnations, sorted by name.
func (r *runner) targetsOf(incarnations csmodel.Set[csjob.Incarnation]) []*target {
	out := make([]*target, 0, len(incarnations))
	for l := range incarnations {
		if w := r.currentTarget(l); w != nil {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *target) int { return cmp.Compare(a.incarnation.Target, b.incarnation.Target) })
	return out
}

var stateNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// onJobEnded logs the end of a job and invalidates the usage of targets with pending starts of it.
func (r *runner) onJobEnded(t *csjob.Table, j *csjob.Job, now time.Time) {
	id := j.Submission.ID
	account := zap.Skip()
	if j.Submission.Account != "" {
		account = zap.String("account", string(j.Submission.Account))
	}
	r.log.Info("job ended", zap.String("job", string(id)), account, zap.Bool("surplus", j.Surplus), zap.String("queue", t.QueueOf(j).Name), zap.String("state", stateNames[j.State]),
		zap.Duration("after", now.Sub(j.Accepted)), zap.Duration("expected", csplan.CriticalPath(&r.learned, j)), zap.Int("open_runs", j.OpenRuns))
	if r.pendingByJob[id] == 0 {
		return
	}
	for key, incarnation := range r.pendingStarts {
		if key.Job == id {
			r.invalidateUsage(incarnation)
		}
	}
}

func (r *runner) newTarget(record csjob.Target, now time.Time) *target {
	return &target{
		incarnation: record.Incarnation, record: record, fence: r.nextFence(), runs: map[runKey]*run{}, strays: map[runKey]bool{}, unpolled: true,
		// No lease granted by an earlier leader ends later than the longest lease after the election of this one.
		fallbackLeaseEnd: r.latestLeaseEnd(now),
	}
}

// latestLeaseEnd returns the time at which every lease granted up to now has certainly expired.
func (r *runner) latestLeaseEnd(now time.Time) time.Time {
	return now.Add(time.Duration((1+maxClockDrift)*float64(r.options.Timing.LongestLease)) + leaseMargin)
}

// syncRuns updates all open runs of a target from the table.
func (r *runner) syncRuns(t *csjob.Table, w *target) {
	tasks := csmodel.NewSet[csjob.TaskKey]()
	t.EachTaskOn(w.incarnation, tasks.Add)
	for _, u := range w.list {
		tasks.Add(u.key.task)
	}
	for k := range tasks {
		r.syncTask(t, w, k)
	}
	w.usage.valid, w.noOrdersDue = false, false
}

// syncTask updates the open runs of a task on a target from the table.
func (r *runner) syncTask(t *csjob.Table, w *target, k csjob.TaskKey) {
	r.syncedTasks++
	w.usage.valid, w.noOrdersDue = false, false
	for _, u := range w.list {
		if u.key.task == k {
			u.inTable = false
		}
	}
	if j := t.Job(k.Job); j != nil {
		if task := j.Task(k); task != nil {
			r.syncTaskRuns(w, j, task, k)
		}
	}
	kept := w.list[:0]
	for _, u := range w.list {
		if u.inTable {
			kept = append(kept, u)
			continue
		}
		delete(w.runs, u.key)
	}
	clear(w.list[len(kept):])
	w.list = kept
}

func (r *runner) syncTaskRuns(w *target, j *csjob.Job, task *csjob.Task, k csjob.TaskKey) {
	step := &j.Submission.Steps[k.Step]
	for i := range task.Runs {
		o := &task.Runs[i]
		if o.Incarnation != w.incarnation {
			continue
		}
		key := runKey{k, o.Attempt}
		u := w.runs[key]
		if u == nil {
			u = &run{key: key, since: o.StartedAt, prediction: r.learned.Predict(j.Submission.Queue, step), copy: o.Attempt != task.Runs[0].Attempt}
			u.startDelay = r.learned.Delays().Start
			u.expected, u.mayCopy = u.prediction.Typical, step.MayCopy()
			if !r.syncingAll {
				u.committedAt = r.now()
			}
			u.placedEvictingSoon = w.evictingSoonRound > 0 && w.evictingSoonRound == r.markRound
			w.runs[key] = u
			w.list = append(w.list, u)
		}
		u.inTable, u.job = true, j
		if j.State.Final() || task.Done || (w.record.Draining && step.LongRunning) {
			u.stop = true
		}
		if step.Gang && !u.stop && !j.State.Final() && !j.GangRunning(k, o.Attempt) {
			u.stop = true // the gang is incomplete, so this run would wait in vain
		}
		u.longRunning = step.LongRunning && !j.State.Final()
	}
}
