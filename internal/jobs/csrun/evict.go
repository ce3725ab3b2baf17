package csrun

import (
	"time"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// evict stops the runs that last on VMs that are about to be taken away, as far as the availability of their steps
// allows. Runs that end by themselves are left to end.
func (r *runner) evict(now time.Time, t *csjob.Table) {
	if r.o.Fleet == nil {
		return
	}
	held := r.o.Fleet.Held()
	if len(held) == 0 {
		return
	}
	away := r.absent(now, t)
	for _, id := range csmodel.SortedKeys(r.targets) {
		w := r.targets[id]
		if !held.Has(w.life) {
			continue
		}
		for key, u := range w.runs {
			if !u.lasting || u.stop {
				continue
			}
			step := stepOf(key.task)
			allowed := max(1, t.Job(key.task.Job).Submission.Steps[key.task.Step].Absent)
			others := away[step]
			if !w.atWork(now, u) {
				others-- // it may have come to work since it was listed, so it is treated like one that is
			}
			if others < allowed {
				u.stop = true
				away[step] = others + 1
			}
		}
	}
}

// listFresh is how long the list of a target's runs says that they are at work. Looks come at least once per second.
const listFresh = 2 * time.Second

// atWork tells whether a task that lasts is known to be at work.
func (t *target) atWork(now time.Time, u *run) bool {
	return u.started && !u.stop && u.percent == fullWork && t.failures == 0 && now.Sub(t.listedAt) < listFresh
}

func stepOf(k csjob.TaskKey) csplan.StepKey {
	return csplan.StepKey{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step}
}

// absent counts the tasks that last and are not at work, by step.
func (r *runner) absent(now time.Time, t *csjob.Table) map[csplan.StepKey]int {
	out := map[csplan.StepKey]int{}
	for _, j := range t.Active() {
		if j.State.Final() {
			continue
		}
		for s, step := range j.Submission.Steps {
			if step.Lasting {
				out[csplan.StepKey{Job: j.Submission.ID, Step: s}] = step.Tasks
			}
		}
	}
	for _, w := range r.targets {
		for key, u := range w.runs {
			if u.lasting && w.atWork(now, u) {
				out[stepOf(key.task)]--
			}
		}
	}
	return out
}
