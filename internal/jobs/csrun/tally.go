package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// tally is what the runs of a target add up to. It is kept until they change, so that a round costs what has changed.
type tally struct {
	fresh   bool
	slot    csplan.Slot
	lasts   bool             // a task that lasts runs there
	lasting csmodel.MilliCPU // of tasks that last
	timely  csmodel.MilliCPU // of other runs whose job can meet its objective
	until   time.Time        // the first of these jobs misses it then; zero where there is none
}

// slotOf returns the room of a target. Placements take from it, and are pending from then on.
func (r *runner) slotOf(now time.Time, t *csjob.Table, w *target) *csplan.Slot {
	r.addUp(now, t, w)
	return &w.tally.slot
}

// addUp brings the tally of a target up to date.
func (r *runner) addUp(now time.Time, t *csjob.Table, w *target) {
	a := &w.tally
	if a.fresh {
		if !a.until.IsZero() && now.After(a.until) {
			r.addLoad(now, t, w)
		}
		return
	}
	r.tallied++
	a.fresh = true
	a.slot = csplan.Slot{
		Life: w.life, Zone: w.record.Zone, Free: w.record.Room, Labels: w.record.Labels, Rack: w.record.Rack, Spread: a.slot.Spread,
	}
	clear(a.slot.Spread)
	for _, u := range w.list {
		if u.job.Tasks != nil {
			a.slot.Take(&u.job.Submission.Steps[u.key.task.Step], stepOf(u.key.task))
		}
	}
	for _, key := range r.pendingOn[w.life] {
		if j := t.Job(key.Job); j != nil && j.Tasks != nil && !w.open(key) {
			a.slot.Take(&j.Submission.Steps[key.Step], stepOf(key))
		}
	}
	r.addLoad(now, t, w)
}

// addLoad adds up the cores of the runs of a target.
func (r *runner) addLoad(now time.Time, t *csjob.Table, w *target) {
	a := &w.tally
	a.lasts, a.lasting, a.timely, a.until = false, 0, 0, time.Time{}
	for _, u := range w.list {
		if u.job.Tasks == nil {
			continue
		}
		step := &u.job.Submission.Steps[u.key.task.Step]
		switch {
		case step.Lasting:
			a.lasts = true
			a.lasting += step.Needs().CPU
		case !r.overdue(now, t, u.job, u):
			a.timely += step.Needs().CPU
			if a.until.IsZero() || u.onTime.Before(a.until) {
				a.until = u.onTime
			}
		}
	}
}

// open tells whether a start was applied to the table already.
func (t *target) open(k csjob.TaskKey) bool {
	for _, u := range t.list {
		if u.key.task == k {
			return true
		}
	}
	return false
}

// expect notes a start on its way to being committed.
func (r *runner) expect(k csjob.TaskKey, l csjob.Life) {
	r.pending[k] = l
	r.pendingOn[l] = append(r.pendingOn[l], k)
	r.pendingOf[k.Job]++
}

// settled forgets a start that was committed or has failed to be.
func (r *runner) settled(k csjob.TaskKey) {
	l, ok := r.pending[k]
	if !ok {
		return
	}
	delete(r.pending, k)
	if r.pendingOf[k.Job]--; r.pendingOf[k.Job] == 0 {
		delete(r.pendingOf, k.Job)
	}
	kept := r.pendingOn[l][:0]
	for _, o := range r.pendingOn[l] {
		if o != k {
			kept = append(kept, o)
		}
	}
	if r.pendingOn[l] = kept; len(kept) == 0 {
		delete(r.pendingOn, l)
	}
	r.outdated(l)
}

// outdated tells that the tally of a life has to be added up anew.
func (r *runner) outdated(l csjob.Life) {
	if w := r.targets[l.Target]; w != nil && w.life == l {
		w.tally.fresh = false
	}
}
