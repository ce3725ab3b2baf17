package csrun

import (
	"time"

	"go.uber.org/zap"

	"cowslipstream.example/cowslipstream/csmodel"
	"cowslipstream.example/cowslipstream/internal/jobs/csjob"
	"cowslipstream.example/cowslipstream/internal/jobs/csplan"
)

// outlook is what the leader publishes for admission and for decisions about VMs.
type outlook struct {
	demand Demand
}

// schedule decides which waiting tasks start where. The starts are intents until they are committed.
func (r *runner) schedule(now time.Time, t *csjob.Table, silent csmodel.Set[csmodel.AvailabilityZone]) []csjob.Start {
	if t.Config() == nil {
		return nil
	}
	work := r.waiting(now, t)
	held := r.held()
	slots := r.slots(now, t, held, silent)
	demand := Demand{}
	var starts []csjob.Start
	r.offered.observe(now, t, &r.learned)
	for _, pool := range csmodel.SortedKeys(work) {
		list := work[pool]
		csplan.Sort(list)
		placed := csplan.Place(list, slots[pool], r.onItsWay)
		d := r.demandOf(list)
		for _, s := range slots[pool] {
			d.Targets++
			d.Free += s.Free.CPU
		}
		demand[pool] = d
		starts = append(starts, r.intend(t, placed)...)
	}
	r.countRunning(now, t, held, demand)
	countLasting(t, demand)
	r.leader.outlook.Store(&outlook{demand: demand})
	return starts
}

func (r *runner) onItsWay(k csjob.TaskKey) bool {
	_, ok := r.pending[k]
	return ok
}

// waiting returns the steps with tasks that may start, by the pool of their job. Pools whose jobs only run have an entry.
func (r *runner) waiting(now time.Time, t *csjob.Table) map[csmodel.PoolID][]csplan.Work {
	out := map[csmodel.PoolID][]csplan.Work{}
	for _, j := range t.Active() {
		if !j.State.Final() {
			pool := t.PoolOf(j)
			out[pool] = csplan.AppendWaiting(out[pool], now, &r.learned, t.QueueOf(j), j)
		}
	}
	return out
}

// slots returns the room of the usable targets by pool.
func (r *runner) slots(
	now time.Time, t *csjob.Table, held csmodel.Set[csjob.Life], silent csmodel.Set[csmodel.AvailabilityZone],
) map[csmodel.PoolID][]*csplan.Slot {
	due := csmodel.Set[csjob.Life]{}
	if r.o.Fleet != nil {
		due = r.o.Fleet.Due()
	}
	out := map[csmodel.PoolID][]*csplan.Slot{}
	for _, w := range r.all() {
		if !w.usable(now, r.o.Timing.Beat) || w.grades.quarantined(now) || held.Has(w.life) || silent.Has(w.record.Zone) {
			continue
		}
		s := r.slotOf(now, t, w)
		s.Cool, s.Due = w.failures == 0 && !w.grades.suspect(), due.Has(w.life)
		out[w.record.Pool] = append(out[w.record.Pool], s)
	}
	return out
}

// demandOf adds up the work that is left waiting.
func (r *runner) demandOf(work []csplan.Work) PoolDemand {
	var d PoolDemand
	for i := range work {
		w := &work[i]
		pending := r.pendingOf[w.Key.Job] > 0
		tasks := w.Job.Tasks[w.Key.Occurrence][w.Key.Step]
		for n := range tasks {
			key := csjob.TaskKey{Job: w.Key.Job, Occurrence: w.Key.Occurrence, Step: w.Key.Step, Index: n}
			switch {
			case !tasks[n].Idle() || (pending && r.onItsWay(key)):
			case w.Step.Lasting:
				d.Lasting += w.Step.Needs().CPU
			case w.Late():
				d.Behind += w.Step.Room.CPU
			default:
				d.Waiting += w.Step.Room.CPU
			}
		}
	}
	return d
}

// countRunning adds what runs on targets that stay in their pools.
func (r *runner) countRunning(now time.Time, t *csjob.Table, held csmodel.Set[csjob.Life], d Demand) {
	sums := map[csmodel.PoolID]*tally{}
	for _, w := range r.all() {
		if held.Has(w.life) {
			continue
		}
		r.addUp(now, t, w)
		sum := sums[w.record.Pool]
		if sum == nil {
			sum = &tally{}
			sums[w.record.Pool] = sum
		}
		sum.lasting += w.tally.lasting
		sum.timely += w.tally.timely
	}
	for pool, sum := range sums {
		p := d[pool]
		p.Lasting += sum.lasting
		p.Running += sum.timely
		d[pool] = p
	}
	for pool, cores := range r.offered.rates {
		p := d[pool]
		p.Offered, p.Jobs = cores, r.offered.jobs[pool]
		d[pool] = p
	}
}

// load adds up what runs on a target.
func (r *runner) load(now time.Time, t *csjob.Table, w *target) Load {
	var l Load
	for key, u := range w.runs {
		j := u.job
		if j == nil || j.Tasks == nil {
			continue
		}
		step := &j.Submission.Steps[key.task.Step]
		need := step.Needs().CPU
		if step.Lasting {
			l.Lasting += need
			l.Lasts = true
			continue
		}
		if !r.overdue(now, t, j, u) {
			l.Timely += need
		}
		left := u.left(now)
		if u.stop || r.stoppable(now, t, j, u) {
			left = min(left, stopTime)
		}
		l.Clear = max(l.Clear, left)
	}
	return l
}

// overdue tells whether the job of a run that ends by itself has missed its objective.
func (r *runner) overdue(now time.Time, t *csjob.Table, j *csjob.Job, u *run) bool {
	if u.onTime.IsZero() {
		u.onTime, _ = csplan.Objective(&r.learned, t.QueueOf(j), j, u.key.task.Occurrence)
	}
	return now.After(u.onTime)
}

func (r *runner) held() csmodel.Set[csjob.Life] {
	if r.o.Fleet == nil {
		return csmodel.Set[csjob.Life]{}
	}
	return r.o.Fleet.Held()
}

// countLasting adds what the tasks that last need besides cores.
func countLasting(t *csjob.Table, d Demand) {
	for _, j := range t.Lasting() {
		if j.State.Final() {
			continue
		}
		pool := t.PoolOf(j)
		p := d[pool]
		for i := range j.Submission.Steps {
			s := &j.Submission.Steps[i]
			if !s.Lasting {
				continue
			}
			p.Memory += csjob.MiB(s.Tasks) * s.Room.Memory
			if s.Spread > 0 {
				p.Width = max(p.Width, (s.Tasks+s.Spread-1)/s.Spread)
			}
		}
		d[pool] = p
	}
}

// intend turns placements into starts.
func (r *runner) intend(t *csjob.Table, placed []csplan.Placement) []csjob.Start {
	out := make([]csjob.Start, 0, len(placed))
	for _, p := range placed {
		j := t.Job(p.Task.Job)
		attempt := j.Task(p.Task).Attempts + 1
		if j.Submission.Steps[p.Task.Step].Gang {
			for _, k := range j.Tasks[p.Task.Occurrence][p.Task.Step] {
				attempt = max(attempt, k.Attempts+1)
			}
		}
		r.expect(p.Task, p.Slot.Life)
		out = append(out, csjob.Start{Task: p.Task, Attempt: attempt, Life: p.Slot.Life})
		r.log.Info("start", zap.String("job", string(p.Task.Job)), zap.Stringer("task", p.Task), zap.Int("attempt", int(attempt)),
			zap.String("target", string(p.Slot.Life.Target)))
	}
	return out
}
