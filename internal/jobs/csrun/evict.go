package csrun

import (
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

const (
	// maxStopTime is the maximum duration of a stop, from the platform's limits.
	maxStopTime = 900 * time.Millisecond
	// minStopGain is the minimum remaining time of a run for which a stop frees its VM sooner.
	minStopGain = 700 * time.Millisecond
	// restartMargin is the slack that a job needs, in addition to the time for the stop, for its run to be restarted on
	// another target.
	restartMargin = 400 * time.Millisecond
)

// evict stops runs on VMs that are about to be reclaimed: long-running tasks as far as the availability of their steps allows,
// and batch runs that can be restarted on another target in time or are late already. Other runs are left to finish.
func (r *runner) evict(now time.Time, t *csjob.Table) {
	if r.options.Fleet == nil {
		return
	}
	held, evictingSoon := r.options.Fleet.Evicting(), r.options.Fleet.EvictingSoon()
	if len(held) == 0 && len(evictingSoon) == 0 {
		return
	}
	unavailable := r.unavailableTasks(now, t)
	due := r.options.Fleet.MaintenanceDue()
	for _, w := range r.targetsOf(held) {
		w.noOrdersDue = false
		maintenanceDue := due.Has(w.incarnation)
		for _, u := range w.list {
			switch {
			case u.stop, u.ended:
			case u.longRunning:
				r.evictLongRunning(now, t, w, u, unavailable)
			default:
				r.evictBatchRun(now, t, w, u, maintenanceDue)
			}
		}
	}
	// The tasks of a long-running step move a few at a time, each after the previous one is available on another target. A
	// maintenance wave would end late if they began to move only when their VM is reclaimed.
	for _, w := range r.targetsOf(evictingSoon) {
		for _, u := range w.list {
			if u.longRunning && !u.stop && !u.ended && !u.placedEvictingSoon {
				r.evictLongRunning(now, t, w, u, unavailable)
				w.noOrdersDue = w.noOrdersDue && !u.stop
			}
		}
	}
}

// evictLongRunning stops a long-running task if its step tolerates another unavailable task, and counts it as unavailable.
func (r *runner) evictLongRunning(now time.Time, t *csjob.Table, w *target, u *run, unavailable map[csplan.StepKey]int) {
	step := stepOf(u.key.task)
	allowed := max(1, t.Job(u.key.task.Job).Submission.Steps[u.key.task.Step].MaxUnavailable)
	others := unavailable[step]
	if !w.runAvailable(now, u) {
		others-- // it may have become available since the last list, so it is treated as available
	}
	if others < allowed {
		u.stop = true
		unavailable[step] = others + 1
		r.log.Info("long-running task stopped to free its VM", zap.String("job", string(u.key.task.Job)), zap.Stringer("task", u.key.task),
			zap.String("target", string(w.incarnation.Target)), zap.Int("others_away", others), zap.Int("allowed", allowed),
			zap.Duration("list_age", now.Sub(w.listedAt)))
	}
}

// evictBatchRun stops a batch run that would block its VM for long. Where the VM's maintenance is due, it stops each run of a late job:
// one that lasts many times as long as predicted would make the wave late, and nothing tells when it ends.
func (r *runner) evictBatchRun(now time.Time, t *csjob.Table, w *target, u *run, maintenanceDue bool) {
	j := t.Job(u.key.task.Job)
	if j == nil || j.Released() || !u.started {
		return
	}
	if overdue := maintenanceDue && r.missedObjective(now, t, j, u); !overdue && !r.evictable(now, t, j, u) {
		return
	}
	u.stop = true
	r.log.Info("run stopped to free its VM", zap.String("job", string(u.key.task.Job)), zap.Stringer("task", u.key.task),
		zap.String("target", string(w.incarnation.Target)), zap.Time("on_time", u.deadline), zap.Duration("left", u.remaining(now)))
}

// remaining returns the predicted time until the run ends.
func (u *run) remaining(now time.Time) time.Duration { return u.expected - u.passed(now) }

// evictable reports whether stopping a run frees its VM sooner and costs its job only the lost work: the job is late already,
// or the run can be restarted in time.
func (r *runner) evictable(now time.Time, t *csjob.Table, j *csjob.Job, u *run) bool {
	if u.remaining(now) < minStopGain {
		return false
	}
	if r.missedObjective(now, t, j, u) {
		return true
	}
	restartAt := now.Add(maxStopTime + restartMargin)
	// The critical path is computed only if a restart could begin in time: this check runs for every run of every VM.
	return restartAt.Before(u.deadline) && restartAt.Add(csplan.RemainingCriticalPath(&r.learned, j, u.key.task.Occurrence)).Before(u.deadline)
}

// maxListAge is how long a list of runs counts as current. Polls occur at least once per second.
const maxListAge = 2 * time.Second

// runAvailable reports whether a long-running task is known to be available: the last list contains it and is current. The
// lease has to be valid too: a busy leader may extend it too late without a failed call.
func (t *target) runAvailable(now time.Time, u *run) bool {
	listed := u.started && !u.ended && u.missedPolls == 0 && u.percent == readyPercent
	return listed && !u.stop && t.failures == 0 && now.Sub(t.listedAt) < maxListAge && t.leaseHolds(now)
}

func stepOf(k csjob.TaskKey) csplan.StepKey {
	return csplan.StepKey{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step}
}

// unavailableTasks counts the long-running tasks that are not available, by step.
func (r *runner) unavailableTasks(now time.Time, t *csjob.Table) map[csplan.StepKey]int {
	out := map[csplan.StepKey]int{}
	for _, j := range t.LongRunning() {
		if j.State.Final() {
			continue
		}
		for s := range j.Submission.Steps {
			if step := &j.Submission.Steps[s]; step.LongRunning {
				out[csplan.StepKey{Job: j.Submission.ID, Step: s}] = step.Tasks
			}
		}
	}
	for _, w := range r.targetsByName() {
		if w.usage.valid && !w.usage.hasLongRunning {
			continue
		}
		for _, u := range w.list {
			if u.longRunning && w.runAvailable(now, u) {
				out[stepOf(u.key.task)]--
			}
		}
	}
	return out
}
