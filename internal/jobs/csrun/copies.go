package csrun

import (
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// copyCheckInterval is the interval between checks for runs that need a copy. It is small compared to the shortest objective, 600 ms.
const copyCheckInterval = 50 * time.Millisecond

// Events of the metric of copies.
const (
	copyStarted = "started"
	copyWon     = "won"
	copyWasted  = "wasted"
)

// longRuns returns the runs that have passed what is usual and may get a copy, by pool. It returns nil between two checks.
func (r *runner) longRuns(now time.Time, t *csjob.Table) map[csmodel.PoolID][]csplan.LongRun {
	if now.Sub(r.copiesCheckedAt) < copyCheckInterval {
		return nil
	}
	r.copiesCheckedAt = now
	out := map[csmodel.PoolID][]csplan.LongRun{}
	for _, w := range r.targetsByName() {
		for _, u := range w.list {
			if !u.mayCopy || u.copy || u.ended || u.stop {
				continue
			}
			if l, ok := r.longRun(now, t, w, u); ok {
				out[w.record.Pool] = append(out[w.record.Pool], l)
			}
		}
	}
	return out
}

// longRun returns a run as a candidate for a copy, and false if it is not unusually long or has had a copy.
func (r *runner) longRun(now time.Time, t *csjob.Table, w *target, u *run) (csplan.LongRun, bool) {
	j, k := u.job, u.key.task
	if j.State.Final() || r.isPending(k) {
		return csplan.LongRun{}, false
	}
	p := r.learned.Predict(j.Submission.Queue, &j.Submission.Steps[k.Step])
	unusual, known := p.Quantile(csplan.UnusualQuantile)
	passed := u.passed(now)
	// An older list doesn't tell that the run still goes on: after a change of leaders most runs seem long, because their ends are not read yet.
	if !known || passed <= unusual || u.passed(w.listedAt) <= unusual {
		return csplan.LongRun{}, false
	}
	// A run gets one copy, also if the copy fails or never starts: more of them could use up the attempts of the task.
	if task := j.Task(k); task == nil || task.Done || len(task.Runs) != 1 || task.Attempts != u.key.attempt {
		return csplan.LongRun{}, false
	}
	l := csplan.LongRun{Job: j, Task: k, Target: w.incarnation.Target, Rack: w.record.Rack, Passed: passed, Prediction: p}
	delays := r.learned.Delays()
	l.StartDelay = delays.Start
	l.After = max(0, csplan.RemainingCriticalPath(&r.learned, j, k.Occurrence)-delays.Start-p.Typical) + delays.Reply
	l.Deadline, l.Expiry = csplan.Objective(&r.learned, t.QueueOf(j), j, k.Occurrence)
	return l, true
}

// copyStarts returns the starts of copies in a pool, after all other work has been placed.
func (r *runner) copyStarts(
	now time.Time, t *csjob.Table, long []csplan.LongRun, p *csplan.Pool, d PoolDemand, accounts *csplan.Accounts,
) []csjob.Start {
	if len(long) == 0 {
		return nil
	}
	room := csplan.CopyRoom{
		Waiting: d.Waiting, Copies: r.copyCPU(t, long[0].Job),
		Take: func(j *csjob.Job, need csjob.Resources) bool { return accounts.Take(j.Submission.Account, need) },
	}
	for _, s := range p.Slots {
		room.Capacity += r.targets[s.Incarnation.Target].record.Resources.CPU
	}
	copies := csplan.PlaceCopies(now, long, p.Slots, room)
	placed := make([]csplan.Placement, 0, len(copies))
	for _, c := range copies {
		r.options.Metrics.copies.WithLabelValues(copyStarted).Inc()
		r.log.Info("copy", zap.String("job", string(c.Task.Job)), zap.Stringer("task", c.Task), zap.String("target", string(c.Slot.Incarnation.Target)),
			zap.Duration("unusual", c.Unusual.Round(time.Millisecond)), zap.Duration("remaining", c.Remaining.Round(time.Millisecond)), zap.Duration("copy", c.CopyTime.Round(time.Millisecond)),
			zap.Duration("late_by", c.Lateness.Round(time.Millisecond)))
		placed = append(placed, c.Placement)
	}
	return r.startsFor(t, placed)
}

// copyCPU returns the CPU of the open and pending copies in the pool of a job.
func (r *runner) copyCPU(t *csjob.Table, of *csjob.Job) csmodel.MilliCPU {
	pool := t.QueueSettings(of).Pool
	sum := csmodel.MilliCPU(0)
	for _, w := range r.targetsByName() {
		if w.record.Pool != pool {
			continue
		}
		for _, u := range w.list {
			if u.copy && !u.ended && !u.job.Released() {
				sum += u.job.Submission.Steps[u.key.task.Step].Needs().CPU
			}
		}
	}
	for k := range r.pendingStarts {
		j := t.Job(k.Job)
		if j == nil || j.Released() || !j.Submission.Steps[k.Step].MayCopy() || t.QueueSettings(j).Pool != pool {
			continue
		}
		if task := j.Task(k); task != nil && len(task.Runs) == 1 {
			sum += j.Submission.Steps[k.Step].Needs().CPU
		}
	}
	return sum
}

// recordCopyEnd counts and logs the end of a copy. It has won if it is the first run of its task that is done.
func (r *runner) recordCopyEnd(w *target, u *run, e *csjob.End) {
	event := copyWasted
	r.options.State.View(func(t *csjob.Table) {
		j := t.Job(e.Task.Job)
		if e.Outcome == csjob.OutcomeDone && j != nil && !j.State.Final() {
			if task := j.Task(e.Task); task != nil && !task.Done {
				event = copyWon
			}
		}
	})
	r.options.Metrics.copies.WithLabelValues(event).Inc()
	r.log.Info("copy ended", zap.String("job", string(e.Task.Job)), zap.Stringer("task", e.Task), zap.Int("attempt", int(e.Attempt)),
		zap.String("target", string(w.incarnation.Target)), zap.String("result", event), zap.Duration("ran", r.now().Sub(u.since)))
}
