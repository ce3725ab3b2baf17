package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// usage is the sum of the resources that the runs of a target use. It is cached until they change, so that the cost of a round
// depends on what has changed. A run that the target lists as ended uses none, even while the commit of its end is in flight: the target
// has released them.
type usage struct {
	valid          bool // false if the sums have to be recomputed
	slot           csplan.Slot
	hasLongRunning bool             // a long-running task runs there
	longRunning    csmodel.MilliCPU // CPU of long-running tasks
	timely         csmodel.MilliCPU // CPU of other runs whose job can still meet its objective
	validUntil     time.Time        // when the first of these jobs misses its objective; zero if there is none
}

// slotOf returns the free resources of a target. A placement takes its share from the slot and is pending from then on.
func (r *runner) slotOf(now time.Time, t *csjob.Table, w *target) *csplan.Slot {
	r.refreshUsage(now, t, w)
	return &w.usage.slot
}

// refreshUsage brings the sums of a target up to date.
func (r *runner) refreshUsage(now time.Time, t *csjob.Table, w *target) {
	a := &w.usage
	if a.valid {
		if !a.validUntil.IsZero() && now.After(a.validUntil) {
			r.sumCPU(now, t, w)
		}
		return
	}
	r.summedTargets++
	a.valid = true
	a.slot = csplan.Slot{
		Incarnation: w.incarnation, Zone: w.record.Zone, Free: w.record.Resources, Drained: w.record.Resources,
		Labels: w.record.Labels, Rack: w.record.Rack, Spread: a.slot.Spread,
	}
	clear(a.slot.Spread)
	for _, u := range w.list {
		if !u.job.Released() && !u.ended {
			a.slot.Allocate(&u.job.Submission.Steps[u.key.task.Step], stepOf(u.key.task))
		}
	}
	for _, key := range r.pendingByIncarnation[w.incarnation] {
		if j := t.Job(key.Job); j != nil && !j.Released() && !w.hasRun(key) {
			a.slot.Allocate(&j.Submission.Steps[key.Step], stepOf(key))
		}
	}
	r.sumCPU(now, t, w)
}

// sumCPU sums up the CPU of the runs of a target.
func (r *runner) sumCPU(now time.Time, t *csjob.Table, w *target) {
	a := &w.usage
	a.hasLongRunning, a.longRunning, a.timely, a.validUntil = false, 0, 0, time.Time{}
	for _, u := range w.list {
		if u.job.Released() || u.ended {
			continue
		}
		step := &u.job.Submission.Steps[u.key.task.Step]
		switch {
		case step.LongRunning:
			a.hasLongRunning = true
			a.longRunning += step.Needs().CPU
		case !r.missedObjective(now, t, u.job, u):
			a.timely += step.Needs().CPU
			if a.validUntil.IsZero() || u.deadline.Before(a.validUntil) {
				a.validUntil = u.deadline
			}
		}
	}
}

// hasRun reports whether the table already has an open run of the task here, so that its start was applied.
func (t *target) hasRun(k csjob.TaskKey) bool {
	for _, u := range t.list {
		if u.key.task == k {
			return true
		}
	}
	return false
}

// addPending adds a start that is proposed and not committed yet.
func (r *runner) addPending(k csjob.TaskKey, l csjob.Incarnation) {
	r.pendingStarts[k] = l
	r.pendingByIncarnation[l] = append(r.pendingByIncarnation[l], k)
	r.pendingByJob[k.Job]++
}

// removePending removes a start that was committed or will never be.
func (r *runner) removePending(k csjob.TaskKey) {
	l, ok := r.pendingStarts[k]
	if !ok {
		return
	}
	delete(r.pendingStarts, k)
	if r.pendingByJob[k.Job]--; r.pendingByJob[k.Job] == 0 {
		delete(r.pendingByJob, k.Job)
	}
	kept := r.pendingByIncarnation[l][:0]
	for _, o := range r.pendingByIncarnation[l] {
		if o != k {
			kept = append(kept, o)
		}
	}
	if r.pendingByIncarnation[l] = kept; len(kept) == 0 {
		delete(r.pendingByIncarnation, l)
	}
	r.invalidateUsage(l)
}

// invalidateUsage marks the sums of an incarnation as outdated.
func (r *runner) invalidateUsage(l csjob.Incarnation) {
	if w := r.targets[l.Target]; w != nil && w.incarnation == l {
		w.usage.valid = false
	}
}
