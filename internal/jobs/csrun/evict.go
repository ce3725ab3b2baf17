package csrun

import (
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

const (
	// stopTime is how long a stop takes at most, from the platform's bounds.
	stopTime = 900 * time.Millisecond
	// stopGain is the least remaining time of a run for which stopping it frees its VM sooner.
	stopGain = 700 * time.Millisecond
	// restartReserve is the time that a job must have to spare, besides the stop, for its run to be started again elsewhere.
	restartReserve = 400 * time.Millisecond
)

// evict stops the runs that last on VMs that are about to be taken away, as far as the availability of their steps
// allows, and those that can be started again elsewhere or are late anyway. Other runs are left to end.
func (r *runner) evict(now time.Time, t *csjob.Table) {
	if r.o.Fleet == nil {
		return
	}
	held, due := r.o.Fleet.Held(), r.o.Fleet.Due()
	if len(held) == 0 && len(due) == 0 {
		return
	}
	away := r.absent(now, t)
	for _, w := range r.of(held) {
		w.calm = false
		for _, u := range w.list {
			switch {
			case u.stop, u.ended:
			case u.lasting:
				r.evictLasting(now, t, w, u, away)
			default:
				r.evictRun(now, t, w, u)
			}
		}
	}
	// The tasks of a step that last leave a few at a time, each after the one before is at work elsewhere. A wave would end late
	// if they began to leave only when their VM is taken.
	for _, w := range r.of(due) {
		for _, u := range w.list {
			if u.lasting && !u.stop && !u.ended && !u.placedDue {
				r.evictLasting(now, t, w, u, away)
				w.calm = w.calm && !u.stop
			}
		}
	}
}

// evictLasting stops a run that lasts if few enough others of its step are away, and counts it as away.
func (r *runner) evictLasting(now time.Time, t *csjob.Table, w *target, u *run, away map[csplan.StepKey]int) {
	step := stepOf(u.key.task)
	allowed := max(1, t.Job(u.key.task.Job).Submission.Steps[u.key.task.Step].Absent)
	others := away[step]
	if !w.atWork(now, u) {
		others-- // it may have come to work since it was listed, so it is treated like one that is
	}
	if others < allowed {
		u.stop = true
		away[step] = others + 1
		r.log.Info("lasting run stopped to free its VM", zap.String("job", string(u.key.task.Job)), zap.Stringer("task", u.key.task),
			zap.String("target", string(w.life.Target)), zap.Int("others_away", others), zap.Int("allowed", allowed),
			zap.Duration("list_age", now.Sub(w.listedAt)))
	}
}

// evictRun stops a run that would keep its VM for long.
func (r *runner) evictRun(now time.Time, t *csjob.Table, w *target, u *run) {
	j := t.Job(u.key.task.Job)
	if j == nil || j.Tasks == nil || !u.started || !r.stoppable(now, t, j, u) {
		return
	}
	u.stop = true
	r.log.Info("run stopped to free its VM", zap.String("job", string(u.key.task.Job)), zap.Stringer("task", u.key.task),
		zap.String("target", string(w.life.Target)), zap.Time("on_time", u.onTime), zap.Duration("left", u.left(now)))
}

// left is the predicted time until a run ends.
func (u *run) left(now time.Time) time.Duration { return u.expected - now.Sub(u.since) }

// stoppable tells whether stopping a run frees its VM sooner and costs its job nothing but the work: the job is late
// already, or the run can be started again in time.
func (r *runner) stoppable(now time.Time, t *csjob.Table, j *csjob.Job, u *run) bool {
	if u.left(now) < stopGain {
		return false
	}
	if r.overdue(now, t, j, u) {
		return true
	}
	again := now.Add(stopTime + restartReserve)
	// The chain is worked out only where there is time for one: this is asked for every run of every VM.
	return again.Before(u.onTime) && again.Add(csplan.Chain(&r.learned, j, u.key.task.Occurrence)).Before(u.onTime)
}

// listFresh is how long the list of a target's runs says that they are at work. Looks come at least once per second.
const listFresh = 2 * time.Second

// atWork tells whether a task that lasts is known to be at work: the last list named it and is young. A busy leader may
// extend a lease too late without any call that failed, so the lease has to hold as well.
func (t *target) atWork(now time.Time, u *run) bool {
	listed := u.started && !u.ended && u.missing == 0 && u.percent == fullWork
	return listed && !u.stop && t.failures == 0 && now.Sub(t.listedAt) < listFresh && t.holds(now)
}

func stepOf(k csjob.TaskKey) csplan.StepKey {
	return csplan.StepKey{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step}
}

// absent counts the tasks that last and are not at work, by step.
func (r *runner) absent(now time.Time, t *csjob.Table) map[csplan.StepKey]int {
	out := map[csplan.StepKey]int{}
	for _, j := range t.Lasting() {
		if j.State.Final() {
			continue
		}
		for s := range j.Submission.Steps {
			if step := &j.Submission.Steps[s]; step.Lasting {
				out[csplan.StepKey{Job: j.Submission.ID, Step: s}] = step.Tasks
			}
		}
	}
	for _, w := range r.all() {
		if w.tally.fresh && !w.tally.lasts {
			continue
		}
		for _, u := range w.list {
			if u.lasting && w.atWork(now, u) {
				out[stepOf(u.key.task)]--
			}
		}
	}
	return out
}
